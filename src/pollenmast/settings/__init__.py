"""Settings of a VM: data model, and loading from an INI file."""

from pollenmast.settings._faults import SettingsFault
from pollenmast.settings._keys import (
    KEY_FILE_VARIABLE,
    SETTING_KEYS,
    SettingKey,
)
from pollenmast.settings._kinds import socket_address
from pollenmast.settings._load import load
from pollenmast.settings._model import (
    AgentSettings,
    FleetSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
    VmSettings,
)

__all__ = [
    "KEY_FILE_VARIABLE",
    "SETTING_KEYS",
    "AgentSettings",
    "FleetSettings",
    "PlatformSettings",
    "RelaySettings",
    "SettingKey",
    "Settings",
    "SettingsFault",
    "VmSettings",
    "load",
    "socket_address",
]
