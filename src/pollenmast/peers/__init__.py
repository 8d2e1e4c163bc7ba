"""Authenticated messages between agents and relays, and their codecs."""
