"""Which endpoint a new flow goes to.

Load pattern: flows of many requests each, placed by several VMs, on endpoints
that are full at two requests and refuse beyond a short queue. Spread at
random, some endpoint has twice the mean and its callers wait. Sent to the
least loaded anywhere, a third of the flows cross availability zones, and the
cut of one zone breaks them all.

So the own zone comes first, and within it the endpoint with the least work
from all VMs. Another zone's is used when it has clearly less, or when the own
zone has no endpoint that answers.
"""

import random

import attrs

from pollenmast.counters import PlacementReason
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._load import LoadBook, Rates
from pollenmast.steering._record import Presence, Record

ZONE_FACTOR = 1.3
"""How many times more work an endpoint of the own zone may have. The greatest
and the least of a zone's endpoints differ by about as much by chance."""

ZONE_ADVANTAGE = 4.0
"""Requests a second and slot that it may have besides. A slot serves about 30
a second; below an eighth of that nobody waits, and crossing is no use."""


@attrs.frozen
class Placed:
    """A choice.

    Attributes:
        record: The endpoint.
        reason: Why this one.
    """

    record: Record
    reason: PlacementReason


class Placement:
    """Chooses among the endpoints of a service, for one VM."""

    def __init__(
        self,
        zone: str,
        catalog: Catalog,
        load: LoadBook,
        rng: random.Random,
    ):
        self._zone = zone
        self._catalog = catalog
        self._load = load
        self._rng = rng

    def choose(
        self, service: str, tried: tuple[str, ...], now: float
    ) -> Placed | None:
        """Returns an endpoint, or None if the service has none.

        Args:
            service: The service.
            tried: Endpoints that did not answer this flow's SYN.
            now: The runtime's clock in seconds.
        """
        known = [
            record
            for record in self._catalog.serving(service)
            if self._catalog.owns_token(record)
        ]
        if not known:
            return None
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

    def _nearest(self, records: list[Record], now: float) -> Record:
        rates = self._load.total(now)
        near = [r for r in records if r.endpoint.zone == self._zone]
        far = [r for r in records if r.endpoint.zone != self._zone]
        if not near or not far:
            return self._least(near or far, rates, now)
        own = self._least(near, rates, now)
        other = self._least(far, rates, now)
        bearable = ZONE_FACTOR * _cost(other, rates, now) + ZONE_ADVANTAGE
        return other if _cost(own, rates, now) > bearable else own

    def _last_resort(self, records: list[Record], now: float) -> Placed:
        """Tries what is doubted: a service must not be emptied by doubts.

        A VM that is cut off itself would otherwise refuse every caller,
        and go on refusing them when the cut has ended.
        """
        up = [r for r in records if not r.health.down] or records
        chosen = self._least(up, self._load.total(now), now)
        return Placed(chosen, PlacementReason.LAST_RESORT)

    def _least(self, records: list[Record], rates: Rates, now: float) -> Record:
        # Ties are broken at random: VMs that all start at once would else
        # begin with the same endpoint.
        return min(
            records,
            key=lambda r: (_cost(r, rates, now), self._rng.random()),
        )


def _usable(record: Record) -> bool:
    return record.presence is Presence.LISTED and not record.health.down


def _cost(record: Record, rates: Rates, now: float) -> float:
    """Returns requests a second and slot, more for an endpoint still cold."""
    endpoint = record.endpoint
    rate = rates.get(endpoint.number, 0.0)
    return rate / (endpoint.slots * record.warmth(now))
