"""How many new flows this VM may send to an endpoint that is warming up.

Load pattern: endpoints start, or the zone of many of them is restored after a
drain, and all VMs find them idle at the same moment. Together the VMs must not
open more flows there than a cold endpoint bears, whichever of them are heard.

So each endpoint's allowance is dealt out to the VMs of its own zone. Each VM
computes its part from the VMs that it knows; nobody is asked. Rendezvous
hashing decides who gets the remainder, so that views that differ by a few VMs
differ by a few flows. Half of the allowance is not dealt out: it covers the
views of a zone that is parted in two.
"""

import collections
import math
import zlib
from collections.abc import Callable

import attrs

from pollenmast.steering._model import Warmup
from pollenmast.steering._record import Record

WINDOW_S = 1.25
"""Over which a VM counts the flows it opens, in seconds. The allowance is for
one second at the endpoint; paths of unlike delay can bring flows closer."""

DEALT_PART = 0.5
"""Share of the allowance that is dealt out."""


@attrs.frozen
class ColdAllowance:
    """How far endpoints that warm up may be loaded beyond what they bear.

    Attributes:
        overrun: Factor on the rate that the service states.
        slack: Flows a second on top of that.
    """

    overrun: float
    slack: float

    def dealt(self, warmup: Warmup) -> int:
        """Returns the flows a second that all VMs together plan with."""
        allowed = self.overrun * warmup.flows_per_s + self.slack
        return math.floor(DEALT_PART * allowed)


class ColdLimit:
    """The limit that one VM keeps, for each endpoint that warms up."""

    def __init__(self, zone: str, allowance: ColdAllowance | None):
        """Takes the VM's zone and the allowance, None for no limit."""
        self._zone = zone
        self._allowance = allowance
        self._sharers: Callable[[], tuple[str, list[str]] | None] = _unknown
        self._opened: dict[str, collections.deque[float]] = {}

    def join(self, sharers: Callable[[], tuple[str, list[str]] | None]) -> None:
        """Shares the allowance with other VMs.

        Args:
            sharers: Returns this VM and the other VMs of its zone, None
                while it cannot know them.
        """
        self._sharers = sharers

    def admits(self, record: Record, warmup: Warmup | None, now: float) -> bool:
        """Whether this VM may open another flow to a cold endpoint."""
        if self._allowance is None or warmup is None:
            return True
        if record.endpoint.zone != self._zone:
            return False
        part = self._part(record.endpoint.name, warmup)
        return self._count(record.endpoint.name, now) < part

    def on_opened(self, record: Record, now: float) -> None:
        """This VM has opened a flow to an endpoint that is cold."""
        if self._allowance is not None:
            times = self._opened.setdefault(
                record.endpoint.name, collections.deque()
            )
            times.append(now)

    def expire(self, now: float) -> None:
        """Forgets flows that were opened before the window."""
        for name in list(self._opened):
            if not self._count(name, now):
                del self._opened[name]

    def _part(self, endpoint: str, warmup: Warmup) -> int:
        sharers = self._sharers()
        if sharers is None:
            return 0
        own, others = sharers
        each, rest = divmod(self._allowance.dealt(warmup), len(others) + 1)
        rank = _rank(own, endpoint)
        ahead = sum(_rank(other, endpoint) < rank for other in others)
        return each + (ahead < rest)

    def _count(self, endpoint: str, now: float) -> int:
        times = self._opened.get(endpoint)
        if times is None:
            return 0
        while times and now - times[0] > WINDOW_S:
            times.popleft()
        return len(times)


def _rank(vm: str, endpoint: str) -> int:
    return zlib.crc32(f"{endpoint}/{vm}".encode())


def _unknown() -> tuple[str, list[str]] | None:
    return None
