"""Read-only client of the platform: the manifest and the list of VMs."""

from pollenmast.configuration._client import (
    HttpPlatform,
    Platform,
    PlatformError,
)

__all__ = ["HttpPlatform", "Platform", "PlatformError"]
