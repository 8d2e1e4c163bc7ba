"""Towards the configuration service: manifest and list of VMs, read only."""

from pollenmast.configuration._client import (
    HttpPlatform,
    Platform,
    PlatformFault,
)

__all__ = ["HttpPlatform", "Platform", "PlatformFault"]
