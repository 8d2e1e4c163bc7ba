"""The decisions of one VM for all services: what the relay calls."""

import random

from pollenmast.counters import RefusalReason
from pollenmast.decisions._outcomes import (
    FlowRequest,
    Held,
    Placed,
    Refused,
    Released,
)
from pollenmast.decisions._service import ServiceDecisions
from pollenmast.fleet import EndpointLoad, EndpointReport
from pollenmast.manifest import Manifest

_COME_BACK_MS = 1000
"""Told to callers of a service that the manifest does not name."""


class Dispatcher:
    """Whom to serve, who waits, who is refused, and where work goes.

    Every `now` is the runtime's clock in seconds. No method waits, and none
    raises for anything that callers, upstreams or the platform can cause.
    """

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._services: dict[int, ServiceDecisions] = {}
        self._relays = 1
        self._given_up: list[Released] = []

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Takes a newer manifest; endpoints that stay keep their state.

        Flows held for a service that is gone are given up at the next
        release; forgotten, they would be held for ever.
        """
        services = {}
        for service in manifest.services:
            decisions = self._services.pop(service.number, None)
            if decisions is None:
                decisions = ServiceDecisions(self._zone, self._rng)
                decisions.set_fleet(self._relays)
            decisions.set_service(service, now)
            services[service.number] = decisions
        for gone in self._services.values():
            self._given_up.extend(gone.give_up_all(now))
        self._services = services

    def set_fleet(self, relays: int) -> None:
        """Sets how many live relays, this one included, share the load."""
        self._relays = relays
        for service in self._services.values():
            service.set_fleet(relays)

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Takes in a load report; repeated and older ones change nothing."""
        service = self._services.get(report.service)
        if service is not None:
            service.on_report(report, now)

    def on_new_flow(
        self, request: FlowRequest, now: float
    ) -> Placed | Held | Refused:
        """Decides on a new flow at once."""
        service = self._services.get(request.service)
        if service is None:
            return Refused(RefusalReason.NO_ENDPOINT, _COME_BACK_MS)
        return service.on_new_flow(request, now)

    def release(self, now: float) -> list[Released]:
        """Returns the held flows that are now placed or given up."""
        released, self._given_up = self._given_up, []
        for service in self._services.values():
            released.extend(service.release(now))
        return released

    def on_caller_gone(self, ticket: int) -> None:
        """Lets go of a held flow whose caller went quiet."""
        for service in self._services.values():
            if service.on_caller_gone(ticket):
                return
        self._given_up = [r for r in self._given_up if r.ticket != ticket]

    def on_flow_ended(self, service: int, endpoint: str, now: float) -> None:
        """A flow that this VM carried has ended or moved to another VM."""
        record = self._record(service, endpoint)
        if record is not None:
            record.on_ended()

    def on_answered(self, service: int, endpoint: str, now: float) -> None:
        """The endpoint gave a sign of life for a flow of this VM."""
        record = self._record(service, endpoint)
        if record is not None:
            record.evidence.on_answered(now)

    def on_unanswered(self, service: int, endpoint: str, now: float) -> None:
        """A new flow's first packets got nothing back for the retry time."""
        record = self._record(service, endpoint)
        if record is not None:
            record.evidence.on_unanswered(now)

    def retry(
        self, request: FlowRequest, tried: tuple[str, ...], now: float
    ) -> Placed | Refused:
        """Places a flow at an endpoint not tried yet, within the budget."""
        service = self._services.get(request.service)
        if service is None:
            return Refused(RefusalReason.NO_ENDPOINT, _COME_BACK_MS)
        return service.retry(request, tried, now)

    def adopt(self, service: int, endpoint: str) -> None:
        """Counts a flow that was taken over from another relay."""
        record = self._record(service, endpoint)
        if record is not None:
            record.on_adopted()

    def default_endpoint(self, service: int, flow_hash: int) -> str | None:
        """Returns the endpoint that every VM computes alike for a flow."""
        decisions = self._services.get(service)
        return (
            None if decisions is None else decisions.default_endpoint(flow_hash)
        )

    def loads(self, now: float) -> tuple[EndpointLoad, ...]:
        """Returns each endpoint's share of new flows and why."""
        loads = []
        for service in self._services.values():
            loads.extend(service.loads(now))
        return tuple(loads)

    def _record(self, service: int, endpoint: str):
        decisions = self._services.get(service)
        return None if decisions is None else decisions.record(endpoint)
