"""What one VM keeps of one endpoint."""

import attrs

from pollenmast.decisions import _slow_start as slow_start
from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._evidence import Evidence
from pollenmast.manifest import Endpoint, EndpointState
from pollenmast.peers._messages import EndpointReport


@attrs.define(eq=False)
class EndpointRecord:
    """One endpoint's state.

    Attributes:
        endpoint: The manifest's entry.
        capacity: How full it is.
        evidence: What this VM has seen of it.
        came_at: When a manifest brought it while others served, or None for
            one that was there from the start.
        open_flows: Flows that this VM carries to it.
        report: The newest report.
        reported_at: When that came.
    """

    endpoint: Endpoint
    capacity: Capacity
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

    def share(self, now: float) -> float:
        """Returns its share of new flows, 0 to 1, before any floor."""
        if not self.serving or self.reported_down():
            return 0.0
        return self.evidence.share(now) * self.warmth(now)

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
        if self.report is None:
            return "no report yet: counted as healthy"
        return "healthy"
