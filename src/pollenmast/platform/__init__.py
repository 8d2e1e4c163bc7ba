"""Towards the platform: the manifest and the list of VMs, read and watched."""

from pollenmast.platform._client import (
    HttpPlatform,
    Platform,
    PlatformFault,
)

__all__ = ["HttpPlatform", "Platform", "PlatformFault"]
