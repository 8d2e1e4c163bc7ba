"""Which of the endpoints with room gets a new flow.

Load pattern: steady flows of uneven length on reports that lag. Hashing
alone leaves the endpoints as uneven as chance makes them; taking the least
loaded by a lagging report sends every VM to the same endpoint until the next
report, and the load swings.

A flow stays at its default endpoint, where it needs no replication, unless
another is less full by a margin. What is compared, and how many are looked
at, depends on what is known: a VM spreads short requests by its own recent
flows, which are exact and not shared, so it may look at all endpoints;
sessions it compares by reported connections, which all VMs share, so each
looks at two drawn at random and they do not all run to the same one.
"""

import abc
import random

import attrs

from pollenmast.decisions._endpoint import EndpointRecord

CHOICES = 2
"""Others drawn at random for a session, beside its default."""

ZONE_ADVANTAGE = 0.25
"""Flows by which the own zone may be fuller, about one way of 1 ms.

Small on purpose: a slot is worth tens of milliseconds, the way one or two.
"""

NEXT_FLOW = 0.5
"""Part of the next flow that counts before the share is applied.

With the whole flow an endpoint with a small share got none for seconds; with
nothing it got a fourth of a full share at once, and its callers waited.
"""

REQUEST_ADVANTAGE = 1.0
"""Own recent flows by which a request's default may be fuller.

A third of the requests leave their default so, at an imbalance of 1.01 (70%
load); with 2 fewer do at 1.04, with none nearly all do at 1.02. Requests end
before they are replicated, so leaving costs little.
"""

SESSION_ADVANTAGE = 20.0
"""Connections by which a session's default may be fuller, at the least.

Each session that leaves its default has to be replicated at once. With 2,000
open on 7 endpoints 5% leave at an imbalance of 1.03; with 10 connections 13%
at 1.01, with 40 2% at 1.04 (`python -m bench.overload`, sessions).
"""

SESSION_ADVANTAGE_PART = 0.1
"""The same as a part of the connections, where that is more."""


@attrs.frozen
class Candidate:
    """An endpoint with room, and its share of new flows, above 0."""

    record: EndpointRecord
    share: float


class Placement(abc.ABC):
    """Chooses among candidates for one VM."""

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the candidate that gets the flow; at least one is given."""

    def _is_own(self, candidate: Candidate) -> bool:
        return candidate.record.endpoint.zone == self._zone


class RequestPlacement(Placement):
    """Spreads requests evenly by this VM's own recent flows."""

    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the one with the least recent flows for its share.

        Ties, usual on an idle VM, are broken at random: in the manifest's
        order every VM would begin with the same endpoint.
        """
        best, least = candidates[0], None
        for candidate in candidates:
            cost = self._cost(candidate, default, now)
            key = (cost, self._rng.random())
            if least is None or key < least:
                best, least = candidate, key
        return best

    def _cost(
        self, candidate: Candidate, default: str | None, now: float
    ) -> float:
        record = candidate.record
        slots = record.endpoint.slots
        flows = record.capacity.load(now) + NEXT_FLOW / slots
        cost = flows / candidate.share
        if record.name == default:
            cost -= REQUEST_ADVANTAGE / slots
        if self._is_own(candidate):
            cost -= ZONE_ADVANTAGE / slots
        return cost


class SessionPlacement(Placement):
    """Evens out open connections with two choices beside the default."""

    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the default, or a clearly less full one of two others."""
        warm = [c for c in candidates if self._takes(c)] or candidates
        first = next((c for c in warm if c.record.name == default), None)
        others = [c for c in warm if c is not first]
        if len(others) > CHOICES:
            others = self._rng.sample(others, CHOICES)
        drawn = others if first is None else [first, *others]
        return min(drawn, key=lambda c: self._cost(c, first, now))

    def _takes(self, candidate: Candidate) -> bool:
        """Whether a cold or returning endpoint is considered this time.

        It has few connections, so by the comparison alone it would get every
        flow for which it is drawn, just when handshakes cost it most.
        """
        return candidate.share >= 1.0 or self._rng.random() < candidate.share

    def _cost(
        self, candidate: Candidate, first: Candidate | None, now: float
    ) -> float:
        cost = candidate.record.capacity.load(now)
        if candidate is first:
            cost -= max(SESSION_ADVANTAGE, SESSION_ADVANTAGE_PART * cost)
        if self._is_own(candidate):
            cost -= ZONE_ADVANTAGE
        return cost
