"""Estimates the capacity of an endpoint that is left for one VM.

Many VMs send to the same few endpoints and learn of each other's flows only
through load reports that are half a second old or older. If each VM used all of
the reported headroom, together they would overfill the endpoint. So each VM
uses only its share, which it computes without coordination (see `_fleet_part`).
"""

import abc
import math

from pollenmast.decisions._fleet_part import CapacityShare
from pollenmast.decisions._trust import STALE_S, Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

UNREPORTED_FRACTION = 0.5
"""Fraction of the unreported flows that stays after a new report.

A report is a fraction of a second old when it arrives, as are the flows that
were placed since the report before it. So only part of them is in the report.
"""


class Capacity(abc.ABC):
    """Load and spare capacity of one endpoint as one VM sees them."""

    @abc.abstractmethod
    def on_placed(self, now: float) -> None:
        """Records that this VM placed a flow here."""

    @abc.abstractmethod
    def on_open(self, change: int) -> None:
        """Records that a flow was taken over (1) or has ended (-1)."""

    @abc.abstractmethod
    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Processes a newer report, as far as the verdict allows."""

    @abc.abstractmethod
    def has_room(self, now: float, share: float) -> bool:
        """Whether this VM may place another flow.

        Args:
            now: The runtime's clock.
            share: The endpoint's share of new flows, 0 to 1.
        """

    @abc.abstractmethod
    def load(self, now: float) -> float:
        """Returns the load for comparison with the service's endpoints."""

    @abc.abstractmethod
    def rate(self, share: float) -> float:
        """Returns the flows per second this VM may place here at full load."""

    @abc.abstractmethod
    def service_time_s(self) -> float:
        """Returns the service time in seconds, 0 if flows occupy no slot."""

    @abc.abstractmethod
    def compare(self, median_s: float) -> None:
        """Sets the median of `service_time_s` over the service's endpoints."""


class SessionCapacity(Capacity):
    """Capacity for long sessions, counted in connections."""

    def __init__(self, endpoint: Endpoint, capacity_share: CapacityShare):
        self._capacity_share = capacity_share
        self._connections = endpoint.connections
        self._reported_connections = 0
        self._reported_at = -math.inf
        self._open_flows = 0
        self._placed_since_report = 0.0

    def on_placed(self, now: float) -> None:
        """Counts a flow that is not in the reports yet."""
        self._placed_since_report += 1.0
        self._open_flows += 1

    def on_open(self, change: int) -> None:
        """Updates the count of this VM's own open flows."""
        self._open_flows += change

    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Stores the reported connections if the report is trusted.

        Otherwise the connections are estimated from this VM's own flows. If
        its reports were used, an endpoint that always reports itself empty
        would attract all new sessions.
        """
        self._reported_at = now
        if verdict is Verdict.TRUSTED:
            self._reported_connections = report.connections
        else:
            self._reported_connections = int(
                self._open_flows / self._capacity_share.value
            )
        self._placed_since_report *= UNREPORTED_FRACTION

    def has_room(self, now: float, share: float) -> bool:
        """Whether this VM's share of the free connections is not used up.

        If the reports have stopped, the VM's own open flows are compared with
        its share of all connections. The flows placed since the last report
        cannot be used then, as that count only grows: the service would
        become full although sessions come and go.
        """
        if now - self._reported_at > STALE_S:
            return (
                self._open_flows
                < self._connections * self._capacity_share.value
            )
        free = self._connections - self._reported_connections
        return self._placed_since_report < free * self._capacity_share.value

    def load(self, now: float) -> float:
        """Returns the estimated connections in use.

        The flows that this VM placed since the report are scaled up by its
        share, as the other VMs placed flows too. Otherwise every VM would
        correct the whole of a reported imbalance.
        """
        return (
            self._reported_connections
            + self._placed_since_report / self._capacity_share.value
        )

    def rate(self, share: float) -> float:
        """Returns a low rate: connections free slowly, holding rarely helps."""
        return 1.0

    def service_time_s(self) -> float:
        """Returns 0, as sessions occupy no slot."""
        return 0.0

    def compare(self, median_s: float) -> None:
        """Does nothing, as sessions have no service time."""
