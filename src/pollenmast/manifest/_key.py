"""Which of two manifests is the newer one."""

import attrs


@attrs.frozen(order=True)
class ManifestKey:
    """The place of a manifest in the order over all manifests.

    Two contents under one version are ordered by their digests: which of the
    two wins is arbitrary, but it is the same one on every VM.
    """

    version: int = 0
    digest: str = ""
