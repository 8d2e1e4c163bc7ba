"""Adapters that let the command-line tools read a deployment's formats."""

from pollenmast.adapters._model import Adapter, Rows
from pollenmast.adapters._registry import NAMES, find

__all__ = ["NAMES", "Adapter", "Rows", "find"]
