"""What one VM keeps of one endpoint."""

import attrs

from pollenmast.decisions import _slow_start as slow_start
from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._evidence import Evidence
from pollenmast.decisions._trust import ReportTrust, Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint, EndpointState

SLOW = 2.0
"""Service time, by the service's median, from which an endpoint gets less.

Below it the difference may be chance; from there the share is that of its
speed, so that its slots are as busy as the others'.
"""

LEAST_SHARE = 0.05
"""Share that a slow or stuck endpoint keeps, so that its return is seen."""

_SPOKEN = {
    Verdict.STALE: "its load report is old: not counted",
    Verdict.FROZEN: "its load report is frozen: not counted",
    Verdict.STUCK: "its slots are taken and nothing finishes",
    Verdict.HIDES: "its load report hides work that was sent there",
}


@attrs.define(eq=False)
class EndpointRecord:
    """One endpoint's state.

    Attributes:
        endpoint: The manifest's entry.
        capacity: How full it is.
        trust: Whether its load report may be believed.
        speed: Its part of the usual speed, 1 unless it is clearly slow.
        evidence: What this VM has seen of it.
        came_at: When a manifest brought it while others served, or None for
            one that was there from the start.
        open_flows: Flows that this VM carries to it.
        report: The newest report.
        reported_at: When that came.
    """

    endpoint: Endpoint
    capacity: Capacity
    trust: ReportTrust
    speed: float = 1.0
    came_at: float | None = None
    evidence: Evidence = attrs.field(factory=Evidence)
    open_flows: int = 0
    report: EndpointReport | None = None
    reported_at: float = 0.0

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    @property
    def serving(self) -> bool:
        """Whether the operators want it to take new flows."""
        return self.endpoint.state is EndpointState.SERVING

    def reported_down(self) -> bool:
        """Whether its last probe failed or it takes no work."""
        return self.report is not None and not self.report.healthy

    def warmth(self, now: float) -> float:
        """Returns the slow start's share, 0.1 to 1."""
        if self.report is not None and self.report.healthy:
            age = now - self.reported_at
            return slow_start.share(self.report.uptime_s + age)
        if self.came_at is not None:
            return slow_start.share(now - self.came_at)
        return 1.0

    def on_placed(self, now: float) -> None:
        """This VM placed a flow there."""
        self.capacity.on_placed(now)
        self.trust.on_placed()
        self.open_flows += 1

    def on_adopted(self) -> None:
        """This VM took over a flow to it from another VM."""
        self.open_flows += 1
        self.capacity.on_open(1)

    def on_ended(self) -> None:
        """A flow of this VM to it ended or moved to another VM."""
        if self.open_flows > 0:
            self.open_flows -= 1
            self.capacity.on_open(-1)

    def on_report(self, report: EndpointReport, now: float) -> bool:
        """Takes in a report unless it is old or repeated.

        A repeated one, come by another way, would count its finished
        requests as none and make the endpoint look slow.

        Returns:
            Whether it tells of the load and has to be settled.
        """
        last = self.report
        if last is not None and report.sequence <= last.sequence:
            return False
        self.report, self.reported_at = report, now
        if report.healthy:
            sessions = 0 if self.capacity.pace() else self.open_flows
            self.trust.on_report(report, now, sessions)
        return report.healthy

    def settle(self, now: float) -> None:
        """Counts the newest report as far as it is believed."""
        self.capacity.on_report(self.report, now, self.trust.verdict(now))

    def doubted(self, now: float) -> bool:
        """Whether its report costs it work."""
        return self.trust.verdict(now) in (Verdict.HIDES, Verdict.STUCK)

    def compare(
        self, median_s: float, usual: float, usual_busy: float, now: float
    ) -> None:
        """Compares it with the medians of its service.

        Args:
            median_s: Of the service times.
            usual: Of what finishes for each flow that this VM sends.
            usual_busy: Of the busy slots reported.
            now: The runtime's clock.
        """
        self.capacity.compare(median_s)
        pace = self.capacity.pace()
        slow = pace > SLOW * median_s > 0.0
        self.speed = max(median_s / pace, LEAST_SHARE) if slow else 1.0
        self.trust.compare(usual, usual_busy, now)

    def share(self, now: float) -> float:
        """Returns its share of new flows, 0 to 1, before any floor."""
        if not self.serving or self.reported_down():
            return 0.0
        share = self.evidence.share(now) * self.warmth(now) * self.speed
        if self.trust.verdict(now) is Verdict.STUCK:
            return share * LEAST_SHARE
        return share

    def why(self, now: float) -> str:
        """Says why the share is what it is, in an operator's words."""
        if not self.serving:
            return "draining: takes no new flows"
        if self.reported_down():
            return "its health report says down or not accepting"
        if self.evidence.ejected(now):
            return "ejected: new flows got no answer from it"
        if self.evidence.share(now) < 1.0:
            return "returning after an ejection"
        if self.warmth(now) < 1.0:
            return "slow start: it runs since a few seconds only"
        verdict = self.trust.verdict(now)
        if verdict is not Verdict.BELIEVED:
            return _SPOKEN[verdict]
        if self.speed < 1.0:
            return "slower than the others"
        if self.report is None:
            return "no report yet: counted as healthy"
        return "healthy"
