"""The available adapters; each is imported only when it is requested."""

import importlib

from pollenmast.adapters._model import Adapter

_ADAPTER_MODULES = {"platform": "pollenmast.platform._adapter"}
"""Module of each adapter by its name; each module defines `ADAPTER`."""

NAMES = tuple(_ADAPTER_MODULES)


def find(name: str) -> Adapter | None:
    """Returns the adapter with this name, or None if there is none."""
    module = _ADAPTER_MODULES.get(name)
    return importlib.import_module(module).ADAPTER if module else None
