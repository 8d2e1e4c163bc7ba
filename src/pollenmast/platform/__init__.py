"""The users' platform: its packets, store, settings, and nothing else."""

from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._settings import read_settings
from pollenmast.platform._store import StoreDirectory

__all__ = ["PlatformPackets", "StoreDirectory", "read_settings"]
