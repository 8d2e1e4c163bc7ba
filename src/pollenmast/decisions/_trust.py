"""Detects load reports that cannot be trusted.

A load report may be wrong or frozen. If placement followed reports blindly, an
endpoint that always reports itself idle, or whose load page is served by a
stuck thread, would attract the work of all VMs. One that is frozen at full load
would get none.

There are three checks, and none of them relies on the report being honest:

- No figure changes although this VM sends work to the endpoint.
- The endpoint finishes much less than its peers for the same number of flows
  from this VM, but reports that it is less busy.
- The endpoint reports far fewer connections than this VM alone has to it.

Endpoints are compared with each other because callers that send nothing
after the handshake make all endpoints finish less than they were sent.
"""

import collections
import enum

import attrs

from pollenmast.fleet import EndpointReport

WINDOW_S = 4.0
"""Seconds over which flows and reports are compared: about eight reports."""

MIN_PLACED_FOR_RATIO = 6
"""Minimum flows of this VM in the window for comparing finished work.

With fewer flows the statistical noise is as large as the effect to detect. A
VM that sends less also does little harm.
"""

MIN_PLACED_FOR_CHANGE = 3
"""Flows of this VM in the window after which a report has to change."""

HIDDEN_WORK_RATIO = 0.5
"""Finished ratio, relative to the service's median, that hides work.

An endpoint below it may be hiding work.
"""

LESS_BUSY_RATIO = 0.5
"""Reported busy slots, relative to the service's median, that hide work.

An endpoint below it may be hiding work. One that reports itself as busy as
the others is slow or gets less work, and its report is honest.
"""

MIN_CONNECTIONS_RATIO = 0.25
"""Minimum of reported connections, relative to those of this VM.

With fewer the report is not trusted. It is well below 1 because a VM counts
ended flows until it notices that they are silent.
"""

DISTRUST_S = 20.0
"""Seconds for which a report is not trusted after it last hid work.

Once the endpoint gets less work, the symptom disappears whether or not the
report is right again. Without this time an endpoint with wrong reports would
be flooded every few seconds.
"""

STALE_S = 3.0
"""Age, in seconds, at which a report is ignored: six probe periods."""

MAX_REPORTS = 32
"""Maximum number of reports kept, in case they arrive unusually often."""


class Verdict(enum.Enum):
    """How far a report can be trusted."""

    TRUSTED = "believed"
    STALE = "stale"
    FROZEN = "frozen"
    """No figure changes although flows go there and slots are free."""

    STUCK = "stuck"
    """Nothing finishes although all slots are busy and flows go there."""

    HIDES = "hides"
    """It shows too little of the work that was sent there."""


@attrs.frozen
class _Sample:
    at: float
    report: EndpointReport
    placed: int


class ReportTrust:
    """Compares one endpoint's reports with the flows that this VM placed."""

    def __init__(self, slots: int):
        self._slots = slots
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_REPORTS
        )
        self._placed = 0
        self._changed = True
        self._finished_ratio: float | None = None
        self._distrusted_until: float | None = None

    @property
    def finished_ratio(self) -> float | None:
        """Finished requests per flow of this VM, or None with too few flows."""
        return self._finished_ratio

    def on_placed(self) -> None:
        """Records that this VM placed a flow at the endpoint."""
        self._placed += 1

    def on_report(
        self, report: EndpointReport, now: float, sessions: int
    ) -> None:
        """Compares a newer report with the one at the start of the window.

        Args:
            report: The report.
            now: The runtime's clock.
            sessions: Sessions that this VM carries to the endpoint, 0 for
                services with short requests.
        """
        if (
            self._samples
            and report.finished < self._samples[-1].report.finished
        ):
            self._samples.clear()
        self._samples.append(_Sample(now, report, self._placed))
        while len(self._samples) > 2 and now - self._samples[1].at >= WINDOW_S:
            self._samples.popleft()
        self._measure()
        fewer = report.connections < MIN_CONNECTIONS_RATIO * sessions
        if fewer and sessions >= MIN_PLACED_FOR_RATIO:
            self._distrusted_until = now + DISTRUST_S

    @property
    def busy(self) -> float:
        """Mean of the reported busy slots in the window."""
        running = sum(sample.report.running for sample in self._samples)
        return running / len(self._samples) if self._samples else 0.0

    def compare(
        self, median_ratio: float, median_busy: float, now: float
    ) -> None:
        """Compares the endpoint with the medians of its service.

        Args:
            median_ratio: The median of `finished_ratio`.
            median_busy: The median of `busy`.
            now: The runtime's clock.
        """
        ratio = self._finished_ratio
        if ratio is None or ratio >= HIDDEN_WORK_RATIO * median_ratio:
            return
        if self.busy < LESS_BUSY_RATIO * median_busy:
            self._distrusted_until = now + DISTRUST_S

    def clear_suspicion(self) -> None:
        """Trusts the report again, as most of the service looks the same.

        Otherwise reports in a form that this VM does not expect, or callers
        that only open flows, would close the whole service.
        """
        self._distrusted_until = None
        self._changed = True

    def verdict(self, now: float) -> Verdict:
        """Returns how far the newest report can be trusted now."""
        if not self._samples:
            return Verdict.TRUSTED
        newest = self._samples[-1]
        if now - newest.at > STALE_S:
            return Verdict.STALE
        if not self._changed:
            full = newest.report.running >= self._slots
            return Verdict.STUCK if full else Verdict.FROZEN
        if self._distrusted_until is not None and now < self._distrusted_until:
            return Verdict.HIDES
        return Verdict.TRUSTED

    def _measure(self) -> None:
        oldest, newest = self._samples[0], self._samples[-1]
        self._changed, self._finished_ratio = True, None
        if newest.at - oldest.at < WINDOW_S:
            return
        placed = newest.placed - oldest.placed
        done = newest.report.finished - oldest.report.finished
        if placed >= MIN_PLACED_FOR_CHANGE:
            self._changed = done > 0 or any(
                _load_figures(sample.report) != _load_figures(newest.report)
                for sample in self._samples
            )
        if placed >= MIN_PLACED_FOR_RATIO:
            self._finished_ratio = done / placed


def _load_figures(report: EndpointReport) -> tuple[int, int, int]:
    return report.running, report.queued, report.connections
