"""Tracks whether the local view of the fleet is fresh enough for decisions.

After a pause of seconds or minutes, or after isolation from all peers, the
view of a process is stale. If the process acted on it, it would open flows
that other VMs own, to endpoints that have left, under an old manifest; with
two owners per flow, callers would see broken flows. The process therefore
first fetches the members and the manifest of one peer. If no peer answers, it
is cut off and continues with the VMs that it reaches.
"""

from pollenmast.manifest import ManifestKey


class Freshness:
    """Tracks whether the view is fresh.

    The view becomes stale after a pause of the process or a time without
    messages from peers, and fresh again after a refresh.
    """

    def __init__(self, lease_s: float, refresh_timeout_s: float, now: float):
        self._lease_s = lease_s
        self._refresh_timeout_s = refresh_timeout_s
        self._last_message_s = now
        self._refresh_started_s: float | None = None
        self._refresh_number = 0
        self._synced = False
        self._required_key = ManifestKey()
        self._alone = False

    @property
    def fresh(self) -> bool:
        """Whether decisions may be based on the view."""
        return self._refresh_started_s is None

    @property
    def refresh_number(self) -> int:
        """The number of the latest refresh.

        An answer to a refresh with a lower number is outdated.
        """
        return self._refresh_number

    @property
    def alone(self) -> bool:
        """Whether the last refresh ended without an answer."""
        return self._alone

    def start_refresh(self, now: float) -> None:
        """Starts a refresh, because the view may be stale."""
        self._refresh_started_s = now
        self._refresh_number += 1
        self._synced = False
        self._required_key = ManifestKey()

    def refresh_after_gap(self, gap_s: float, now: float) -> bool:
        """Starts a refresh if the process has not run for the lease time.

        Args:
            gap_s: Time since the process last ran, in seconds.
            now: Current time of the runtime's clock, in seconds.

        Returns:
            Whether a refresh was started.
        """
        if gap_s <= self._lease_s:
            return False
        self.start_refresh(now)
        return True

    def refresh_after_silence(self, has_peers: bool, now: float) -> bool:
        """Starts a refresh if no message came for the lease time.

        No refresh is started without peers, while the view is stale, or after
        a refresh that got no answer.

        Returns:
            Whether a refresh was started.
        """
        expired = now - self._last_message_s > self._lease_s
        if not expired or not has_peers or not self.fresh or self._alone:
            return False
        self.start_refresh(now)
        return True

    def record_message(self, now: float) -> bool:
        """Records a message from a peer.

        Returns:
            Whether the message ends a time of isolation.
        """
        self._last_message_s = now
        ended, self._alone = self._alone, False
        return ended

    def record_sync(self, peer_key: ManifestKey) -> None:
        """Records that a peer has sent all its members and its manifest key."""
        self._synced = True
        self._required_key = max(self._required_key, peer_key)

    def end_refresh(self, in_force: ManifestKey, now: float) -> bool:
        """Ends the refresh if it is complete or has timed out.

        Returns:
            Whether the refresh was ended.
        """
        if self._refresh_started_s is None:
            return False
        if self._synced and in_force >= self._required_key:
            self._refresh_started_s = None
            return True
        if now - self._refresh_started_s >= self._refresh_timeout_s:
            self._refresh_started_s = None
            self._alone = not self._synced
            return True
        return False
