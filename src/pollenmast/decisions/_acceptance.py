"""Which manifest is in force: the greatest, and never an older one again.

The pattern: a platform that is stale or down, two pipelines that publish at
once, peers that are ahead or behind. Without one order over all manifests,
VMs would follow whoever spoke last; operators would see a change that they
had made vanish again on some of the VMs.
"""

import attrs

from pollenmast.counters import ManifestOutcome
from pollenmast.manifest import Manifest, ManifestKey

MOST_REFUSED = 64
"""Refused contents remembered, so that each is fetched and logged once."""


@attrs.frozen
class Offer:
    """What became of an offered manifest.

    Attributes:
        outcome: Counted.
        conflict: Whether one version came with two contents.
    """

    outcome: ManifestOutcome
    conflict: bool = False


@attrs.frozen
class InForce:
    """The manifest in force.

    Attributes:
        manifest: Its checked form.
        text: Its text as published, handed to peers and the relay.
        since: When it came into force, by the runtime's clock in seconds.
    """

    manifest: Manifest
    text: bytes
    since: float

    @property
    def key(self) -> ManifestKey:
        """Its place in the order."""
        return self.manifest.key


class Acceptance:
    """Takes a manifest only where it is greater than the one in force."""

    def __init__(self):
        self._in_force: InForce | None = None
        self._heard = ManifestKey()
        self._refused: dict[ManifestKey, None] = {}

    @property
    def in_force(self) -> InForce | None:
        """The manifest in force, if any has been accepted."""
        return self._in_force

    @property
    def key(self) -> ManifestKey:
        """The key of the manifest in force, the least one without."""
        return self._in_force.key if self._in_force else ManifestKey()

    @property
    def heard(self) -> ManifestKey:
        """The greatest key that any VM was heard to have in force."""
        return max(self._heard, self.key)

    def wants(self, key: ManifestKey) -> bool:
        """Notes what a peer has in force; returns whether to fetch it."""
        self._heard = max(self._heard, key)
        return key > self.key and key not in self._refused

    def offer(self, manifest: Manifest, text: bytes, now: float) -> Offer:
        """Takes the manifest into force if it is greater."""
        key = manifest.key
        if key == self.key:
            return Offer(ManifestOutcome.KNOWN)
        conflict = key.version == self.key.version
        if key < self.key:
            lost = ManifestOutcome.CONFLICT_LOST
            outcome = lost if conflict else ManifestOutcome.OLDER
            return Offer(outcome, conflict)
        self._in_force = InForce(manifest, text, now)
        return Offer(ManifestOutcome.ACCEPTED, conflict)

    def refuse(self, key: ManifestKey) -> None:
        """Remembers a key whose content was refused, so as not to ask again.

        A peer of another release may have in force what this one finds
        invalid; asking for it with each heartbeat would cost a megabyte
        twice a second.
        """
        while len(self._refused) >= MOST_REFUSED:
            del self._refused[next(iter(self._refused))]
        self._refused[key] = None
