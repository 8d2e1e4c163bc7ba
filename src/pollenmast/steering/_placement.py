"""Which endpoint a new flow goes to.

Load pattern: flows of many requests each, placed by several VMs that do not
see each other's, on endpoints that are full at two requests and refuse beyond
a short queue. Spread at random, some endpoint has twice the mean and its
callers wait. Sent to the least loaded anywhere, a third of the flows cross
availability zones, and the cut of one zone breaks them all.

So the own zone comes first, and within it the endpoint with the least work by
what passed this VM. Another zone is used when the own one has no endpoint
that answers.
"""

import random

import attrs

from pollenmast.counters import PlacementReason
from pollenmast.steering._catalog import Catalog, Presence, Record
from pollenmast.steering._flows import FlowTable


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
        flows: FlowTable,
        rng: random.Random,
    ):
        self._zone = zone
        self._catalog = catalog
        self._flows = flows
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
        good = [
            record
            for record in known
            if record.presence is Presence.LISTED
            and not record.health.down
            and record.endpoint.name not in tried
        ]
        if not good:
            return self._last_resort(known, tried, now)
        sure = [record for record in good if not record.health.doubted]
        near = self._near(sure) or self._near(good)
        chosen = self._least(near or sure or good, now)
        if tried:
            return Placed(chosen, PlacementReason.RETRY)
        if chosen.endpoint.zone == self._zone:
            return Placed(chosen, PlacementReason.OWN_ZONE)
        return Placed(chosen, PlacementReason.OTHER_ZONE)

    def _near(self, records: list[Record]) -> list[Record]:
        return [r for r in records if r.endpoint.zone == self._zone]

    def _last_resort(
        self, known: list[Record], tried: tuple[str, ...], now: float
    ) -> Placed:
        """Tries what is doubted: a service must not be emptied by doubts.

        A VM that is cut off itself would otherwise refuse every caller,
        and go on refusing them when the cut has ended.
        """
        untried = [r for r in known if r.endpoint.name not in tried] or known
        up = [r for r in untried if not r.health.down] or untried
        return Placed(self._least(up, now), PlacementReason.LAST_RESORT)

    def _least(self, records: list[Record], now: float) -> Record:
        return min(
            records, key=lambda r: (self._cost(r, now), self._rng.random())
        )

    def _cost(self, record: Record, now: float) -> float:
        endpoint = record.endpoint
        flows = self._flows.count(endpoint.name) + 1
        return flows / (endpoint.slots * record.warmth(now))
