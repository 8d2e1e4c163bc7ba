"""Limits the open flows that a VM has at each endpoint of a service.

An operator states how many connections each endpoint of a service holds
(`maxConns`). An endpoint that is given more refuses them or runs out of memory.
A VM knows only its own flows, and reports of other VMs' flows would be older
than a burst of new ones takes.

So each endpoint's limit, less a headroom, is divided among the VMs of the
endpoint's zone. Each VM computes its share from the VMs that it knows, without
any messages. Rendezvous hashing assigns the remainder, so that views that
differ by a few VMs differ by a few flows.

The sum of a zone's shares is within the limit unless the zone has more VMs
than the limit allows flows; each VM then has one. In a zone that is partitioned
into two halves the sum doubles. VMs of other zones have a smaller share, see
`REMOTE_DIVISOR`.
"""

import zlib
from collections.abc import Callable, Mapping

import attrs

from pollenmast.steering._flows import FlowTable
from pollenmast.steering._record import Record

HEADROOM_DIVISOR = 10
"""The part of the limit that is not divided among the VMs, as a divisor. It
covers flows under way: those that VMs have forgotten or not yet learned after
they moved from another VM."""

REMOTE_DIVISOR = 3
"""What a VM's share is divided by at endpoints of other zones. A VM does not
know those zones' VMs and counts as many as in its own; their flows overflow in
the same way. With three zones the sum is at most 1.5 times the limit when all
zones are at their shares, and 0.9 times while only one zone is."""

UNKNOWN_SHARERS = 10
"""The number of VMs among which the limit is divided while they are not known:
for seconds after a start, and in zones with more VMs than reports name. With
the number of a large zone, a VM of a small one would refuse flows although its
endpoints hold few; the sum may exceed the limit meanwhile."""

SHARERS_MAX_AGE_S = 0.25
"""How long the known VMs are used before they are queried again, in seconds.
A query takes time proportional to the number of VMs."""

MAX_CACHED_EXTRAS = 16_384
"""Maximum number of endpoints whose remainder is cached; it is above the
11,000 endpoints that are expected."""


@attrs.frozen
class _Share:
    """A VM's share of the connections of an endpoint.

    Attributes:
        flows: The flows that every VM may have.
        remainder: The number of VMs that may have one more.
    """

    flows: int
    remainder: int


@attrs.frozen
class _Shares:
    """A VM's shares at the endpoints of one service.

    Attributes:
        local: The share at endpoints of the VM's zone.
        remote: The share at endpoints of other zones.
    """

    local: _Share
    remote: _Share


class ConnectionLimit:
    """Enforces one VM's share of the connections of each endpoint."""

    def __init__(self, zone: str, flows: FlowTable):
        """Creates the limit.

        Args:
            zone: The VM's availability zone.
            flows: The open flows of this VM.
        """
        self._zone = zone
        self._flows = flows
        self._limits: Mapping[str, int] = {}
        self._sharers: Callable[[float], tuple[str, list[str]] | None] = (
            _unknown
        )
        self._queried_at = float("-inf")
        self._known: tuple[str, list[str]] | None = None
        self._shares: dict[str, _Shares] = {}
        self._extras: dict[tuple[str, int], bool] = {}

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Sets the limit of connections of each service that states one."""
        self._limits = limits
        self._clear()

    def set_sharers(
        self, sharers: Callable[[float], tuple[str, list[str]] | None]
    ) -> None:
        """Sets the VMs among which the limit is divided.

        Args:
            sharers: Returns this VM and the others of its zone at a time in
                seconds, None while they are not known.
        """
        self._sharers = sharers
        self._queried_at = float("-inf")

    def applies(self, service: str, now: float) -> bool:
        """Whether any endpoint of a service may be at this VM's share.

        It takes constant time, so that placement need not check the endpoints
        of a service whose limit is far above this VM's flows.
        """
        if service not in self._limits or not len(self._flows):
            return False
        self._refresh(now)
        return len(self._flows) >= self._shares_of(service).remote.flows

    def admits(self, record: Record, now: float) -> bool:
        """Whether this VM may open another flow to an endpoint."""
        endpoint = record.endpoint
        if endpoint.service not in self._limits:
            return True
        count = self._flows.count(endpoint.name)
        if not count:
            return True
        self._refresh(now)
        shares = self._shares_of(endpoint.service)
        local = endpoint.zone == self._zone
        share = shares.local if local else shares.remote
        if count != share.flows:
            return count < share.flows
        return self._has_extra(endpoint.name, share.remainder)

    def _shares_of(self, service: str) -> _Shares:
        shares = self._shares.get(service)
        if shares is None:
            limit = self._limits[service]
            allocated = limit - _headroom(limit)
            shares = self._shares[service] = _Shares(
                self._divide(allocated),
                self._divide(allocated // REMOTE_DIVISOR),
            )
        return shares

    def _divide(self, allocated: int) -> _Share:
        if self._known is None:
            return _Share(max(allocated // UNKNOWN_SHARERS, 1), 0)
        share, remainder = divmod(allocated, len(self._known[1]) + 1)
        return _Share(share, remainder) if share else _Share(1, 0)

    def _has_extra(self, endpoint: str, remainder: int) -> bool:
        """Whether this VM has one of the flows that remain at an endpoint."""
        if not remainder or self._known is None:
            return False
        key = endpoint, remainder
        extra = self._extras.get(key)
        if extra is None:
            if len(self._extras) >= MAX_CACHED_EXTRAS:
                self._extras.clear()
            own, others = self._known
            rank = _rank(own, endpoint)
            ahead = sum(_rank(other, endpoint) < rank for other in others)
            extra = self._extras[key] = ahead < remainder
        return extra

    def _clear(self) -> None:
        self._shares.clear()
        self._extras.clear()

    def _refresh(self, now: float) -> None:
        if now - self._queried_at < SHARERS_MAX_AGE_S:
            return
        self._queried_at = now
        known = self._sharers(now)
        if known != self._known:
            self._known = known
            self._clear()


def _headroom(limit: int) -> int:
    """Returns the connections that are not divided, rounded up."""
    return -(-limit // HEADROOM_DIVISOR)


def _rank(vm: str, endpoint: str) -> tuple[int, str]:
    # The name decides between equal hashes; otherwise both VMs would get the
    # same flow.
    return zlib.crc32(f"{endpoint}/{vm}".encode()), vm


def _unknown(now: float) -> tuple[str, list[str]] | None:
    return None
