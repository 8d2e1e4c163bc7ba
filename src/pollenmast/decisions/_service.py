"""The decisions of one VM for one service."""

import random
import statistics

from pollenmast.counters import RefusalReason
from pollenmast.decisions import _holding as holding
from pollenmast.decisions._backoff import Backoff
from pollenmast.decisions._capacity import Capacity, SessionCapacity
from pollenmast.decisions._endpoint import EndpointRecord
from pollenmast.decisions._evidence import RETURN_SHARE
from pollenmast.decisions._fairness import FairQueue, HeldFlow
from pollenmast.decisions._fleet_part import FleetPart
from pollenmast.decisions._outcomes import (
    FlowRequest,
    Held,
    Placed,
    Refused,
    Released,
)
from pollenmast.decisions._placement import (
    Candidate,
    Placement,
    RequestPlacement,
    SessionPlacement,
)
from pollenmast.decisions._rendezvous import Rendezvous
from pollenmast.decisions._request_capacity import RequestCapacity
from pollenmast.decisions._retry import RetryBudget
from pollenmast.decisions._trust import ReportTrust
from pollenmast.fleet import EndpointLoad, EndpointReport
from pollenmast.manifest import Endpoint, Service, ServiceKind


class ServiceDecisions:
    """All state of one service."""

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._placement: Placement = RequestPlacement(zone, rng)
        self._backoff = Backoff(rng)
        self._budget = RetryBudget()
        self._part = FleetPart()
        self._queue = FairQueue()
        self._given_up: list[Released] = []
        self._records: dict[str, EndpointRecord] = {}
        self._service: Service | None = None
        self._rendezvous: Rendezvous | None = None

    def set_service(self, service: Service, now: float) -> None:
        """Takes a manifest's entry; endpoints that stay keep their state."""
        first = self._service is None
        known = self._records
        resized = not first and (
            self._service.kind is not service.kind
            or self._service.limits != service.limits
        )
        self._service = service
        self._rendezvous = Rendezvous(service)
        is_session = service.kind is ServiceKind.SESSION
        placement = SessionPlacement if is_session else RequestPlacement
        self._placement = placement(self._zone, self._rng)
        self._records = {}
        for endpoint in service.endpoints:
            record = known.get(endpoint.name)
            if record is None or not _same(record.endpoint, endpoint):
                came_at = None if first else now
                record = self._new_record(endpoint, came_at)
            elif resized or not _alike(record.endpoint, endpoint):
                record.capacity = self._capacity(endpoint)
                record.trust = ReportTrust(endpoint.slots)
            record.endpoint = endpoint
            self._records[endpoint.name] = record
        self._part.retain(set(self._records))

    def set_fleet(self, relays: int) -> None:
        """Sets how many live relays share the load."""
        self._part.set_relays(relays)

    def record(self, endpoint: str) -> EndpointRecord | None:
        """Returns an endpoint's state."""
        return self._records.get(endpoint)

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Takes in a report and compares the endpoints' speeds."""
        record = self._records.get(report.endpoint)
        if record is None or not record.on_report(report, now):
            return
        self._compare(record, now)
        record.settle(now)

    def on_new_flow(
        self, request: FlowRequest, now: float
    ) -> Placed | Held | Refused:
        """Places, holds or refuses a new flow."""
        self._budget.on_new_flow()
        if not any(r.serving for r in self._records.values()):
            return self._refused(RefusalReason.NO_ENDPOINT, now)
        if not self._queue:
            placed = self._place(request, now)
            if placed is not None:
                return placed
        return self._hold(request, now)

    def retry(
        self, request: FlowRequest, tried: tuple[str, ...], now: float
    ) -> Placed | Refused:
        """Places a flow at an endpoint that was not tried, if the budget is."""
        others = [c for c in self._usable(now) if c.record.name not in tried]
        if not others:
            return self._refused(RefusalReason.NO_ENDPOINT, now)
        if not self._budget.spend():
            return self._refused(RefusalReason.RETRY_SPENT, now)
        # A retry may go beyond this VM's part: its caller has waited long
        # already, and the budget bounds what that adds.
        roomy = [c for c in others if self._has_room(c, now)]
        return self._choose(request, roomy or others, now)

    def release(self, now: float) -> list[Released]:
        """Places held flows in turn and gives up those whose time is over."""
        if not any(r.serving for r in self._records.values()):
            return self.give_up_all(now)
        released, self._given_up = self._given_up, []
        for flow in self._queue.expired(now):
            released.append(self._released(flow, RefusalReason.BUSY, now))
        while self._queue:
            roomy = self._roomy(now)
            if not roomy:
                break
            flow = self._queue.pop(now)
            placed = self._choose(flow.request, roomy, now)
            released.append(Released(flow.request.ticket, placed))
        return released

    def give_up_all(self, now: float) -> list[Released]:
        """Gives up every held flow: no endpoint takes new ones any more."""
        released, self._given_up = self._given_up, []
        while self._queue:
            flow = self._queue.pop(now)
            reason = RefusalReason.NO_ENDPOINT
            released.append(self._released(flow, reason, now))
        return released

    def on_caller_gone(self, ticket: int) -> bool:
        """Lets a held flow go; whether it was held here."""
        self._given_up = [r for r in self._given_up if r.ticket != ticket]
        return self._queue.remove(ticket) is not None

    def default_endpoint(self, flow_hash: int) -> str | None:
        """Returns what every VM computes alike."""
        return self._rendezvous.default(flow_hash)

    def loads(self, now: float) -> list[EndpointLoad]:
        """Returns each endpoint's share and why."""
        usable = {c.record.name: c.share for c in self._usable(now)}
        whole = sum(usable.values()) or 1.0
        return [
            EndpointLoad(
                service=self._service.number,
                endpoint=name,
                flows=record.open_flows,
                weight=round(usable.get(name, 0.0) / whole, 4),
                why=self._why(record, name in usable, now),
            )
            for name, record in self._records.items()
        ]

    def _new_record(
        self, endpoint: Endpoint, came_at: float | None
    ) -> EndpointRecord:
        return EndpointRecord(
            endpoint,
            self._capacity(endpoint),
            ReportTrust(endpoint.slots),
            came_at=came_at,
        )

    def _capacity(self, endpoint: Endpoint) -> Capacity:
        if self._service.kind is ServiceKind.SESSION:
            return SessionCapacity(endpoint, self._part)
        queue = self._service.limits.queue_per_slot
        return RequestCapacity(endpoint, queue, self._part, self._rng)

    def _compare(self, record: EndpointRecord, now: float) -> None:
        """Compares an endpoint with the service's medians."""
        serving = [r for r in self._records.values() if r.serving] or [record]
        paces = [r.capacity.pace() for r in serving]
        ratios = [r.trust.finished_by_sent for r in serving]
        known = [ratio for ratio in ratios if ratio is not None]
        record.compare(
            statistics.median_low(paces),
            statistics.median_low(known) if len(known) > 1 else 0.0,
            statistics.median_low([r.trust.busy for r in serving]),
            now,
        )
        doubted = [r for r in serving if r.doubted(now)]
        if 2 * len(doubted) > len(serving):
            for other in doubted:
                other.trust.forgive()

    def _usable(self, now: float) -> list[Candidate]:
        """Returns the endpoints that may get new flows.

        When every one looks bad, all serving ones are used; when this VM has
        ejected more than half of them, those are tried a little. Without
        this floor a network fault near this VM, or reports that all mislead,
        would turn away a service that may well be up.
        """
        serving = [r for r in self._records.values() if r.serving]
        ejected = [r for r in serving if r.evidence.ejected(now)]
        usable = [Candidate(r, r.share(now)) for r in serving]
        good = [c for c in usable if c.share > 0.0]
        if not good:
            return [Candidate(r, 1.0) for r in serving]
        if 2 * len(ejected) > len(serving):
            tried = [r for r in ejected if not r.reported_down()]
            good += [Candidate(r, RETURN_SHARE) for r in tried]
        return good

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        return candidate.record.capacity.has_room(now, candidate.share)

    def _roomy(self, now: float) -> list[Candidate]:
        return [c for c in self._usable(now) if self._has_room(c, now)]

    def _place(self, request: FlowRequest, now: float) -> Placed | None:
        roomy = self._roomy(now)
        return self._choose(request, roomy, now) if roomy else None

    def _choose(
        self, request: FlowRequest, roomy: list[Candidate], now: float
    ) -> Placed:
        default = self.default_endpoint(request.flow_hash)
        chosen = self._placement.choose(default, roomy, now).record
        chosen.on_placed(now)
        self._part.on_placed()
        self._queue.on_placed(request.caller, now)
        if chosen.name == default:
            return Placed(default, False, "its default endpoint")
        why = f"less loaded than its default {default}"
        if default not in {c.record.name for c in roomy}:
            why = f"its default {default} takes no new flow now"
        return Placed(chosen.name, True, why)

    def _hold(self, request: FlowRequest, now: float) -> Held | Refused:
        limits = self._service.limits
        most = holding.most_held(limits, self._rate(now))
        held = self._queue.of_caller(request.caller)
        if held >= limits.held_flows_per_caller:
            return self._refused(RefusalReason.CALLER_LIMIT, now)
        if not self._queue.may_hold(request.caller, most):
            return self._refused(RefusalReason.CALLER_LIMIT, now)
        flow = HeldFlow(request, now + limits.hold_ms / 1000.0)
        self._queue.push(flow)
        if len(self._queue) > most:
            refused = self._shed_one(flow, now)
            if refused is not None:
                return refused
        return Held(flow.until)

    def _rate(self, now: float) -> float:
        """Returns flows a second that this VM may place when all is full."""
        return sum(c.record.capacity.rate(c.share) for c in self._usable(now))

    def _shed_one(self, newest: HeldFlow, now: float) -> Refused | None:
        """Gives up the newest flow of the greatest holder.

        Returns:
            The refusal, when that is the flow that came just now.
        """
        loser = self._queue.give_up(newest, now)
        if loser is newest:
            full = len(self._queue) >= self._service.limits.held_flows
            reason = RefusalReason.HOLD_FULL if full else RefusalReason.BUSY
            return self._refused(reason, now)
        reason = RefusalReason.CALLER_LIMIT
        self._given_up.append(self._released(loser, reason, now))
        return None

    def _released(
        self, flow: HeldFlow, reason: RefusalReason, now: float
    ) -> Released:
        return Released(flow.request.ticket, self._refused(reason, now))

    def _refused(self, reason: RefusalReason, now: float) -> Refused:
        return Refused(reason, self._backoff.retry_after_ms(now))

    def _why(self, record: EndpointRecord, used: bool, now: float) -> str:
        why = record.why(now)
        if used and record.share(now) <= 0.0:
            return f"{why}; used all the same, since every endpoint looks bad"
        return why


def _same(one: Endpoint, other: Endpoint) -> bool:
    """Whether two entries of one name are the same upstream process."""
    return (one.address, one.port) == (other.address, other.port)


def _alike(one: Endpoint, other: Endpoint) -> bool:
    """Whether two entries have the same size."""
    return (one.slots, one.connections) == (other.slots, other.connections)
