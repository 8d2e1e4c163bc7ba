"""Packs pollenmast and its libraries into one file, `dist/pollenmast`.

See docs/BINARY.md for the alternatives considered and the requirements of the
file.
"""
