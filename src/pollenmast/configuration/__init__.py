"""Read-only client of the platform: the manifest and the list of VMs."""

from pollenmast.configuration._client import (
    HttpPlatform,
    Platform,
    PlatformFault,
)

__all__ = ["HttpPlatform", "Platform", "PlatformFault"]
