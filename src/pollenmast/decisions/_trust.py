"""Whether an endpoint's load report may be believed.

Load pattern: a report that lies or is frozen. An endpoint that always says
idle, or one whose load page is served by a stuck thread, draws the work of
all VMs when reports steer placement; one frozen at full gets none.

Every request that reaches an endpoint must show up as waiting, running or
finished. A VM knows how many it placed there and about which part of the
fleet's that is. What a report fails to account for over some seconds, it
hides. An endpoint is compared with the others of its service: callers that
send nothing after the handshake make all of them seem to hide work, and must
not be able to close a service so.
"""

import collections
import enum

import attrs

from pollenmast.peers._messages import EndpointReport

WINDOW_S = 4.0
"""Time over which flows and report are compared: about eight reports."""

LEAST_EXPECTED = 12.0
"""Flows of the fleet expected in that time before a verdict is given."""

HIDDEN = 0.5
"""Part accounted for, by the service's usual, below which work is hidden."""

IMPLAUSIBLE = 0.25
"""Service time, by the service's median, below which the slots in use are
not believed: an endpoint that says idle seems to finish work in no time."""

SUSPECT_S = 10.0
"""How long a report that hid work is not believed after the last sign.

Once less work goes there the sign vanishes, whether the report is mended or
not; without this time a lying endpoint would be flooded every few seconds.
"""

STALE_S = 3.0
"""Age at which a report says nothing any more: six probe periods."""

MOST_KEPT = 32
"""Reports kept at the most, were they to come much faster than expected."""


class Verdict(enum.Enum):
    """What a report is worth."""

    BELIEVED = "believed"
    STALE = "stale"
    FROZEN = "frozen"
    """Nothing in it moves although flows go there and slots are free."""

    STUCK = "stuck"
    """Nothing finishes although every slot is taken and work goes there."""

    HIDES = "hides"
    """It accounts for too little of the work that goes there."""


@attrs.frozen
class _Seen:
    at: float
    occupancy: int
    connections: int
    finished: int
    placed: int


class ReportTrust:
    """Compares one endpoint's reports with what this VM placed there."""

    def __init__(self, slots: int):
        self._slots = slots
        self._seen: collections.deque[_Seen] = collections.deque(
            maxlen=MOST_KEPT
        )
        self._placed = 0
        self._accounted: float | None = None
        self._moved = True
        self._suspect_until: float | None = None

    @property
    def accounted(self) -> float | None:
        """Part of the work sent there that shows, None when too little was."""
        return self._accounted

    def on_placed(self) -> None:
        """A flow was placed there by this VM."""
        self._placed += 1

    def on_report(
        self, report: EndpointReport, now: float, part: float
    ) -> None:
        """Compares a newer report with the one some seconds before.

        Args:
            report: The report.
            now: The runtime's clock.
            part: This VM's part of the flows that go there.
        """
        if self._seen and report.finished < self._seen[-1].finished:
            self._seen.clear()
        newest = _Seen(
            now,
            report.running + report.queued,
            report.connections,
            report.finished,
            self._placed,
        )
        self._seen.append(newest)
        while len(self._seen) > 2 and now - self._seen[1].at >= WINDOW_S:
            self._seen.popleft()
        self._account(self._seen[0], newest, part)

    def compare(self, usual: float, pace: float, now: float) -> None:
        """Compares with the other endpoints of the service.

        Args:
            usual: The median of what they account for.
            pace: The service time by the median one, 0 when unknown.
            now: The runtime's clock.
        """
        hides = self._accounted is not None and self._accounted < HIDDEN * min(
            usual, 1.0
        )
        if hides or 0.0 < pace < IMPLAUSIBLE:
            self._suspect_until = now + SUSPECT_S

    def verdict(self, now: float) -> Verdict:
        """Returns what the newest report is worth now."""
        if not self._seen:
            return Verdict.BELIEVED
        newest = self._seen[-1]
        if now - newest.at > STALE_S:
            return Verdict.STALE
        if not self._moved:
            full = newest.occupancy >= self._slots
            return Verdict.STUCK if full else Verdict.FROZEN
        if self._suspect_until is not None and now < self._suspect_until:
            return Verdict.HIDES
        return Verdict.BELIEVED

    def _account(self, oldest: _Seen, newest: _Seen, part: float) -> None:
        self._accounted, self._moved = None, True
        expected = (newest.placed - oldest.placed) / part
        if newest.at - oldest.at < WINDOW_S or expected < LEAST_EXPECTED:
            return
        done = newest.finished - oldest.finished
        waiting = newest.occupancy - oldest.occupancy
        opened = newest.connections - oldest.connections
        shown = done + max(waiting, opened, 0)
        self._accounted = shown / expected
        self._moved = shown > 0
