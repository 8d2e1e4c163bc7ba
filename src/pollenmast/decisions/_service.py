"""Load-balancing decisions of one VM for one service."""

import random
import statistics

from pollenmast.admission import FairQueue, HeldFlow, RetryBudget
from pollenmast.counters import RefusalReason
from pollenmast.decisions import _holding as holding
from pollenmast.decisions._backoff import Backoff
from pollenmast.decisions._capacity import Capacity, SessionCapacity
from pollenmast.decisions._endpoint import EndpointRecord
from pollenmast.decisions._evidence import RECOVERY_INITIAL_SHARE
from pollenmast.decisions._fleet_part import CapacityShare
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
from pollenmast.decisions._trust import ReportTrust
from pollenmast.fleet import EndpointLoad, EndpointReport
from pollenmast.manifest import Endpoint, Service, ServiceKind


class ServiceDecisions:
    """Places, holds or refuses the flows of one service."""

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._placement: Placement = RequestPlacement(zone, rng)
        self._backoff = Backoff(rng)
        self._budget = RetryBudget()
        self._capacity_share = CapacityShare()
        self._queue = FairQueue()
        self._pending_releases: list[Released] = []
        self._records: dict[str, EndpointRecord] = {}
        self._service: Service | None = None
        self._rendezvous: Rendezvous | None = None

    def set_service(self, service: Service, now: float) -> None:
        """Applies a manifest's entry; endpoints that stay keep their state."""
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
            if record is None or not _is_same_process(
                record.endpoint, endpoint
            ):
                added_at = None if first else now
                record = self._new_record(endpoint, added_at)
            elif resized or not _is_same_size(record.endpoint, endpoint):
                record.capacity = self._capacity(endpoint)
                record.trust = ReportTrust(endpoint.slots)
            record.endpoint = endpoint
            self._records[endpoint.name] = record
        self._capacity_share.retain(set(self._records))

    def set_fleet(self, relays: int) -> None:
        """Sets the number of live relays that share the load."""
        self._capacity_share.set_relays(relays)

    def record(self, endpoint: str) -> EndpointRecord | None:
        """Returns an endpoint's record, or None if the service lacks it."""
        return self._records.get(endpoint)

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Processes a load report and compares the endpoint with its peers."""
        record = self._records.get(report.endpoint)
        if record is None or not record.on_report(report, now):
            return
        self._compare_with_medians(record, now)
        record.apply_report(now)

    def on_new_flow(
        self, request: FlowRequest, now: float
    ) -> Placed | Held | Refused:
        """Places, holds or refuses a new flow immediately."""
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
        """Places an unanswered flow elsewhere, within the retry budget."""
        others = [c for c in self._usable(now) if c.record.name not in tried]
        if not others:
            return self._refused(RefusalReason.NO_ENDPOINT, now)
        if not self._budget.spend():
            return self._refused(RefusalReason.RETRY_SPENT, now)
        # A retry may exceed this VM's capacity share: its caller has already
        # waited for a retry time, and the budget bounds the extra load.
        with_room = [c for c in others if self._has_room(c, now)]
        return self._choose(request, with_room or others, now)

    def release(self, now: float) -> list[Released]:
        """Places held flows in fair order and refuses those that expired."""
        if not any(r.serving for r in self._records.values()):
            return self.refuse_all_held(now)
        released, self._pending_releases = self._pending_releases, []
        for flow in self._queue.expired(now):
            released.append(self._refuse_held(flow, RefusalReason.BUSY, now))
        while self._queue:
            with_room = self._candidates_with_room(now)
            if not with_room:
                break
            flow = self._queue.pop(now)
            placed = self._choose(flow.request, with_room, now)
            released.append(Released(flow.request.ticket, placed))
        return released

    def refuse_all_held(self, now: float) -> list[Released]:
        """Refuses every held flow, as no endpoint takes new flows any more."""
        released, self._pending_releases = self._pending_releases, []
        while self._queue:
            flow = self._queue.pop(now)
            reason = RefusalReason.NO_ENDPOINT
            released.append(self._refuse_held(flow, reason, now))
        return released

    def on_caller_gone(self, ticket: int) -> bool:
        """Drops a held flow whose caller has gone silent.

        Returns:
            Whether the flow was held in this service's queue.
        """
        self._pending_releases = [
            r for r in self._pending_releases if r.ticket != ticket
        ]
        return self._queue.remove(ticket) is not None

    def default_endpoint(self, flow_hash: int) -> str | None:
        """Returns the flow's default endpoint, the same on every VM."""
        return self._rendezvous.default(flow_hash)

    def loads(self, now: float) -> list[EndpointLoad]:
        """Returns each endpoint's share of new flows and the reason for it."""
        usable = {c.record.name: c.share for c in self._usable(now)}
        whole = sum(usable.values()) or 1.0
        return [
            EndpointLoad(
                service=self._service.number,
                endpoint=name,
                flows=record.open_flows,
                weight=round(usable.get(name, 0.0) / whole, 4),
                why=self._explain(record, name in usable, now),
            )
            for name, record in self._records.items()
        ]

    def _new_record(
        self, endpoint: Endpoint, added_at: float | None
    ) -> EndpointRecord:
        return EndpointRecord(
            endpoint,
            self._capacity(endpoint),
            ReportTrust(endpoint.slots),
            added_at=added_at,
        )

    def _capacity(self, endpoint: Endpoint) -> Capacity:
        if self._service.kind is ServiceKind.SESSION:
            return SessionCapacity(endpoint, self._capacity_share)
        queue = self._service.limits.queue_per_slot
        return RequestCapacity(endpoint, queue, self._capacity_share, self._rng)

    def _compare_with_medians(self, record: EndpointRecord, now: float) -> None:
        """Compares an endpoint with the medians of the service.

        If the reports of more than half of the serving endpoints look wrong,
        these reports are trusted again.
        """
        serving = [r for r in self._records.values() if r.serving] or [record]
        service_times = [r.capacity.service_time_s() for r in serving]
        ratios = [r.trust.finished_ratio for r in serving]
        known_ratios = [ratio for ratio in ratios if ratio is not None]
        record.compare(
            statistics.median_low(service_times),
            statistics.median_low(known_ratios)
            if len(known_ratios) > 1
            else 0.0,
            statistics.median_low([r.trust.busy for r in serving]),
            now,
        )
        doubted = [r for r in serving if r.report_is_doubted(now)]
        if 2 * len(doubted) > len(serving):
            for other in doubted:
                other.trust.clear_suspicion()

    def _usable(self, now: float) -> list[Candidate]:
        """Returns the endpoints that are eligible for new flows.

        If every endpoint looks unhealthy, all serving endpoints are used. If
        this VM has ejected more than half of them, the ejected ones get a
        small share, unless they are reported as down. Without this panic mode
        a network fault near this VM, or reports that are all misleading, would
        make the VM refuse flows for a service that may well be up.
        """
        serving = [r for r in self._records.values() if r.serving]
        ejected = [r for r in serving if r.passive_health.is_ejected(now)]
        usable = [Candidate(r, r.share(now)) for r in serving]
        good = [c for c in usable if c.share > 0.0]
        if not good:
            return [Candidate(r, 1.0) for r in serving]
        if 2 * len(ejected) > len(serving):
            tried = [r for r in ejected if not r.is_reported_down()]
            good += [Candidate(r, RECOVERY_INITIAL_SHARE) for r in tried]
        return good

    def _has_room(self, candidate: Candidate, now: float) -> bool:
        return candidate.record.capacity.has_room(now, candidate.share)

    def _candidates_with_room(self, now: float) -> list[Candidate]:
        return [c for c in self._usable(now) if self._has_room(c, now)]

    def _place(self, request: FlowRequest, now: float) -> Placed | None:
        with_room = self._candidates_with_room(now)
        return self._choose(request, with_room, now) if with_room else None

    def _choose(
        self, request: FlowRequest, with_room: list[Candidate], now: float
    ) -> Placed:
        default = self.default_endpoint(request.flow_hash)
        chosen = self._placement.choose(default, with_room, now).record
        chosen.on_placed(now)
        self._capacity_share.on_placed()
        self._queue.on_placed(request.caller, now)
        if chosen.name == default:
            return Placed(default, False, "its default endpoint")
        why = f"less loaded than its default {default}"
        if default not in {c.record.name for c in with_room}:
            why = f"its default {default} takes no new flow now"
        return Placed(chosen.name, True, why)

    def _hold(self, request: FlowRequest, now: float) -> Held | Refused:
        limits = self._service.limits
        most = holding.max_held(limits, self._rate(now))
        held = self._queue.count_held(request.caller)
        if held >= limits.held_flows_per_caller:
            return self._refused(RefusalReason.CALLER_LIMIT, now)
        if not self._queue.may_hold(request.caller, most):
            return self._refused(RefusalReason.CALLER_LIMIT, now)
        flow = HeldFlow(request, now + limits.hold_ms / 1000.0)
        self._queue.push(flow)
        if len(self._queue) > most:
            refused = self._drop_one(flow, now)
            if refused is not None:
                return refused
        return Held(flow.until)

    def _rate(self, now: float) -> float:
        """Returns the flows per second this VM may place at full endpoints."""
        return sum(c.record.capacity.rate(c.share) for c in self._usable(now))

    def _drop_one(self, newest: HeldFlow, now: float) -> Refused | None:
        """Drops the newest held flow of the network with the largest claim.

        Args:
            newest: The flow that was added last.
            now: The runtime's clock.

        Returns:
            The refusal if the dropped flow is `newest`, otherwise None; the
            refusal of another flow is returned by the next `release`.
        """
        dropped = self._queue.drop_one(newest, now)
        if dropped is newest:
            full = len(self._queue) >= self._service.limits.held_flows
            reason = RefusalReason.HOLD_FULL if full else RefusalReason.BUSY
            return self._refused(reason, now)
        reason = RefusalReason.CALLER_LIMIT
        self._pending_releases.append(self._refuse_held(dropped, reason, now))
        return None

    def _refuse_held(
        self, flow: HeldFlow, reason: RefusalReason, now: float
    ) -> Released:
        return Released(flow.request.ticket, self._refused(reason, now))

    def _refused(self, reason: RefusalReason, now: float) -> Refused:
        return Refused(reason, self._backoff.retry_after_ms(now))

    def _explain(self, record: EndpointRecord, used: bool, now: float) -> str:
        why = record.why(now)
        if used and record.share(now) <= 0.0:
            return f"{why}; used all the same, since every endpoint looks bad"
        return why


def _is_same_process(one: Endpoint, other: Endpoint) -> bool:
    """Whether two entries with the same name have the same address and port."""
    return (one.address, one.port) == (other.address, other.port)


def _is_same_size(one: Endpoint, other: Endpoint) -> bool:
    """Whether two entries have the same slots and connection limit."""
    return (one.slots, one.connections) == (other.slots, other.connections)
