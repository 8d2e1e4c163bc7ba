"""Whether what this VM believes of the fleet may be acted on.

The pattern: a process is paused for seconds or minutes, or cut off from all
others, and wakes with old beliefs. Acting on them, it would open flows that
others own, towards endpoints that have left, under an old manifest; callers
would see flows broken by the two owners. So it first hears one peer again
and takes that peer's members and manifest. When nobody answers it is cut off
and goes on with what it reaches.
"""

from pollenmast.manifest import ManifestKey


class Freshness:
    """Stale after a pause or a silence; fresh again after a refresh."""

    def __init__(self, lease_s: float, refresh_s: float, now: float):
        self._lease_s = lease_s
        self._refresh_s = refresh_s
        self._heard_s = now
        self._began: float | None = None
        self._number = 0
        self._synced = False
        self._awaited = ManifestKey()
        self._alone = False

    @property
    def fresh(self) -> bool:
        """Whether the beliefs may be acted on."""
        return self._began is None

    @property
    def number(self) -> int:
        """Counts the refreshes; an answer to an earlier one is old."""
        return self._number

    @property
    def alone(self) -> bool:
        """Whether the last refresh ended without an answer."""
        return self._alone

    def begin(self, now: float) -> None:
        """Starts a refresh: the beliefs may be stale."""
        self._began = now
        self._number += 1
        self._synced = False
        self._awaited = ManifestKey()

    def ran(self, gap_s: float, now: float) -> bool:
        """Notes that this process ran; returns whether a refresh begins."""
        if gap_s <= self._lease_s:
            return False
        self.begin(now)
        return True

    def silent(self, has_peers: bool, now: float) -> bool:
        """Returns whether a refresh begins because nobody was heard."""
        over = now - self._heard_s > self._lease_s
        if not over or not has_peers or not self.fresh or self._alone:
            return False
        self.begin(now)
        return True

    def heard(self, now: float) -> bool:
        """Notes a peer's message; returns whether a cut has just ended."""
        self._heard_s = now
        ended, self._alone = self._alone, False
        return ended

    def synced(self, theirs: ManifestKey) -> None:
        """Notes that a peer has told its members and its manifest's key."""
        self._synced = True
        self._awaited = max(self._awaited, theirs)

    def check(self, in_force: ManifestKey, now: float) -> bool:
        """Returns whether a refresh has just ended."""
        if self._began is None:
            return False
        if self._synced and in_force >= self._awaited:
            self._began = None
            return True
        if now - self._began >= self._refresh_s:
            self._began = None
            self._alone = not self._synced
            return True
        return False
