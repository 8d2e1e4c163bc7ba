"""Connects admission control to the endpoints and flows that a VM knows."""

import itertools
import math
from collections.abc import Callable, Mapping

import attrs

from pollenmast.admission import (
    Admission,
    AdmissionSettings,
    Admit,
    EndpointView,
    FlowArrival,
    Hold,
    Refuse,
    Release,
    allocate,
)
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._model import Endpoint, FlowKey, Route, Segment
from pollenmast.steering._placement import EndpointSelector

SYN_SENT_S = (0.0, 0.2, 0.6)
"""When a client sends its SYN and the copies of it, in seconds."""

SYN_ABANDONED_S = 1.3
"""Seconds after which a SYN is not forwarded any more. Its client abandons it
after 1.4; the endpoint's answer takes some of that time."""

MAX_COUNTED_SLOTS = 512
"""Slots of an endpoint beyond which further ones grant no credits. An entry
with a huge number of slots must not occupy every VM with computing credits."""

GUEST_RETRY_S = 0.02
"""Minimum time between two searches for an endpoint of another zone after one
without a result, in seconds. A search passes over all endpoints of the service,
and one for each packet would take most of the processor during a flood of SYNs.
The loads that it compares are reported every 0.5 s."""


class _Endpoints(EndpointView):
    """The endpoints of the catalog and the VMs that share them."""

    def __init__(self, zone: str, catalog: Catalog, selector: EndpointSelector):
        self._zone = zone
        self._catalog = catalog
        self._selector = selector
        self.sharers: Callable[[float], tuple[str, list[str]] | None] = _unknown
        self._no_guest_until: dict[str, float] = {}

    def credits(self, service: str, now: float) -> Mapping[str, int] | None:
        sharers = self.sharers(now)
        if sharers is None:
            return None
        slots = {
            record.endpoint.name: min(record.endpoint.slots, MAX_COUNTED_SLOTS)
            for record in self._catalog.serving(service)
            if record.endpoint.zone == self._zone
            and not self._catalog.is_drained(record)
        }
        if not slots:
            return None
        own, others = sharers
        return allocate(slots, others, own)

    def is_usable(self, endpoint: str, now: float) -> bool:
        record = self._catalog.get(endpoint)
        return record is not None and self._selector.accepts(record, now)

    def guest(self, service: str, now: float) -> str | None:
        if now < self._no_guest_until.get(service, -math.inf):
            return None
        self._no_guest_until.pop(service, None)
        record = self._selector.less_loaded_zone(service, now)
        if record is None:
            self._no_guest_until[service] = now + GUEST_RETRY_S
            return None
        return record.endpoint.name


@attrs.frozen
class HeldSegment:
    """A SYN that is held.

    Attributes:
        segment: The SYN.
        service: The service that it asks for.
    """

    segment: Segment
    service: str


class AdmissionControl:
    """Admission control of the flows of one VM."""

    def __init__(
        self,
        zone: str,
        catalog: Catalog,
        selector: EndpointSelector,
        settings: AdmissionSettings | None,
    ):
        self._selector = selector
        self._endpoints = _Endpoints(zone, catalog, selector)
        self._admission = Admission(self._endpoints, settings)
        self._held: dict[FlowKey, HeldSegment] = {}
        self._tickets = itertools.count()

    @property
    def admission(self) -> Admission:
        """The decisions."""
        return self._admission

    def set_sharers(
        self, sharers: Callable[[float], tuple[str, list[str]] | None]
    ) -> None:
        """Sets the VMs that share the endpoints of this VM's zone.

        Args:
            sharers: Returns this VM and the others of its zone at a time in
                seconds, None while they are not known.
        """
        self._endpoints.sharers = sharers
        self._selector.connection_limit.set_sharers(sharers)

    def is_short_without(self, endpoint: Endpoint, now: float) -> bool:
        """Whether an endpoint's service is short of capacity in any case.

        The requests in progress at the endpoint itself are left out: those at
        an endpoint that has just died stay in progress.
        """
        return self._admission.is_overloaded(
            endpoint.service, now, endpoint.name
        )

    def is_held(self, key: FlowKey) -> bool:
        """Whether the SYN of a flow is held."""
        return key in self._held

    def decide(
        self, segment: Segment, route: Route, service: str, now: float
    ) -> Admit | Hold | Refuse | None:
        """Decides on a SYN.

        Returns:
            The decision; None if the route is outside admission control.
        """
        if route.priority is None or route.target_latency_s is None:
            return None
        arrival = FlowArrival(
            key=segment.flow,
            ticket=next(self._tickets),
            service=service,
            caller=segment.flow.client_host,
            priority=route.priority,
            target_latency_s=route.target_latency_s,
            max_wait_s=_max_wait_s(segment.syn_copies),
            route=(route.host, route.port),
        )
        outcome = self._admission.on_arrival(arrival, now)
        if isinstance(outcome, Hold):
            self._held[segment.flow] = HeldSegment(segment, service)
        return outcome

    def release(self, now: float) -> list[tuple[HeldSegment, Admit | Refuse]]:
        """Returns the held SYNs that are decided now."""
        return self._take(self._admission.release(now))

    def refuse_all(
        self, now: float
    ) -> list[tuple[HeldSegment, Admit | Refuse]]:
        """Returns all held SYNs, refused."""
        return self._take(self._admission.refuse_all(now))

    def cancel(self, key: FlowKey) -> None:
        """Removes the held SYN of a flow, if any, without a decision."""
        if self._held.pop(key, None) is not None:
            self._admission.cancel(key)

    def _take(
        self, released: list[Release]
    ) -> list[tuple[HeldSegment, Admit | Refuse]]:
        return [
            (self._held.pop(each.arrival.key), each.outcome)
            for each in released
        ]


def _max_wait_s(syn_copies: int) -> float:
    """Returns how much longer a client waits after a copy of its SYN."""
    sent_s = SYN_SENT_S[min(syn_copies, len(SYN_SENT_S) - 1)]
    return SYN_ABANDONED_S - sent_s


def _unknown(now: float) -> tuple[str, list[str]] | None:
    return None
