"""The order that decides which of two manifests is newer."""

import attrs


@attrs.frozen(order=True)
class ManifestKey:
    """Sort key of a manifest; the greater key is the newer manifest.

    Manifests with the same version but different content are ordered by
    digest. Which one wins is arbitrary, but every VM picks the same one.

    Attributes:
        version: The manifest's version.
        digest: Hex digest of the manifest's content.
    """

    version: int = 0
    digest: str = ""
