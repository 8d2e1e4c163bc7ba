"""The program of a VM whose packets name their endpoint by a token."""

from pollenmast.entry._ports import (
    Address,
    EntrySettings,
    HealthProbe,
    PacketFormat,
    Ports,
)
from pollenmast.entry._program import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_SETTINGS,
    run,
)

__all__ = [
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_SETTINGS",
    "Address",
    "EntrySettings",
    "HealthProbe",
    "PacketFormat",
    "Ports",
    "run",
]
