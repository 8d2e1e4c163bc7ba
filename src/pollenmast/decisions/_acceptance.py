"""Selection of the manifest in force.

The manifest with the greatest key is in force, and an older one never replaces
it. The platform may be stale or down, two pipelines may publish at the same
time, and peers may be ahead or behind. Without a total order of manifests, VMs
would use the last one received, and operators would see a change of theirs
disappear again on some VMs.
"""

import attrs

from pollenmast.counters import ManifestOutcome
from pollenmast.manifest import Manifest, ManifestKey

MAX_REFUSED = 64
"""Maximum number of refused keys to remember, so that each content is fetched
and logged once."""


@attrs.frozen
class Offer:
    """The result of offering a manifest.

    Attributes:
        outcome: The outcome, as counted in the metrics.
        conflict: Whether the version in force was offered with other content.
    """

    outcome: ManifestOutcome
    conflict: bool = False


@attrs.frozen
class InForce:
    """The manifest in force.

    Attributes:
        manifest: The parsed and validated manifest.
        text: The text as published, which is passed to peers and the relay.
        since: Time at which it came into force on the runtime's clock, in
            seconds.
    """

    manifest: Manifest
    text: bytes
    since: float

    @property
    def key(self) -> ManifestKey:
        """The manifest's key, by which manifests are ordered."""
        return self.manifest.key


class Acceptance:
    """Accepts a manifest only if its key is greater than the one in force."""

    def __init__(self):
        self._in_force: InForce | None = None
        self._heard = ManifestKey()
        self._refused: dict[ManifestKey, None] = {}

    @property
    def in_force(self) -> InForce | None:
        """The manifest in force, or None if none has been accepted."""
        return self._in_force

    @property
    def key(self) -> ManifestKey:
        """The key of the manifest in force, or the least key without one."""
        return self._in_force.key if self._in_force else ManifestKey()

    @property
    def greatest_known_key(self) -> ManifestKey:
        """The greatest key that any VM is known to have in force."""
        return max(self._heard, self.key)

    def should_fetch(self, key: ManifestKey) -> bool:
        """Records a peer's key in force; returns whether to fetch the text."""
        self._heard = max(self._heard, key)
        return key > self.key and key not in self._refused

    def offer(self, manifest: Manifest, text: bytes, now: float) -> Offer:
        """Puts the manifest into force if its key is greater."""
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
        """Remembers a key whose content was refused, to not fetch it again.

        A peer of another release may have a manifest in force that this
        release considers invalid. Fetching it with each heartbeat would
        transfer a megabyte twice a second.
        """
        while len(self._refused) >= MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        self._refused[key] = None
