"""Limits the new flows that a VM opens to endpoints that are warming up.

When endpoints start, or a zone with many of them is restored after a drain, all
VMs see them idle at the same moment. All VMs together must not open more flows
to a cold endpoint than it can handle, even if some of them do not hear from
each other.

So each endpoint's allowance is divided among the VMs of the endpoint's zone.
Each VM computes its quota from the VMs that it knows, without any messages.
Rendezvous hashing assigns the remainder, so that views that differ by a few
VMs differ by a few flows. Half of the allowance is held back, which keeps the
sum within the allowance when a zone is partitioned into two halves.
"""

import collections
import math
import zlib
from collections.abc import Callable

import attrs

from pollenmast.steering._model import Warmup
from pollenmast.steering._record import Record

WINDOW_S = 1.25
"""The window over which a VM counts the flows it opens, in seconds. The
allowance applies to one second at the endpoint; paths of different delay can
make flows arrive closer together than they were sent."""

ALLOCATED_FRACTION = 0.5
"""The fraction of the allowance that is divided among the VMs."""


@attrs.frozen
class ColdAllowance:
    """How far the load on a cold endpoint may exceed its configured rate.

    Attributes:
        overrun: Factor on the flow rate that the service configures.
        slack: Additional flows per second.
    """

    overrun: float
    slack: float

    def allocated(self, warmup: Warmup) -> int:
        """Returns the flows per second that are divided among the VMs."""
        allowed = self.overrun * warmup.flows_per_s + self.slack
        return math.floor(ALLOCATED_FRACTION * allowed)


class ColdLimit:
    """Enforces one VM's quota for each endpoint that is warming up."""

    def __init__(self, zone: str, allowance: ColdAllowance | None):
        """Creates the limit.

        Args:
            zone: The VM's availability zone.
            allowance: The allowance of all VMs together, None for no limit.
        """
        self._zone = zone
        self._allowance = allowance
        self._sharers: Callable[[], tuple[str, list[str]] | None] = _no_sharers
        self._opened: dict[str, collections.deque[float]] = {}

    def set_sharers(
        self, sharers: Callable[[], tuple[str, list[str]] | None]
    ) -> None:
        """Sets the VMs among which the allowance is divided.

        Args:
            sharers: Returns this VM and the other VMs of its zone, None
                while they are not known yet.
        """
        self._sharers = sharers

    def admits(self, record: Record, warmup: Warmup | None, now: float) -> bool:
        """Whether this VM may open another flow to a cold endpoint."""
        if self._allowance is None or warmup is None:
            return True
        if record.endpoint.zone != self._zone:
            return False
        quota = self._quota(record.endpoint.name, warmup)
        return self._count(record.endpoint.name, now) < quota

    def on_opened(self, record: Record, now: float) -> None:
        """Counts a flow that this VM has opened to a cold endpoint."""
        if self._allowance is not None:
            times = self._opened.setdefault(
                record.endpoint.name, collections.deque()
            )
            times.append(now)

    def expire(self, now: float) -> None:
        """Removes flows that were opened before the window."""
        for name in list(self._opened):
            if not self._count(name, now):
                del self._opened[name]

    def _quota(self, endpoint: str, warmup: Warmup) -> int:
        sharers = self._sharers()
        if sharers is None:
            return 0
        own, others = sharers
        share, remainder = divmod(
            self._allowance.allocated(warmup), len(others) + 1
        )
        rank = _rank(own, endpoint)
        ahead = sum(_rank(other, endpoint) < rank for other in others)
        return share + (ahead < remainder)

    def _count(self, endpoint: str, now: float) -> int:
        times = self._opened.get(endpoint)
        if times is None:
            return 0
        while times and now - times[0] > WINDOW_S:
            times.popleft()
        return len(times)


def _rank(vm: str, endpoint: str) -> int:
    return zlib.crc32(f"{endpoint}/{vm}".encode())


def _no_sharers() -> tuple[str, list[str]] | None:
    return None
