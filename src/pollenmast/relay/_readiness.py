"""When a relay may open flows.

A relay with old beliefs would open flows at endpoints that have left, or that
another VM owns by now. Operators would see an upstream that leaves get new
work, and sessions that stall. Known flows are passed on whatever it believes.
"""

from pollenmast.manifest import Manifest
from pollenmast.peers._messages import FleetView

LEASE_S = 3.0
"""How old the newest view may be for this relay to open flows, in seconds.
An agent sends one each second; a relay without news for three of them may be
cut off from its agent, or may itself have been frozen."""

FIRST_REPORTS_S = 3.0
"""Longest wait of a starting relay for a report of every endpoint, in seconds:
six probe intervals. A VM that has just joined knows the manifest at once but
not which endpoints drain by their own report; it would open flows there."""

FROZEN_S = 1.0
"""A gap between two ticks from which the process counts as frozen: 50 ticks of
20 ms, more than a garbage collection or a busy host takes."""


class Readiness:
    """How fresh this relay's beliefs are."""

    def __init__(self, now: float):
        self._last_tick = now
        self._last_view = now - 2 * LEASE_S
        self._wake = 1
        self._informed = False
        self._informed_by: float | None = None
        self._reported: set[tuple[int, str]] = set()

    @property
    def wake(self) -> int:
        """How often this relay has started or woken from a freeze."""
        return self._wake

    def fresh(self, now: float) -> bool:
        """Returns whether flows may be opened on what is believed."""
        # A process that wakes reads its sockets before its clock ticks.
        awake = now - self._last_tick <= FROZEN_S
        in_lease = now - self._last_view <= LEASE_S
        waited = self._informed_by is not None and now >= self._informed_by
        return awake and in_lease and (self._informed or waited)

    def on_tick(self, now: float) -> None:
        """Notes that the process runs; a long gap means that it did not.

        A frozen process wakes with old beliefs: others may own its flows by
        now. Only a view made after it woke counts, and one may still lie in
        the link from before; hence the number that a view must repeat.
        """
        if now - self._last_tick > FROZEN_S:
            self._wake += 1
            self._last_view = now - 2 * LEASE_S
        self._last_tick = now

    def on_view(
        self, view: FleetView, manifest: Manifest | None, now: float
    ) -> bool:
        """Takes the agent's view, with the manifest in force after it.

        Returns:
            Whether this relay's beliefs have been old until now.
        """
        was_fresh = self.fresh(now)
        if not self._informed:
            self._note_reports(view)
        if manifest is not None:
            if self._informed_by is None:
                self._informed_by = now + FIRST_REPORTS_S
            self._informed = self._informed or self._knows_all(manifest)
        if view.fresh and view.wake_seen == self._wake:
            self._last_view = now
        return self.fresh(now) and not was_fresh

    def _note_reports(self, view: FleetView) -> None:
        """A view may name only what has changed since the one before."""
        for report in view.reports:
            self._reported.add((report.service, report.endpoint))

    def _knows_all(self, manifest: Manifest) -> bool:
        """Whether there was a report of every endpoint of the manifest."""
        return all(
            (service.number, endpoint.name) in self._reported
            for service in manifest.services
            for endpoint in service.endpoints
        )
