"""How full an endpoint is, as far as one VM can tell, and its own part.

Load pattern: many VMs send to the same few endpoints and hear of each other
only through load reports that are half a second old or more. If each VM took
the reported headroom for itself, all of them would fill it at once. Each
takes only its part, which nobody has to hand out.
"""

import abc
import math

from pollenmast.decisions._fleet_part import FleetPart
from pollenmast.decisions._trust import STALE_S, Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

SHOWN = 0.5
"""Part of what was placed before a report that the report already shows.

A report is a fraction of a second old, as is what was placed since the last.
"""


class Capacity(abc.ABC):
    """One endpoint's fullness as one VM sees it."""

    @abc.abstractmethod
    def on_placed(self, now: float) -> None:
        """A flow was placed here by this VM."""

    @abc.abstractmethod
    def on_open(self, change: int) -> None:
        """Counts flows that this VM took over (1) or that ended (-1)."""

    @abc.abstractmethod
    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Takes in a newer report, as far as it is believed."""

    @abc.abstractmethod
    def has_room(self, now: float, share: float) -> bool:
        """Whether this VM may place one more, given the endpoint's share."""

    @abc.abstractmethod
    def load(self, now: float) -> float:
        """Returns how full the endpoint is for comparison, in flows."""

    @abc.abstractmethod
    def rate(self, share: float) -> float:
        """Returns flows a second that this VM may place here when full."""

    @abc.abstractmethod
    def pace(self) -> float:
        """Returns seconds that a flow holds a slot, 0 where it has none."""

    @abc.abstractmethod
    def compare(self, median_s: float) -> None:
        """Takes in the median of what `pace` is at the service's endpoints."""


class SessionCapacity(Capacity):
    """Fullness by connections: long sessions."""

    def __init__(self, endpoint: Endpoint, part: FleetPart):
        self._part = part
        self._connections = endpoint.connections
        self._reported = 0
        self._reported_at = -math.inf
        self._open = 0
        self._since = 0.0

    def on_placed(self, now: float) -> None:
        """Counts a flow that the reports do not show yet."""
        self._since += 1.0
        self._open += 1

    def on_open(self, change: int) -> None:
        """Counts this VM's own flows."""
        self._open += change

    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Takes the reported count, or one made of the VM's own flows.

        An endpoint that always says empty would draw all new sessions.
        """
        self._reported_at = now
        if verdict is Verdict.BELIEVED:
            self._reported = report.connections
        else:
            self._reported = int(self._open / self._part.value)
        self._since *= SHOWN

    def has_room(self, now: float, share: float) -> bool:
        """Whether this VM's part of the free connections is not used up.

        Without reports it counts its own flows, which it sees end. What it
        placed since the last one only grows: a service whose probes are cut
        would close although its sessions come and go.
        """
        if now - self._reported_at > STALE_S:
            return self._open < self._connections * self._part.value
        free = self._connections - self._reported
        return self._since < free * self._part.value

    def load(self, now: float) -> float:
        """Returns the connections in use.

        What this VM placed since the report stands for what each VM placed:
        otherwise every VM would mend the whole of a reported difference.
        """
        return self._reported + self._since / self._part.value

    def rate(self, share: float) -> float:
        """Returns a low rate: connections free slowly, a hold rarely helps."""
        return 1.0

    def pace(self) -> float:
        """Returns 0: sessions hold no slot."""
        return 0.0

    def compare(self, median_s: float) -> None:
        """Has no use for it."""
