"""State of one endpoint as seen by one VM."""

import attrs

from pollenmast.decisions import _slow_start as slow_start
from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._evidence import PassiveHealthCheck
from pollenmast.decisions._trust import ReportTrust, Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint, EndpointState

SLOW_RATIO = 2.0
"""Service time, relative to the service's median, above which one is slow.

A smaller difference may be chance. The share of a slow endpoint is reduced in
proportion to its speed, so that its slots are as busy as the others'.
"""

MIN_SHARE = 0.05
"""Minimum share of a slow or stuck endpoint.

The few flows that it still gets show when it has recovered.
"""

_VERDICT_TEXTS = {
    Verdict.STALE: "its load report is old: not counted",
    Verdict.FROZEN: "its load report is frozen: not counted",
    Verdict.STUCK: "its slots are taken and nothing finishes",
    Verdict.HIDES: "its load report hides work that was sent there",
}


@attrs.define(eq=False)
class EndpointRecord:
    """State of one endpoint.

    Attributes:
        endpoint: The endpoint's entry in the manifest.
        capacity: The capacity that is left for this VM.
        trust: Whether its load reports can be trusted.
        speed: Its speed relative to the service's median, at most 1; exactly
            1 unless it is slow.
        added_at: When a manifest added it to a service that was already
            known, or None if it was in the first manifest.
        passive_health: What this VM has seen of its answers to new flows.
        open_flows: Flows to it that this VM carries.
        report: The newest load report.
        reported_at: When that report was received.
    """

    endpoint: Endpoint
    capacity: Capacity
    trust: ReportTrust
    speed: float = 1.0
    added_at: float | None = None
    passive_health: PassiveHealthCheck = attrs.field(factory=PassiveHealthCheck)
    open_flows: int = 0
    report: EndpointReport | None = None
    reported_at: float = 0.0

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    @property
    def serving(self) -> bool:
        """Whether the manifest lets it take new flows."""
        return self.endpoint.state is EndpointState.SERVING

    def is_reported_down(self) -> bool:
        """Whether its last probe failed or it does not accept work."""
        return self.report is not None and not self.report.healthy

    def slow_start_share(self, now: float) -> float:
        """Returns the slow-start factor of its share, 0.1 to 1."""
        if self.report is not None and self.report.healthy:
            age = now - self.reported_at
            return slow_start.share(self.report.uptime_s + age)
        if self.added_at is not None:
            return slow_start.share(now - self.added_at)
        return 1.0

    def on_placed(self, now: float) -> None:
        """Records that this VM placed a flow at it."""
        self.capacity.on_placed(now)
        self.trust.on_placed()
        self.open_flows += 1

    def on_adopted(self) -> None:
        """Records that this VM took over a flow to it from another VM."""
        self.open_flows += 1
        self.capacity.on_open(1)

    def on_ended(self) -> None:
        """Records that a flow of this VM ended or moved to another VM."""
        if self.open_flows > 0:
            self.open_flows -= 1
            self.capacity.on_open(-1)

    def on_report(self, report: EndpointReport, now: float) -> bool:
        """Stores a report unless it is outdated or a duplicate.

        A duplicate that arrived by another path would show no finished
        requests since the last report and make the endpoint look slow.

        Returns:
            Whether the report is new and contains load figures, so that
            `apply_report` has to be called.
        """
        last = self.report
        if last is not None and report.sequence <= last.sequence:
            return False
        self.report, self.reported_at = report, now
        if report.healthy:
            sessions = 0 if self.capacity.service_time_s() else self.open_flows
            self.trust.on_report(report, now, sessions)
        return report.healthy

    def apply_report(self, now: float) -> None:
        """Applies the newest report to the capacity if it is trusted."""
        self.capacity.on_report(self.report, now, self.trust.verdict(now))

    def report_is_doubted(self, now: float) -> bool:
        """Whether it gets less work because its report looks wrong."""
        return self.trust.verdict(now) in (Verdict.HIDES, Verdict.STUCK)

    def compare(
        self,
        median_s: float,
        median_ratio: float,
        median_busy: float,
        now: float,
    ) -> None:
        """Compares it with the medians of its service.

        Args:
            median_s: Median service time.
            median_ratio: Median of `ReportTrust.finished_ratio`.
            median_busy: Median of the reported busy slots.
            now: The runtime's clock.
        """
        self.capacity.compare(median_s)
        service_time_s = self.capacity.service_time_s()
        slow = service_time_s > SLOW_RATIO * median_s > 0.0
        self.speed = max(median_s / service_time_s, MIN_SHARE) if slow else 1.0
        self.trust.compare(median_ratio, median_busy, now)

    def share(self, now: float) -> float:
        """Returns its share of new flows, 0 to 1, before panic mode applies."""
        if not self.serving or self.is_reported_down():
            return 0.0
        share = (
            self.passive_health.share(now)
            * self.slow_start_share(now)
            * self.speed
        )
        if self.trust.verdict(now) is Verdict.STUCK:
            return share * MIN_SHARE
        return share

    def why(self, now: float) -> str:
        """Returns an explanation of the share for operators."""
        if not self.serving:
            return "draining: takes no new flows"
        if self.is_reported_down():
            return "its health report says down or not accepting"
        if self.passive_health.is_ejected(now):
            return "ejected: new flows got no answer from it"
        if self.passive_health.share(now) < 1.0:
            return "returning after an ejection"
        if self.slow_start_share(now) < 1.0:
            return "slow start: it runs since a few seconds only"
        verdict = self.trust.verdict(now)
        if verdict is not Verdict.TRUSTED:
            return _VERDICT_TEXTS[verdict]
        if self.speed < 1.0:
            return "slower than the others"
        if self.report is None:
            return "no report yet: counted as healthy"
        return "healthy"
