"""Reads the formats of the places that pollenmast runs in, for its tools."""

from pollenmast.adapters._model import Adapter, Rows
from pollenmast.adapters._registry import NAMES, find

__all__ = ["NAMES", "Adapter", "Rows", "find"]
