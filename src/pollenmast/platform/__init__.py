"""Adapter for the users' platform: its packet format, store and settings.

This package imports nothing itself, because the program opens its packet
socket before it loads its other modules (see `_early`).
"""
