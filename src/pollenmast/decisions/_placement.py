"""Selects the endpoint for a new flow among those with spare capacity.

Flows arrive steadily and are of uneven length, and the load reports lag.
Hashing alone distributes flows randomly and leaves the endpoints unevenly
loaded. Picking the least-loaded endpoint by a stale report sends the flows of
every VM to the same endpoint until the next report, so the load oscillates.

A flow stays at its default endpoint, where it needs no replication, unless
another endpoint is less loaded by a margin. How endpoints are compared
depends on the kind of service. A VM spreads short requests by its own recent
flows. These counts are exact and differ between VMs, so it can compare all
endpoints. Sessions are compared by the reported connections, which are the
same for all VMs. So each VM compares only two endpoints drawn at random,
which keeps the VMs from all choosing the same one.
"""

import abc
import random

import attrs

from pollenmast.decisions._endpoint import EndpointRecord

RANDOM_CHOICES = 2
"""Endpoints drawn at random for a session, in addition to its default."""

ZONE_BIAS = 0.25
"""Bias, in flows, in favour of endpoints in the VM's own zone.

It stands for the latency between zones, about 1 ms one way. It is small on
purpose: a slot is worth tens of milliseconds, the path one or two.
"""

NEXT_FLOW_WEIGHT = 0.5
"""Weight of the flow to be placed in an endpoint's load.

It is added before the load is divided by the endpoint's share. With a weight
of 1 an endpoint with a small share got no flows for seconds; with 0 it got a
quarter of a full share at once, and its callers waited.
"""

REQUEST_DEFAULT_BIAS = 1.0
"""Bias, in recent flows of this VM, in favour of a request's default.

At 70% load a third of the requests leave their default endpoint, with an
imbalance of 1.01. With a bias of 2 fewer leave, at an imbalance of 1.04; with
0 nearly all leave, at 1.02. Leaving is cheap because requests end before
they are replicated.
"""

SESSION_DEFAULT_BIAS = 20.0
"""Minimum bias, in connections, in favour of a session's default endpoint.

Each session that leaves its default has to be replicated immediately. With
2,000 open sessions on 7 endpoints, 5% leave at an imbalance of 1.03. A bias
of 10 gives 13% at 1.01, and 40 gives 2% at 1.04 (`python -m bench.overload`,
sessions).
"""

SESSION_DEFAULT_BIAS_FRACTION = 0.1
"""The bias as a fraction of the default's connections, if that is more."""


@attrs.frozen
class Candidate:
    """An endpoint that may get a flow, and its share of new flows, above 0."""

    record: EndpointRecord
    share: float


class Placement(abc.ABC):
    """Chooses an endpoint among candidates, for one VM and service."""

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the candidate that gets the flow.

        Args:
            default: The name of the flow's default endpoint, if any.
            candidates: The endpoints to choose from; at least one.
            now: The runtime's clock.
        """

    def _is_in_own_zone(self, candidate: Candidate) -> bool:
        return candidate.record.endpoint.zone == self._zone


class RequestPlacement(Placement):
    """Places requests by this VM's own recent flows per endpoint."""

    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the candidate with the fewest recent flows for its share.

        Ties, which are common on an idle VM, are broken at random. If they
        were broken by manifest order, every VM would start with the same
        endpoint.
        """
        best, lowest_key = candidates[0], None
        for candidate in candidates:
            cost = self._cost(candidate, default, now)
            key = (cost, self._rng.random())
            if lowest_key is None or key < lowest_key:
                best, lowest_key = candidate, key
        return best

    def _cost(
        self, candidate: Candidate, default: str | None, now: float
    ) -> float:
        record = candidate.record
        slots = record.endpoint.slots
        flows = record.capacity.load(now) + NEXT_FLOW_WEIGHT / slots
        cost = flows / candidate.share
        if record.name == default:
            cost -= REQUEST_DEFAULT_BIAS / slots
        if self._is_in_own_zone(candidate):
            cost -= ZONE_BIAS / slots
        return cost


class SessionPlacement(Placement):
    """Places sessions by open connections, as power of two choices.

    The two random choices are compared with the default endpoint.
    """

    def choose(
        self, default: str | None, candidates: list[Candidate], now: float
    ) -> Candidate:
        """Returns the default, or a clearly less loaded one of two others."""
        eligible = [
            c for c in candidates if self._is_considered(c)
        ] or candidates
        default_candidate = next(
            (c for c in eligible if c.record.name == default), None
        )
        others = [c for c in eligible if c is not default_candidate]
        if len(others) > RANDOM_CHOICES:
            others = self._rng.sample(others, RANDOM_CHOICES)
        compared = (
            others
            if default_candidate is None
            else [default_candidate, *others]
        )
        return min(
            compared, key=lambda c: self._cost(c, default_candidate, now)
        )

    def _is_considered(self, candidate: Candidate) -> bool:
        """Whether a candidate is considered for this flow, by its share.

        An endpoint in slow start or recovery has few connections. By load
        alone it would win every comparison it takes part in, at the time when
        handshakes cost it most. So it is skipped at random according to its
        share.
        """
        return candidate.share >= 1.0 or self._rng.random() < candidate.share

    def _cost(
        self,
        candidate: Candidate,
        default_candidate: Candidate | None,
        now: float,
    ) -> float:
        cost = candidate.record.capacity.load(now)
        if candidate is default_candidate:
            cost -= max(
                SESSION_DEFAULT_BIAS, SESSION_DEFAULT_BIAS_FRACTION * cost
            )
        if self._is_in_own_zone(candidate):
            cost -= ZONE_BIAS
        return cost
