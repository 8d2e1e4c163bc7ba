"""Packs pollenmast and its libraries into one file, `dist/pollenmast`.

docs/BINARY.md says what was weighed and what the file needs.
"""
