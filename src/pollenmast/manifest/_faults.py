"""Validation faults of a rejected manifest."""

import json

import attrs

MAX_FAULTS = 100
"""Maximum number of faults reported for one manifest.

A hostile manifest of one megabyte can contain hundreds of thousands of
faults. Without a limit, the list could exhaust the memory of a VM that merely
parses it.
"""

_MAX_VALUE_CHARS = 60
"""Characters after which a reported value is cut, so a fault fits one line."""


@attrs.frozen
class ManifestFault:
    """One reason why a manifest is rejected.

    Attributes:
        path: Path of the invalid value, such as `services[0].port`; empty
            for the manifest as a whole.
        found: Description of the invalid value, shortened.
        allowed: Description of the values that are allowed.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = self.path or "manifest"
        return f"{where}: found {self.found}, allowed: {self.allowed}"


class FaultList:
    """Collects at most `MAX_FAULTS` faults."""

    def __init__(self) -> None:
        self._faults: list[ManifestFault] = []

    @property
    def faults(self) -> tuple[ManifestFault, ...]:
        """The faults collected so far."""
        return tuple(self._faults)

    @property
    def full(self) -> bool:
        """Whether the limit is reached, so that further faults are dropped."""
        return len(self._faults) >= MAX_FAULTS

    def add(self, path: str, found: str, allowed: str) -> None:
        """Adds a fault, or drops it if the list is full."""
        if not self.full:
            self._faults.append(ManifestFault(path, found, allowed))


def format_value(value: object) -> str:
    """Formats a JSON value as one short line of printable ASCII."""
    if isinstance(value, dict):
        return f"an object of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    if isinstance(value, int) and value.bit_length() > _MAX_VALUE_CHARS:
        return f"a whole number of {value.bit_length()} bits"
    text = json.dumps(value)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[:_MAX_VALUE_CHARS] + "..."
