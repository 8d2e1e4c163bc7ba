"""Decides when a relay may open flows.

A relay with a stale view of the fleet would open flows at endpoints that have
left, or flows that another VM owns by now. Operators would see new work sent to
a leaving upstream, and sessions that stall. Known flows are forwarded however
stale the view is.
"""

from pollenmast.manifest import Manifest
from pollenmast.peers._messages import FleetView

VIEW_LEASE_S = 3.0
"""Maximum age of the latest view at which flows may be opened, in seconds.

An agent sends one view per second. A relay that has missed three may be cut
off from its agent, or may itself have been frozen.
"""

FIRST_REPORTS_TIMEOUT_S = 3.0
"""Maximum wait of a starting relay for reports of all endpoints, in seconds.

Six probe intervals. A VM that has just joined has the manifest at once but
does not know which endpoints report that they are draining, and would open
flows there.
"""

FREEZE_THRESHOLD_S = 1.0
"""Gap between two ticks beyond which the process was frozen, in seconds.

50 ticks of 20 ms, which is longer than a garbage collection or a busy host
delays a tick.
"""


class Readiness:
    """Tracks how fresh this relay's view of the fleet is."""

    def __init__(self, now: float):
        self._last_tick = now
        self._last_view = now - 2 * VIEW_LEASE_S
        self._wake = 1
        self._all_reported = False
        self._reports_deadline: float | None = None
        self._reported: set[tuple[int, str]] = set()

    @property
    def wake(self) -> int:
        """Number of starts and wake-ups from a freeze, which views repeat."""
        return self._wake

    def is_fresh(self, now: float) -> bool:
        """Returns whether the view is fresh enough to open flows."""
        # After a freeze, the process may read its sockets before its next tick.
        awake = now - self._last_tick <= FREEZE_THRESHOLD_S
        in_lease = now - self._last_view <= VIEW_LEASE_S
        waited = (
            self._reports_deadline is not None and now >= self._reports_deadline
        )
        return awake and in_lease and (self._all_reported or waited)

    def on_tick(self, now: float) -> None:
        """Records a tick; a long gap since the last one means a freeze.

        A process that was frozen has a stale view: other VMs may own its
        flows by now. Only a view made after it woke counts, but an older one
        may still be buffered in the link. Each view must therefore repeat the
        wake number.
        """
        if now - self._last_tick > FREEZE_THRESHOLD_S:
            self._wake += 1
            self._last_view = now - 2 * VIEW_LEASE_S
        self._last_tick = now

    def on_view(
        self, view: FleetView, manifest: Manifest | None, now: float
    ) -> bool:
        """Applies the agent's view.

        Args:
            view: The agent's view of the fleet.
            manifest: The manifest in force after the view was applied.
            now: The runtime's clock, in seconds.

        Returns:
            Whether this relay's view was stale until now.
        """
        was_fresh = self.is_fresh(now)
        if not self._all_reported:
            self._add_reports(view)
        if manifest is not None:
            if self._reports_deadline is None:
                self._reports_deadline = now + FIRST_REPORTS_TIMEOUT_S
            self._all_reported = (
                self._all_reported or self._covers_all_endpoints(manifest)
            )
        if view.fresh and view.wake_seen == self._wake:
            self._last_view = now
        return self.is_fresh(now) and not was_fresh

    def _add_reports(self, view: FleetView) -> None:
        """Accumulates reports, as a view may hold only those that changed."""
        for report in view.reports:
            self._reported.add((report.service, report.endpoint))

    def _covers_all_endpoints(self, manifest: Manifest) -> bool:
        """Returns whether every endpoint of the manifest has been reported."""
        return all(
            (service.number, endpoint.name) in self._reported
            for service in manifest.services
            for endpoint in service.endpoints
        )
