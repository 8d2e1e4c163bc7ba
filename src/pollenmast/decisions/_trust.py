"""Whether an endpoint's load report may be believed.

Load pattern: a report that lies or is frozen. An endpoint that always says
idle, or one whose load page is served by a stuck thread, draws the work of
all VMs when reports steer placement; one frozen at full gets none.

Three checks, none of which needs the report to be honest. Nothing in it moves
although this VM sends work there. An endpoint that this VM sends as much as
the others finishes much less than they do, yet says that it is less busy. One
says that it has far fewer connections than this VM alone holds to it.

Endpoints are compared with each other, since callers that send nothing after
the handshake make all of them finish less than they were sent.
"""

import collections
import enum

import attrs

from pollenmast.fleet import EndpointReport

WINDOW_S = 4.0
"""Time over which flows and report are compared: about eight reports."""

LEAST_PLACED = 6
"""Own flows in that time before finished work is compared.

With fewer, chance alone is as large as what is looked for; a VM that sends
less does little harm either.
"""

LEAST_TO_MOVE = 3
"""Own flows in that time after which a report has to move."""

HIDDEN = 0.5
"""Finished by sent, by the service's median, below which work is hidden."""

LESS_BUSY = 0.5
"""Busy slots reported, by the service's median, below which an endpoint may
hide work. One that says it is as busy as the others is slow or gets less
work, and honest about it."""

FEWER = 0.25
"""Connections reported, by this VM's own, below which they are not believed.

A VM counts flows that ended until it notices that they are quiet.
"""

SUSPECT_S = 20.0
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
    report: EndpointReport
    placed: int


class ReportTrust:
    """Compares one endpoint's reports with what this VM placed there."""

    def __init__(self, slots: int):
        self._slots = slots
        self._seen: collections.deque[_Seen] = collections.deque(
            maxlen=MOST_KEPT
        )
        self._placed = 0
        self._moved = True
        self._finished_by_sent: float | None = None
        self._suspect_until: float | None = None

    @property
    def finished_by_sent(self) -> float | None:
        """Requests finished for each own flow sent, None with too few."""
        return self._finished_by_sent

    def on_placed(self) -> None:
        """A flow was placed there by this VM."""
        self._placed += 1

    def on_report(
        self, report: EndpointReport, now: float, sessions: int
    ) -> None:
        """Compares a newer report with the one some seconds before.

        Args:
            report: The report.
            now: The runtime's clock.
            sessions: Sessions that this VM carries there, if it has such.
        """
        if self._seen and report.finished < self._seen[-1].report.finished:
            self._seen.clear()
        self._seen.append(_Seen(now, report, self._placed))
        while len(self._seen) > 2 and now - self._seen[1].at >= WINDOW_S:
            self._seen.popleft()
        self._measure()
        fewer = report.connections < FEWER * sessions
        if fewer and sessions >= LEAST_PLACED:
            self._suspect_until = now + SUSPECT_S

    @property
    def busy(self) -> float:
        """Busy slots in the mean of the reports compared."""
        running = sum(seen.report.running for seen in self._seen)
        return running / len(self._seen) if self._seen else 0.0

    def compare(self, usual: float, usual_busy: float, now: float) -> None:
        """Compares with the service's medians.

        Args:
            usual: The median of `finished_by_sent`.
            usual_busy: The median of `busy`.
            now: The runtime's clock.
        """
        ratio = self._finished_by_sent
        if ratio is None or ratio >= HIDDEN * usual:
            return
        if self.busy < LESS_BUSY * usual_busy:
            self._suspect_until = now + SUSPECT_S

    def forgive(self) -> None:
        """Believes it again, because most of the service looks the same.

        Reports of another kind than this VM expects, or callers that only
        open flows, would otherwise close the whole service.
        """
        self._suspect_until = None
        self._moved = True

    def verdict(self, now: float) -> Verdict:
        """Returns what the newest report is worth now."""
        if not self._seen:
            return Verdict.BELIEVED
        newest = self._seen[-1]
        if now - newest.at > STALE_S:
            return Verdict.STALE
        if not self._moved:
            full = newest.report.running >= self._slots
            return Verdict.STUCK if full else Verdict.FROZEN
        if self._suspect_until is not None and now < self._suspect_until:
            return Verdict.HIDES
        return Verdict.BELIEVED

    def _measure(self) -> None:
        oldest, newest = self._seen[0], self._seen[-1]
        self._moved, self._finished_by_sent = True, None
        if newest.at - oldest.at < WINDOW_S:
            return
        placed = newest.placed - oldest.placed
        done = newest.report.finished - oldest.report.finished
        if placed >= LEAST_TO_MOVE:
            self._moved = done > 0 or any(
                _shown(seen.report) != _shown(newest.report)
                for seen in self._seen
            )
        if placed >= LEAST_PLACED:
            self._finished_by_sent = done / placed


def _shown(report: EndpointReport) -> tuple[int, int, int]:
    return report.running, report.queued, report.connections
