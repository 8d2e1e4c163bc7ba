"""Whether an endpoint's load report may be believed.

Load pattern: a report that lies or is frozen. An endpoint that always says
idle, or one whose load page is served by a stuck thread, draws the work of
all VMs when reports steer placement; one frozen at full gets none.

Every request that reaches an endpoint must show up as waiting, running or
finished. A VM knows how many it placed there, and that the other VMs, which
callers reach alike, placed about as many each. What the report fails to
account for over some seconds, it hides.
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
"""Part accounted for below which the report is not believed.

VMs get uneven numbers of flows, and callers may send nothing after the
handshake; half is beyond both.
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
        self._verdict = Verdict.BELIEVED
        self._accounted = 1.0

    @property
    def accounted(self) -> float:
        """Returns the part of the work sent there that the report shows."""
        return self._accounted

    def on_placed(self) -> None:
        """A flow was placed there by this VM."""
        self._placed += 1

    def on_report(
        self, report: EndpointReport, now: float, part: float
    ) -> None:
        """Compares a newer report with the one some seconds before."""
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
        self._judge(self._seen[0], newest, part)

    def verdict(self, now: float) -> Verdict:
        """Returns what the newest report is worth now."""
        if self._seen and now - self._seen[-1].at > STALE_S:
            return Verdict.STALE
        return self._verdict

    def _judge(self, oldest: _Seen, newest: _Seen, part: float) -> None:
        self._verdict = Verdict.BELIEVED
        self._accounted = 1.0
        expected = (newest.placed - oldest.placed) / part
        if newest.at - oldest.at < WINDOW_S or expected < LEAST_EXPECTED:
            return
        done = newest.finished - oldest.finished
        waiting = newest.occupancy - oldest.occupancy
        opened = newest.connections - oldest.connections
        shown = done + max(waiting, opened)
        if shown >= HIDDEN * expected:
            return
        self._accounted = max(shown, 0) / expected
        self._verdict = self._kind(newest, done, shown)

    def _kind(self, newest: _Seen, done: int, shown: int) -> Verdict:
        if done > 0 or shown > 0:
            return Verdict.HIDES
        if newest.occupancy >= self._slots:
            return Verdict.STUCK
        return Verdict.FROZEN
