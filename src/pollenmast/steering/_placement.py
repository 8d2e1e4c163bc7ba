"""Selects the endpoint for a new flow.

Several VMs place flows of many requests each on endpoints that are at capacity
with two requests and refuse more than a short queue. With purely random
placement some endpoint gets twice the mean load and its callers wait. With
placement on the globally least loaded endpoint a third of the flows cross
availability zones, and the loss of one zone breaks all of those.

So the VM's own zone is preferred, and within it the less loaded of a few
endpoints drawn at random. An endpoint of another zone is used if it is clearly
less loaded, or if no endpoint of the own zone answers.

The load known to all VMs is up to two seconds old, and every VM has the same
data. If each VM took the least loaded endpoint, all would choose the same one
until the next reports, and it would refuse most of their requests. The less
loaded of two endpoints drawn at random is nearly as good a choice, and no
endpoint gets more than twice its share.

The two are compared by the requests that this VM has sent, not by those of
all VMs: when all endpoints are at capacity, the choice would alternate with
each report between those that were busy and those that were not. A VM's own
requests are an up-to-date sample of all requests. The total of all VMs decides
only whether to leave the zone, about which a VM's own requests say nothing.
"""

import enum
import random

import attrs

from pollenmast.counters import PlacementReason
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._cold_limit import ColdLimit
from pollenmast.steering._connection_limit import ConnectionLimit
from pollenmast.steering._flows import FlowTable
from pollenmast.steering._load import EndpointLoads
from pollenmast.steering._model import Warmup
from pollenmast.steering._record import Presence, Record

CROSS_ZONE_LOAD_FACTOR = 1.3
"""How many times the load of another zone's endpoint an endpoint of the own
zone may have. The most and the least loaded endpoint of a zone differ by about
this factor by chance."""

CROSS_ZONE_LOAD_MARGIN = 4.0
"""Load that an endpoint of the own zone may have in addition, in requests per
second and slot. At a small fraction of a slot's throughput no request waits,
so crossing zones gains nothing."""

DRAWN_ENDPOINTS = 2
"""Endpoints drawn at random for each flow. With one, the longest queue grows
with the logarithm of the number of endpoints, with two with its double
logarithm. With more, stale reports direct all VMs to the same few."""


@attrs.frozen
class Placement:
    """The endpoint selected for a flow.

    Attributes:
        record: The endpoint.
        reason: Why it was selected.
    """

    record: Record
    reason: PlacementReason


class PlacementFailure(str, enum.Enum):
    """Why no endpoint of a service can take a new flow."""

    NO_ENDPOINT = "no_endpoint"
    ZONE_DRAINED = "zone_drained"
    WARMING_UP = "warming_up"
    CONNECTION_LIMIT = "connection_limit"


class EndpointSelector:
    """Selects endpoints for the new flows of one VM."""

    def __init__(
        self,
        zone: str,
        catalog: Catalog,
        load: EndpointLoads,
        rng: random.Random,
        cold_limit: ColdLimit | None = None,
        connection_limit: ConnectionLimit | None = None,
    ):
        self._cold_limit = cold_limit or ColdLimit(zone, None)
        self._connection_limit = connection_limit or ConnectionLimit(
            zone, FlowTable()
        )
        self._warmups: dict[str, Warmup] = {}
        self._zone = zone
        self._catalog = catalog
        self._load = load
        self._rng = rng

    @property
    def connection_limit(self) -> ConnectionLimit:
        """Limits the open flows that this VM has at each endpoint."""
        return self._connection_limit

    def set_warmups(self, warmups: dict[str, Warmup]) -> None:
        """Sets the warm-up settings of each service."""
        self._warmups = warmups

    def choose(
        self, service: str, tried: tuple[str, ...], now: float
    ) -> Placement | PlacementFailure:
        """Selects an endpoint for a new flow.

        Args:
            service: The service.
            tried: Names of the endpoints that did not answer the flow's SYN.
            now: The time of the runtime's clock in seconds.

        Returns:
            The selected endpoint, or why the service has none.
        """
        serving = self._catalog.serving(service)
        if not serving:
            return PlacementFailure.NO_ENDPOINT
        undrained = [r for r in serving if not self._catalog.is_drained(r)]
        if not undrained:
            return PlacementFailure.ZONE_DRAINED
        candidates = [r for r in undrained if self._catalog.owns_token(r)]
        if not candidates:
            return PlacementFailure.NO_ENDPOINT
        candidates = [r for r in candidates if self._admits(r, now)]
        if not candidates:
            return PlacementFailure.WARMING_UP
        candidates = self._below_limit(service, candidates, tried, now)
        if not candidates:
            return PlacementFailure.CONNECTION_LIMIT
        untried = [r for r in candidates if r.endpoint.name not in tried]
        usable = [r for r in untried if _usable(r)]
        reliable = [
            r for r in usable if r.health.accepts_new_flows(now)
        ] or usable
        if not reliable:
            return self._last_resort(untried or candidates, now)
        chosen = self._nearest(reliable, now)
        if tried:
            return Placement(chosen, PlacementReason.RETRY)
        if chosen.endpoint.zone == self._zone:
            return Placement(chosen, PlacementReason.OWN_ZONE)
        return Placement(chosen, PlacementReason.OTHER_ZONE)

    def place_on(self, endpoint: str, now: float) -> Placement | None:
        """Returns the placement on a given endpoint, None if not usable."""
        record = self._catalog.get(endpoint)
        if record is None or not self.accepts(record, now):
            return None
        own_zone = record.endpoint.zone == self._zone
        reason = (
            PlacementReason.OWN_ZONE if own_zone else PlacementReason.OTHER_ZONE
        )
        return Placement(record, reason)

    def accepts(self, record: Record, now: float) -> bool:
        """Whether a new flow may be placed on an endpoint without doubt."""
        return (
            _usable(record)
            and not record.endpoint.draining
            and record.health.accepts_new_flows(now)
            and not self._catalog.is_drained(record)
            and self._catalog.owns_token(record)
            and self._admits(record, now)
            and self._connection_limit.admits(record, now)
        )

    def less_loaded_zone(self, service: str, now: float) -> Record | None:
        """Returns an endpoint of another zone with clearly less load.

        Returns:
            The endpoint. None if no other zone has one, or if the own zone has
            endpoints and the loads of the zones are not known.
        """
        accepting = [
            r for r in self._catalog.serving(service) if self.accepts(r, now)
        ]
        near = [r for r in accepting if r.endpoint.zone == self._zone]
        far = [r for r in accepting if r.endpoint.zone != self._zone]
        if not far:
            return None
        if not near:
            return self._draw(far, now)
        if not self._load.is_settled(now):
            return None
        other = self._draw(far, now)
        limit = self._cross_zone_limit(other, now)
        own = self._draw(near, now)
        return other if self._total_load(own, now) > limit else None

    def on_opened(self, record: Record, now: float) -> None:
        """Counts a flow that was opened to an endpoint."""
        if record.is_cold(now):
            self._cold_limit.on_opened(record, now)

    def _admits(self, record: Record, now: float) -> bool:
        if not record.is_cold(now):
            return True
        warmup = self._warmups.get(record.endpoint.service)
        return self._cold_limit.admits(record, warmup, now)

    def _below_limit(
        self,
        service: str,
        records: list[Record],
        tried: tuple[str, ...],
        now: float,
    ) -> list[Record]:
        """Returns the endpoints that are below this VM's connection limit.

        A flow that repeats its SYN counts at the endpoint that it tried last;
        a copy to that endpoint adds no connection.

        Returns:
            The endpoints; none if all usable ones are at their limit. An
            endpoint that is down must not get a flow because others are full.
        """
        limit = self._connection_limit
        if not limit.applies(service, now):
            return records
        below = [
            r
            for r in records
            if r.endpoint.name in tried[-1:] or limit.admits(r, now)
        ]
        if any(map(_usable, below)) or not any(map(_usable, records)):
            return below
        return []

    def _nearest(self, records: list[Record], now: float) -> Record:
        near = [r for r in records if r.endpoint.zone == self._zone]
        far = [r for r in records if r.endpoint.zone != self._zone]
        if not near or not far:
            return self._draw(near or far, now)
        own = self._draw(near, now)
        if not self._load.is_settled(now):
            return own
        other = self._draw(far, now)
        limit = self._cross_zone_limit(other, now)
        return other if self._total_load(own, now) > limit else own

    def _cross_zone_limit(self, other: Record, now: float) -> float:
        """Returns the load of the own zone above which `other` is used."""
        return (
            CROSS_ZONE_LOAD_FACTOR * self._total_load(other, now)
            + CROSS_ZONE_LOAD_MARGIN
        )

    def _last_resort(self, records: list[Record], now: float) -> Placement:
        """Selects an endpoint although the health of every one is in doubt.

        Doubt alone must not leave a service without endpoints: a VM that is
        itself cut off from the network would refuse every caller, and would
        continue to do so after the partition has ended.
        """
        up = [r for r in records if not r.health.down] or records
        # A VM checks lapsed endpoints only if it carries flows to them. About
        # the others it knows only what a reader reports.
        not_avoided = [r for r in up if not r.health.is_avoided(now)] or up
        return Placement(
            self._draw(not_avoided, now), PlacementReason.LAST_RESORT
        )

    def _draw(self, records: list[Record], now: float) -> Record:
        """Returns the least loaded of `DRAWN_ENDPOINTS` random records."""
        if len(records) > DRAWN_ENDPOINTS:
            records = self._rng.sample(records, DRAWN_ENDPOINTS)
        # Breaks ties at random; otherwise VMs that start at the same time
        # would all begin with the same endpoint.
        return min(
            records, key=lambda r: (self._own_load(r, now), self._rng.random())
        )

    def _own_load(self, record: Record, now: float) -> float:
        rate = self._load.own_rate(record.endpoint.number, now)
        return _cost(record, rate, now)

    def _total_load(self, record: Record, now: float) -> float:
        rate = self._load.rate(record.endpoint.number, now)
        return _cost(record, rate, now)


def _cost(record: Record, rate: float, now: float) -> float:
    """Returns the requests per second and slot, weighted up while cold."""
    return rate / (record.endpoint.slots * record.relative_capacity(now))


def _usable(record: Record) -> bool:
    return record.presence is Presence.LISTED and not record.health.down
