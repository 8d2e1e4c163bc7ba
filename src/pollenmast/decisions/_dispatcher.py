"""Load-balancing decisions of one VM for all services; called by the relay."""

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

_UNKNOWN_SERVICE_RETRY_AFTER_MS = 1000
"""Retry-after time, in ms, for flows to a service not in the manifest."""


class Dispatcher:
    """Places, holds or refuses the flows of all services.

    Every `now` is the runtime's clock in seconds. No method blocks, and no
    input from callers, upstreams or the platform makes a method raise.
    """

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._services: dict[int, ServiceDecisions] = {}
        self._relays = 1
        self._pending_releases: list[Released] = []

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Applies a newer manifest; endpoints it still lists keep their state.

        Flows held for a removed service are refused at the next `release`.
        If they were dropped here instead, the relay would hold them for ever.
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
            self._pending_releases.extend(gone.refuse_all_held(now))
        self._services = services

    def set_fleet(self, relays: int) -> None:
        """Sets the number of live relays that share the load, with this one."""
        self._relays = relays
        for service in self._services.values():
            service.set_fleet(relays)

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Processes a load report; duplicate and older reports are ignored."""
        service = self._services.get(report.service)
        if service is not None:
            service.on_report(report, now)

    def on_new_flow(
        self, request: FlowRequest, now: float
    ) -> Placed | Held | Refused:
        """Places, holds or refuses a new flow immediately."""
        service = self._services.get(request.service)
        if service is None:
            return Refused(
                RefusalReason.NO_ENDPOINT, _UNKNOWN_SERVICE_RETRY_AFTER_MS
            )
        return service.on_new_flow(request, now)

    def release(self, now: float) -> list[Released]:
        """Returns the held flows that have now been placed or refused."""
        released, self._pending_releases = self._pending_releases, []
        for service in self._services.values():
            released.extend(service.release(now))
        return released

    def on_caller_gone(self, ticket: int) -> None:
        """Drops a held flow whose caller has gone silent."""
        for service in self._services.values():
            if service.on_caller_gone(ticket):
                return
        self._pending_releases = [
            r for r in self._pending_releases if r.ticket != ticket
        ]

    def on_flow_ended(self, service: int, endpoint: str, now: float) -> None:
        """Records that a flow of this VM has ended or moved to another VM."""
        record = self._record(service, endpoint)
        if record is not None:
            record.on_ended()

    def on_answered(self, service: int, endpoint: str, now: float) -> None:
        """Records that the endpoint sent a packet for a flow of this VM."""
        record = self._record(service, endpoint)
        if record is not None:
            record.passive_health.on_answered(now)

    def on_unanswered(self, service: int, endpoint: str, now: float) -> None:
        """Records that a new flow got no answer within the retry time."""
        record = self._record(service, endpoint)
        if record is not None:
            record.passive_health.on_unanswered(now)

    def retry(
        self, request: FlowRequest, tried: tuple[str, ...], now: float
    ) -> Placed | Refused:
        """Places an unanswered flow elsewhere, within the retry budget.

        Args:
            request: The flow.
            tried: Names of the endpoints that it has already been sent to.
            now: The runtime's clock.
        """
        service = self._services.get(request.service)
        if service is None:
            return Refused(
                RefusalReason.NO_ENDPOINT, _UNKNOWN_SERVICE_RETRY_AFTER_MS
            )
        return service.retry(request, tried, now)

    def on_taken_over(self, service: int, endpoint: str) -> None:
        """Counts a flow that this relay took over from another relay."""
        record = self._record(service, endpoint)
        if record is not None:
            record.on_adopted()

    def default_endpoint(self, service: int, flow_hash: int) -> str | None:
        """Returns the flow's default endpoint, which is the same on every VM.

        Returns None for a service that is not in the manifest.
        """
        decisions = self._services.get(service)
        return (
            None if decisions is None else decisions.default_endpoint(flow_hash)
        )

    def loads(self, now: float) -> tuple[EndpointLoad, ...]:
        """Returns each endpoint's share of new flows and the reason for it."""
        loads = []
        for service in self._services.values():
            loads.extend(service.loads(now))
        return tuple(loads)

    def _record(self, service: int, endpoint: str):
        decisions = self._services.get(service)
        return None if decisions is None else decisions.record(endpoint)
