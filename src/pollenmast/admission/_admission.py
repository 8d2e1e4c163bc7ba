"""Decides which new flows of a VM are placed, held or refused.

It answers the loads at which endpoints have too little capacity: a load spike,
a third of the endpoints slow, most of a service unavailable, or the backlog of
all clients after every VM has lost power.
"""

import math
from collections.abc import Hashable

from pollenmast.admission._in_progress import RequestsInProgress
from pollenmast.admission._model import (
    AdmissionSettings,
    Admit,
    AdmitReason,
    EndpointView,
    FlowArrival,
    Hold,
    Refuse,
    RefuseReason,
    Release,
    ServiceStatus,
)
from pollenmast.admission._service_admission import ServiceAdmission

MAX_SERVICES = 512
"""Maximum number of services with state; beyond it the oldest is forgotten."""


MAX_HELD_FLOWS = 8192
"""Maximum number of held flows of all services, each with a packet of up to
1.2 kB; further ones are refused at once."""


class Admission:
    """Admission control of one VM."""

    def __init__(
        self, endpoints: EndpointView, settings: AdmissionSettings | None = None
    ):
        self._endpoints = endpoints
        self._settings = settings or AdmissionSettings()
        self._in_progress = RequestsInProgress()
        self._services: dict[str, ServiceAdmission] = {}
        self._held: dict[Hashable, tuple[FlowArrival, Hold]] = {}

    @property
    def in_progress(self) -> RequestsInProgress:
        """This VM's requests in progress."""
        return self._in_progress

    @property
    def held(self) -> int:
        """The number of held flows."""
        return len(self._held)

    def is_held(self, key: Hashable) -> bool:
        """Whether a flow is held."""
        return key in self._held

    def on_arrival(
        self, arrival: FlowArrival, now: float
    ) -> Admit | Hold | Refuse:
        """Decides on a new flow.

        An admitted flow counts only once `in_progress.begin` is called. A flow
        that is held already stays held.
        """
        if not self._settings.credits:
            return Admit(None, AdmitReason.FREE)
        if arrival.key in self._held:
            return self._held[arrival.key][1]
        self._in_progress.expire(now)
        service = self._service(arrival.service)
        outcome = service.on_arrival(arrival, now)
        if isinstance(outcome, Hold):
            if len(self._held) >= MAX_HELD_FLOWS:
                service.cancel(arrival)
                return Refuse(RefuseReason.NO_ROOM)
            self._held[arrival.key] = arrival, outcome
        return outcome

    def release(self, now: float) -> list[Release]:
        """Returns the held flows that are decided now.

        The caller has to place each admitted flow and to call
        `in_progress.begin` before the next call; it calls this until nothing
        is returned.
        """
        self._in_progress.expire(now)
        released = []
        for service in self._services.values():
            released += service.release(now)
        for each in released:
            del self._held[each.arrival.key]
        return released

    def refuse_all(self, now: float) -> list[Release]:
        """Refuses all held flows, when this VM cannot place them any more."""
        released = []
        for service in self._services.values():
            released += service.refuse_all(now)
        self._held.clear()
        return released

    def cancel(self, key: Hashable) -> None:
        """Removes a held flow whose client has abandoned it."""
        held = self._held.pop(key, None)
        if held is not None:
            arrival, _ = held
            self._services[arrival.service].cancel(arrival)

    def next_release_at(self, now: float) -> float:
        """Returns when `release` has to be called at the latest.

        It is infinite if no flow is held. A hold may also end earlier, with a
        request in progress.
        """
        if not self._held:
            return math.inf
        expiries = [s.next_expiry() for s in self._services.values()]
        expiries.append(self._in_progress.next_expiry())
        return min(e for e in expiries if e is not None)

    def is_overloaded(
        self, service: str, now: float, without: str = ""
    ) -> bool:
        """Whether a service is short of capacity on this VM.

        Args:
            service: The service.
            now: The runtime's clock in seconds.
            without: An endpoint whose requests do not count.
        """
        self._in_progress.expire(now)
        known = self._services.get(service)
        return known is not None and known.is_overloaded(now, without)

    def is_saturated(self, service: str, now: float) -> bool:
        """Whether flows of a service had to wait or were refused recently."""
        known = self._services.get(service)
        return known is not None and known.is_saturated(now)

    def service_status(self, service: str, now: float) -> ServiceStatus | None:
        """Returns the state of a service, None if it had no flows here."""
        known = self._services.get(service)
        return known.status(now) if known is not None else None

    def status(self, now: float) -> list[ServiceStatus]:
        """Returns the state of each service that had flows here."""
        self._in_progress.expire(now)
        return [service.status(now) for service in self._services.values()]

    def _service(self, name: str) -> ServiceAdmission:
        service = self._services.get(name)
        if service is None:
            self._evict_idle()
            service = self._services[name] = ServiceAdmission(
                name, self._endpoints, self._settings, self._in_progress
            )
        return service

    def _evict_idle(self) -> None:
        if len(self._services) < MAX_SERVICES:
            return
        for name, service in self._services.items():
            if service.next_expiry() is None:
                del self._services[name]
                return
