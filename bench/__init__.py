"""Benchmarks: `python -m bench list`, `python -m bench run NAME`."""
