"""Which of the endpoints with room gets a new flow.

Load pattern: steady flows of uneven length on reports that lag. Hashing alone
leaves the endpoints as uneven as chance makes them; taking the least loaded
of all by a lagging report sends every VM to the same endpoint until the next
report, and the load swings. So a flow stays at its default endpoint, where
it needs no replication, unless that has less room than the better of two
others drawn at random, by a margin.
"""

import random

import attrs

from pollenmast.decisions._endpoint import EndpointRecord

CHOICES = 2
"""Others drawn at random beside the default."""

ZONE_ADVANTAGE = 0.25
"""Flows by which the own zone may be fuller, about one way of 1 ms.

Small on purpose: a slot is worth tens of milliseconds, the way one or two.
"""


@attrs.frozen
class Candidate:
    """An endpoint with room, and its share of new flows, above 0."""

    record: EndpointRecord
    share: float


class Placement:
    """Chooses among candidates for one VM.

    Attributes:
        default_advantage: Part of the default's capacity by which it may be
            fuller than another before a flow leaves it.
    """

    def __init__(self, zone: str, rng: random.Random, default_advantage: float):
        self._zone = zone
        self._rng = rng
        self.default_advantage = default_advantage

    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the candidate that gets the flow; at least one is given."""
        first = next((c for c in candidates if c.record.name == default), None)
        drawn = self._draw(candidates, first)
        return min(drawn, key=lambda c: self._cost(c, first, now))

    def _draw(
        self, candidates: list[Candidate], first: Candidate | None
    ) -> list[Candidate]:
        others = [c for c in candidates if c is not first]
        if len(others) > CHOICES:
            others = self._rng.sample(others, CHOICES)
        return others if first is None else [first, *others]

    def _cost(
        self, candidate: Candidate, first: Candidate | None, now: float
    ) -> float:
        capacity = candidate.record.capacity
        cost = (capacity.load(now) + capacity.one_flow()) / candidate.share
        if candidate is first:
            cost -= self.default_advantage
        if candidate.record.endpoint.zone == self._zone:
            cost -= ZONE_ADVANTAGE * capacity.one_flow()
        return cost
