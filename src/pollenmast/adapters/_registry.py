"""The adapters there are, loaded only when one is asked for."""

import importlib

from pollenmast.adapters._model import Adapter

_PLACES = {"platform": "pollenmast.platform._adapter"}
"""Modules by the adapter's name; each has an `ADAPTER`."""

NAMES = tuple(_PLACES)


def find(name: str) -> Adapter | None:
    """Returns the adapter of a name, or None."""
    module = _PLACES.get(name)
    return importlib.import_module(module).ADAPTER if module else None
