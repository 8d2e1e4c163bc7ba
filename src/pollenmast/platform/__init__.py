"""The users' platform: its packets, store, settings, and nothing else.

Nothing is imported here: the program opens its packet socket before it loads
the rest of itself (see `_early`).
"""
