"""What is wrong with a refused manifest, and where."""

import json

import attrs

MOST_FAULTS = 100
"""Faults listed at the most.

A megabyte of hostile text can hold hundreds of thousands of faults; without
a bound the list would outgrow the memory of the VM that only read it.
"""

_MOST_SHOWN = 60
"""Characters of a found value that are shown; a path stays on one line."""


@attrs.frozen
class ManifestFault:
    """One reason why a manifest is refused.

    Attributes:
        path: Where, such as `services[0].port`; empty for the whole text.
        found: What stands there, shortened.
        allowed: What may stand there.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = self.path or "manifest"
        return f"{where}: found {self.found}, allowed: {self.allowed}"


class FaultList:
    """Gathers faults up to `MOST_FAULTS`."""

    def __init__(self) -> None:
        self._faults: list[ManifestFault] = []

    @property
    def faults(self) -> tuple[ManifestFault, ...]:
        """The faults so far."""
        return tuple(self._faults)

    @property
    def full(self) -> bool:
        """Whether further faults go unlisted."""
        return len(self._faults) >= MOST_FAULTS

    def add(self, path: str, found: str, allowed: str) -> None:
        """Adds one fault, unless the list is full."""
        if not self.full:
            self._faults.append(ManifestFault(path, found, allowed))


def shown(value: object) -> str:
    """Returns a JSON value as one short line of printable ASCII."""
    if isinstance(value, dict):
        return f"an object of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    if isinstance(value, int) and value.bit_length() > _MOST_SHOWN:
        return f"a whole number of {value.bit_length()} bits"
    text = json.dumps(value)
    if len(text) <= _MOST_SHOWN:
        return text
    return text[:_MOST_SHOWN] + "..."
