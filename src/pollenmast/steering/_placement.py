"""Which endpoint a new flow goes to.

Load pattern: flows of many requests each, placed by several VMs, on endpoints
that are full at two requests and refuse beyond a short queue. Spread at
random, some endpoint has twice the mean and its callers wait. Sent to the
least loaded anywhere, a third of the flows cross availability zones, and the
cut of one zone breaks them all.

So the own zone comes first, and within it the one with less work of a few
drawn at random. Another zone's is used when it has clearly less, or when the
own zone has no endpoint that answers.

What all VMs know of the load is up to two seconds old, and alike at all of
them. If each took the least loaded of all endpoints, all would take the same
one until the next reports, and it would turn most of their requests away. Of
two drawn at random the less loaded is nearly as good a choice, and no endpoint
gets more than twice its share.

Nor are the two compared by what all VMs sent: when everything is full, the
choice would swing with the reports between those that were busy and those that
were not. A VM's own requests are a sample of all, and up to date. The sum
decides whether to leave the zone, of which a VM's own requests say nothing.
"""

import enum
import random

import attrs

from pollenmast.counters import PlacementReason
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._cold_limit import ColdLimit
from pollenmast.steering._load import LoadBook
from pollenmast.steering._model import Warmup
from pollenmast.steering._record import Presence, Record

ZONE_FACTOR = 1.3
"""How many times more work an endpoint of the own zone may have. The greatest
and the least of a zone's endpoints differ by about as much by chance."""

ZONE_ADVANTAGE = 4.0
"""Requests a second and slot that it may have besides. Below a small part of
what a slot serves nobody waits, and crossing is no use."""

CHOICES = 2
"""Endpoints drawn for a flow. With one the longest queue grows as the logarithm
of their number, with two as its double logarithm; with more, stale reports
send the VMs to the same few."""


@attrs.frozen
class Placed:
    """A choice.

    Attributes:
        record: The endpoint.
        reason: Why this one.
    """

    record: Record
    reason: PlacementReason


class Unplaced(str, enum.Enum):
    """Why a service has no endpoint for a new flow."""

    NO_ENDPOINT = "no_endpoint"
    ZONE_DRAINED = "zone_drained"
    WARMING_UP = "warming_up"


class Placement:
    """Chooses among the endpoints of a service, for one VM."""

    def __init__(
        self,
        zone: str,
        catalog: Catalog,
        load: LoadBook,
        rng: random.Random,
        cold_limit: ColdLimit | None = None,
    ):
        self._cold_limit = cold_limit or ColdLimit(zone, None)
        self._warmups: dict[str, Warmup] = {}
        self._zone = zone
        self._catalog = catalog
        self._load = load
        self._rng = rng

    def set_warmups(self, warmups: dict[str, Warmup]) -> None:
        """Takes in how the endpoints of each service start."""
        self._warmups = warmups

    def choose(
        self, service: str, tried: tuple[str, ...], now: float
    ) -> Placed | Unplaced:
        """Returns an endpoint, or why the service has none.

        Args:
            service: The service.
            tried: Endpoints that did not answer this flow's SYN.
            now: The runtime's clock in seconds.
        """
        serving = self._catalog.serving(service)
        if not serving:
            return Unplaced.NO_ENDPOINT
        open_zones = [r for r in serving if not self._catalog.is_drained(r)]
        if not open_zones:
            return Unplaced.ZONE_DRAINED
        known = [r for r in open_zones if self._catalog.owns_token(r)]
        if not known:
            return Unplaced.NO_ENDPOINT
        known = [r for r in known if self._admits(r, now)]
        if not known:
            return Unplaced.WARMING_UP
        untried = [r for r in known if r.endpoint.name not in tried]
        good = [r for r in untried if _usable(r)]
        sure = [r for r in good if r.health.is_sure(now)] or good
        if not sure:
            return self._last_resort(untried or known, now)
        chosen = self._nearest(sure, now)
        if tried:
            return Placed(chosen, PlacementReason.RETRY)
        if chosen.endpoint.zone == self._zone:
            return Placed(chosen, PlacementReason.OWN_ZONE)
        return Placed(chosen, PlacementReason.OTHER_ZONE)

    def on_opened(self, record: Record, now: float) -> None:
        """A flow was opened to an endpoint."""
        if record.is_cold(now):
            self._cold_limit.on_opened(record, now)

    def _admits(self, record: Record, now: float) -> bool:
        if not record.is_cold(now):
            return True
        warmup = self._warmups.get(record.endpoint.service)
        return self._cold_limit.admits(record, warmup, now)

    def _nearest(self, records: list[Record], now: float) -> Record:
        near = [r for r in records if r.endpoint.zone == self._zone]
        far = [r for r in records if r.endpoint.zone != self._zone]
        if not near or not far:
            return self._draw(near or far, now)
        own = self._draw(near, now)
        if not self._load.is_settled(now):
            return own
        other = self._draw(far, now)
        bearable = ZONE_FACTOR * self._total_cost(other, now) + ZONE_ADVANTAGE
        return other if self._total_cost(own, now) > bearable else own

    def _last_resort(self, records: list[Record], now: float) -> Placed:
        """Tries what is doubted: a service must not be emptied by doubts.

        A VM that is cut off itself would otherwise refuse every caller,
        and go on refusing them when the cut has ended.
        """
        up = [r for r in records if not r.health.down] or records
        # A VM asks vanished endpoints only where it has flows; of the others
        # it knows what a reader tells.
        clear = [r for r in up if not r.health.is_avoided(now)] or up
        return Placed(self._draw(clear, now), PlacementReason.LAST_RESORT)

    def _draw(self, records: list[Record], now: float) -> Record:
        """Returns the less loaded of a few drawn at random."""
        if len(records) > CHOICES:
            records = self._rng.sample(records, CHOICES)
        # Ties are broken at random: VMs that all start at once would else
        # begin with the same endpoint.
        return min(
            records, key=lambda r: (self._own_cost(r, now), self._rng.random())
        )

    def _own_cost(self, record: Record, now: float) -> float:
        rate = self._load.own_rate(record.endpoint.number, now)
        return _cost(record, rate, now)

    def _total_cost(self, record: Record, now: float) -> float:
        rate = self._load.rate(record.endpoint.number, now)
        return _cost(record, rate, now)


def _cost(record: Record, rate: float, now: float) -> float:
    """Returns requests a second and slot, more for an endpoint still cold."""
    return rate / (record.endpoint.slots * record.warmth(now))


def _usable(record: Record) -> bool:
    return record.presence is Presence.LISTED and not record.health.down
