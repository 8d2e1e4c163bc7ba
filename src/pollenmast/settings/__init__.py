"""Settings: an INI file checked into values."""

from pollenmast.settings._model import (
    AgentSettings,
    FleetSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
    VmSettings,
)

__all__ = [
    "AgentSettings",
    "FleetSettings",
    "PlatformSettings",
    "RelaySettings",
    "Settings",
    "VmSettings",
]
