"""Decides what happens to each client segment, independently of sockets.

Every packet after the SYN carries the token of its endpoint, which the
endpoint's first answer contained, so any VM can forward any packet of any flow.
A VM decides only which endpoint a flow's SYN goes to, and when a flow has to be
ended.
"""

import random
from collections.abc import Sequence

import attrs

from pollenmast import counters as c
from pollenmast.admission import (
    Admission,
    AdmissionSettings,
    Admit,
    Hold,
    Refuse,
)
from pollenmast.counters import (
    Counters,
    DropReason,
    Histograms,
    ResetReason,
)
from pollenmast.steering._admission_control import (
    AdmissionControl,
    HeldSegment,
)
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._changes import (
    RefusedEntry,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._check_policy import CheckPolicy
from pollenmast.steering._cold_limit import ColdAllowance, ColdLimit
from pollenmast.steering._connection_limit import ConnectionLimit
from pollenmast.steering._flows import MIN_RETRANSMIT_S, FlowTable
from pollenmast.steering._health import CheckResult
from pollenmast.steering._journal import ChangeLog
from pollenmast.steering._load import EndpointLoads
from pollenmast.steering._load_signs import LoadSigns
from pollenmast.steering._model import FlowKey, Route, RouteTable, Segment
from pollenmast.steering._outcomes import (
    Drop,
    Forward,
    Held,
    Outcome,
    Released,
    Reset,
)
from pollenmast.steering._outliers import Outliers
from pollenmast.steering._placement import (
    EndpointSelector,
    Placement,
    PlacementFailure,
)
from pollenmast.steering._position import Position
from pollenmast.steering._reach import Reach
from pollenmast.steering._record import Presence, Record
from pollenmast.steering._routes import ActiveRoutes
from pollenmast.steering._traffic_observer import TrafficObserver

MAX_VIEW_AGE_S = 2.5
"""Maximum age in seconds of a view used to conclude that a route is missing.

The same holds for endpoints. A view's age counts from the directory's last
confirmation. The limit is below the three seconds within which a new route must
be served; while the directory is reachable, its watch answers every second.
"""

DIRECTORY_SETTLE_S = 3.0
"""How long the directory's list may be incomplete after the directory returns
from an outage, in seconds. Missing entries are back within about two."""


@attrs.frozen
class Applied:
    """What an update changed.

    Attributes:
        records: Endpoints that were added, changed or removed.
        table: The new configuration, or None if the one in force did not
            change.
        zones: Availability zones that were drained or restored.
        shadowed: Endpoints that get no flows, as an older one has their token.
        refused: Entries that are not used from now on, as they lack what the
            others of their service state.
    """

    records: list[Record]
    table: RouteTable | None
    zones: list[ZoneDrained | ZoneRestored] = attrs.field(factory=list)
    shadowed: list[Record] = attrs.field(factory=list)
    refused: list[RefusedEntry] = attrs.field(factory=list)


class Steering:
    """One VM's view of routes and endpoints, and the decisions based on it."""

    def __init__(
        self,
        zone: str,
        counters: Counters,
        rng: random.Random,
        histograms: Histograms | None = None,
        allowance: ColdAllowance | None = None,
        admission: AdmissionSettings | None = None,
    ):
        self._counters = counters
        self._catalog = Catalog()
        self._flows = FlowTable()
        self._check_policy = CheckPolicy(self._catalog, self._flows)
        self._load = EndpointLoads(zone)
        self._cold_limit = ColdLimit(zone, allowance)
        self._outliers = Outliers(self._catalog)
        self._load_signs = LoadSigns(self._catalog)
        self._reach = Reach(zone, self._catalog)
        self._selector = EndpointSelector(
            zone,
            self._catalog,
            self._load,
            rng,
            self._cold_limit,
            ConnectionLimit(zone, self._flows),
        )
        self._control = AdmissionControl(
            zone, self._catalog, self._selector, admission
        )
        self._outliers.set_is_saturated(self._control.admission.is_saturated)
        self._load_signs.set_is_short(self._control.is_short_without)
        self._load_signs.set_enabled(admission is None or admission.full)
        self._observer = TrafficObserver(
            self._flows,
            self._check_policy,
            self._load,
            self._outliers,
            histograms or Histograms(),
            self._control.admission.in_progress,
        )
        self._journal = ChangeLog()
        self._routes = ActiveRoutes()
        self._position = Position()
        self._confirmed_at = float("-inf")
        self._returned_at = float("-inf")

    @property
    def catalog(self) -> Catalog:
        """The known endpoints."""
        return self._catalog

    @property
    def flows(self) -> FlowTable:
        """The flows whose packets this VM has seen recently."""
        return self._flows

    @property
    def check_policy(self) -> CheckPolicy:
        """The policy that selects the endpoints this VM health-checks."""
        return self._check_policy

    @property
    def load(self) -> EndpointLoads:
        """The load of the endpoints."""
        return self._load

    @property
    def cold_limit(self) -> ColdLimit:
        """Limits the flows that this VM opens to cold endpoints."""
        return self._cold_limit

    @property
    def outliers(self) -> Outliers:
        """Detects endpoints that fail requests while passing health checks."""
        return self._outliers

    @property
    def load_signs(self) -> LoadSigns:
        """Decides whether an endpoint that times out may be full."""
        return self._load_signs

    @property
    def reach(self) -> Reach:
        """Whether this VM can reach the zones that its clients depend on."""
        return self._reach

    @property
    def admission(self) -> Admission:
        """Decides which new flows are placed, held or refused."""
        return self._control.admission

    @property
    def admission_control(self) -> AdmissionControl:
        """Connects admission control to the endpoints."""
        return self._control

    @property
    def journal(self) -> ChangeLog:
        """The most recent changes."""
        return self._journal

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force."""
        return self._routes.table

    @property
    def position(self) -> Position:
        """The epoch and revision of the directory that this VM has applied."""
        return self._position

    @property
    def revision(self) -> int:
        """The directory revision up to which the view is complete."""
        return self._position.revision

    @property
    def ready(self) -> bool:
        """Whether a configuration and at least one endpoint are known."""
        return self.table is not None and bool(self._catalog.records)

    @property
    def serves(self) -> bool:
        """Whether clients are served as well here as by another VM."""
        return self.ready and not self._reach.cut_off

    def age_s(self, now: float) -> float:
        """Returns the seconds since the directory last confirmed this view."""
        return now - self._confirmed_at

    def on_confirmed(self, at: float) -> None:
        """Handles confirmation by the directory that the view was complete.

        Args:
            at: When the directory confirmed it, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, at)
        self._catalog.confirm(self._confirmed_at)

    def on_pause(self, gap_s: float) -> None:
        """Ages the view after a pause of the VM that its clock did not count.

        Otherwise the view would look as recent as before the pause, both to
        this VM and to the VMs that it reports to.

        Args:
            gap_s: Length of the pause in seconds.
        """
        self._confirmed_at -= gap_s
        self._catalog.confirm(self._confirmed_at)

    def on_directory_return(self, now: float) -> None:
        """Handles the return of the directory after an outage."""
        self._returned_at = now
        self._catalog.restart_grace_periods(now)

    def can_apply(self, update: Update) -> bool:
        """Whether an update can be applied to this VM's current view.

        An update of another epoch is accepted only if it is a complete list and
        its epoch is later than the current one.
        """
        if update.epoch != self._position.epoch:
            return update.complete and update.epoch > self._position.epoch
        return self._routes.can_apply(update.changes)

    def apply(self, update: Update, now: float) -> Applied:
        """Applies an update from the directory or from a peer.

        Returns:
            What changed; nothing if the update does not fit the current view.
        """
        for entry in update.refused:
            self._counters.add(c.ENTRIES_REFUSED, entry.fault)
        if not self.can_apply(update):
            return Applied([], None)
        if update.epoch > self._position.epoch:
            self._catalog.begin_epoch(now)
        before = self.table
        changes = [self._routes.apply(change) for change in update.changes]
        zones = self._catalog.drains.apply(update)
        table = self.table if self.table is not before else None
        if table is not None:
            self._selector.set_warmups(table.warmups)
            self._selector.connection_limit.set_limits(table.max_conns)
        self._mark_cold(zones, now)
        services = self.table.health_paths if self.table is not None else ()
        left_out = self._catalog.left_out
        incomplete = self._catalog.incomplete
        records = self._catalog.apply(update, services, now)
        left_out = self._catalog.left_out - left_out
        self._counters.add(c.ENTRIES_REFUSED, c.EntryFault.LIMIT, left_out)
        refused = [
            RefusedEntry(
                c.EntryFault.INCOMPLETE, f"{name}: no time of its start"
            )
            for name in self._catalog.incomplete - incomplete
        ]
        fault = c.EntryFault.INCOMPLETE
        self._counters.add(c.ENTRIES_REFUSED, fault, len(refused))
        shadowed = [r for r in records if self._catalog.is_shadowed(r)]
        self._counters.add(c.TOKENS_SHARED, amount=len(shadowed))
        lapsed = [r for r in records if r.presence is Presence.LAPSED]
        self._check_policy.on_lapsed(lapsed, now)
        if update.position > self._position:
            implied = [zone for zone in zones if zone not in update.changes]
            applied = tuple(c for c in (*changes, *implied) if c is not None)
            effective = Update(applied, update.revision, update.complete)
            self._journal.add(effective, self._position.revision)
            self._position = update.position
        return Applied(records, table, zones, shadowed, refused)

    def adopt_restored_state(self, now: float) -> Applied:
        """Applies a restored directory's entries once its writers had time.

        See `Catalog.adopt_restored_state`.
        """
        records, zones = self._catalog.adopt_restored_state(now)
        self._mark_cold(zones, now)
        return Applied(records, None, list(zones))

    def on_segment(self, segment: Segment, now: float) -> Outcome:
        """Decides what to do with a client's segment, and counts it."""
        outcome = self._decide(segment, now)
        self._count(outcome)
        return outcome

    def release_held(self, now: float) -> list[Released]:
        """Returns the held SYNs that are admitted or refused now."""
        released = []
        while decided := self._control.release(now):
            released += [self._released(*each, now) for each in decided]
        return released

    def refuse_held(self, now: float) -> list[Released]:
        """Refuses all held SYNs.

        A VM that stops, or that was suspended, cannot place them in time.
        """
        return [
            self._released(*each, now) for each in self._control.refuse_all(now)
        ]

    def _released(
        self, held: HeldSegment, decision: Admit | Refuse, now: float
    ) -> Released:
        if isinstance(decision, Admit):
            outcome = self._place_held(held.segment, decision, now)
        else:
            outcome = self._refuse_admission(
                held.segment, held.service, decision
            )
        self._count(outcome)
        return Released(held.segment, outcome, decision.held_s)

    def _place_held(
        self, segment: Segment, admit: Admit, now: float
    ) -> Outcome:
        """Places a SYN by the route in force, not the one it arrived under."""
        route = self._route(segment)
        if route is None:
            return self._refuse_unrouted(segment, now)
        return self._place_flow(segment, route, (), admit, now, "after_hold")

    def _count(self, outcome: Outcome) -> None:
        if isinstance(outcome, Forward):
            self._counters.add(c.SEGMENTS)
        elif isinstance(outcome, Drop):
            self._counters.add(c.DROPS, outcome.reason)
        elif isinstance(outcome, Reset):
            self._counters.add(c.RESETS, outcome.reason)
        else:
            self._counters.add(c.FLOWS_HELD)

    def on_check(
        self, record: Record, result: CheckResult, now: float
    ) -> list[Reset]:
        """Records the result of a health check.

        Returns:
            The resets to send for the endpoint's open flows if it is down.
        """
        may_be_full = (
            result is CheckResult.TIMEOUT
            and self._load_signs.may_be_full(record, now)
        )
        listed = record.presence is Presence.LISTED
        leaving = record.endpoint.draining and listed
        record.health.on_check(result, now, may_be_full, leaving)
        if record.health.down and self._catalog.is_missing(record):
            record.presence = Presence.GONE
        if not record.health.down:
            return []
        return self._end_flows(record)

    def due_checks(self, now: float) -> list[Record]:
        """Returns the endpoints to health-check now."""
        self._check_policy.schedule_overdue(now)
        due = self._catalog.watchlist.evaluate(now)
        return [
            record
            for record in due
            if not self._check_policy.cancel_if_unused(record)
        ]

    def tick(self, now: float) -> None:
        """Expires old state and schedules checks of endpoints still missing."""
        self._flows.expire(now)
        self._catalog.expire(now)
        self._cold_limit.expire(now)
        self._check_policy.schedule_overdue(now)
        self._observer.collect_late(now)

    def _mark_cold(
        self, zones: Sequence[ZoneDrained | ZoneRestored], now: float
    ) -> None:
        if self.table is not None:
            self._catalog.mark_cold(zones, self.table.warmups, now)

    def _decide(self, segment: Segment, now: float) -> Outcome:
        if segment.syn:
            return self._open_flow(segment, now)
        # The client has given the flow up, or another VM has placed it.
        self._control.cancel(segment.flow)
        record = self._catalog.by_token(segment.token)
        if record is None:
            return Drop(DropReason.UNKNOWN_TOKEN)
        record.health.on_open(segment.flow)
        if segment.rst:
            self._observer.forget(segment.flow)
            return Forward(record.endpoint)
        self._observer.on_segment(segment, record, now)
        reset_reason = self._reset_reason(record)
        if reset_reason is not None:
            self._observer.forget(segment.flow)
            return self._reset(segment, reset_reason, record.endpoint.name)
        return Forward(record.endpoint)

    @staticmethod
    def _reset_reason(record: Record) -> ResetReason | None:
        if record.presence is Presence.GONE:
            return ResetReason.ENDPOINT_GONE
        if record.health.down:
            return ResetReason.ENDPOINT_DOWN
        return None

    def _open_flow(self, segment: Segment, now: float) -> Outcome:
        route = self._route(segment)
        if route is None:
            self._control.cancel(segment.flow)
            return self._refuse_unrouted(segment, now)
        if self._control.is_held(segment.flow):
            return Drop(DropReason.HELD)
        flow = self._flows.get(segment.flow)
        tried = flow.tried if flow is not None and not flow.opened else ()
        if tried and now - flow.syn_sent_at < MIN_RETRANSMIT_S:
            return Drop(DropReason.DUPLICATE_SYN)
        for name in tried[-1:]:
            self._on_syn_repeated(name, now)
        self._catalog.watchlist.evaluate(now)
        service = self._service_in_use(route, segment.flow)
        if tried or not service:
            return self._place_flow(segment, route, tried, None, now)
        decision = self._control.decide(segment, route, service, now)
        if isinstance(decision, Hold):
            return Held()
        if isinstance(decision, Refuse):
            return self._refuse_admission(segment, service, decision)
        return self._place_flow(segment, route, tried, decision, now)

    def _refuse_unrouted(self, segment: Segment, now: float) -> Outcome:
        current = self.age_s(now) < MAX_VIEW_AGE_S
        if self.table is None or not current:
            return Drop(DropReason.NO_ROUTE_YET)
        return self._reset(segment, ResetReason.NO_ROUTE)

    def _service_in_use(self, route: Route, flow: FlowKey) -> str:
        """Returns the flow's first service with endpoints, or empty."""
        services = route.services(flow.digest)
        return next((s for s in services if self._catalog.serving(s)), "")

    def _place_flow(
        self,
        segment: Segment,
        route: Route,
        tried: tuple[str, ...],
        admit: Admit | None,
        now: float,
        admission: str = "",
    ) -> Outcome:
        placed = None
        if admit is not None and admit.endpoint is not None:
            placed = self._selector.place_on(admit.endpoint, now)
        if placed is None:
            placed = self._place(route, segment.flow, tried, now)
        if placed is None or isinstance(placed, PlacementFailure):
            return self._refuse(segment, placed, now)
        endpoint = placed.record.endpoint
        flow = self._flows.bind(segment.flow, endpoint.name, now)
        flow.tried = (*tried, endpoint.name)
        flow.opened = False
        flow.syn_sent_at = now
        placed.record.health.on_syn(segment.flow, now)
        self._selector.on_opened(placed.record, now)
        # Count the flow now rather than with its first request: otherwise
        # flows that arrive together would all pick the same endpoint as the
        # least loaded.
        self._load.on_request(endpoint.number, now)
        self._control.admission.in_progress.begin(
            segment.flow, endpoint.service, endpoint.name, now, opening=True
        )
        self._counters.add(c.PLACEMENTS, placed.reason)
        if admit is not None:
            self._counters.add(c.ADMISSIONS, admission or admit.reason.value)
        return Forward(endpoint, placed.reason)

    @staticmethod
    def _refuse_admission(
        segment: Segment, service: str, refuse: Refuse
    ) -> Reset:
        reason = ResetReason(refuse.reason.value)
        return Reset(segment.flow, 0, reason, service=service)

    def _place(
        self, route: Route, flow: FlowKey, tried: tuple[str, ...], now: float
    ) -> Placement | PlacementFailure | None:
        """Returns an endpoint of the route's first service that has one.

        Returns:
            The placement. If no service has an endpoint, the reason given for
            the first service; None if the route names no service.
        """
        first = None
        for service in route.services(flow.digest):
            placed = self._selector.choose(service, tried, now)
            if isinstance(placed, Placement):
                return placed
            first = first or placed
        return first

    def _refuse(
        self, segment: Segment, reason: PlacementFailure | None, now: float
    ) -> Outcome:
        if reason is PlacementFailure.ZONE_DRAINED:
            return self._reset(segment, ResetReason.ZONE_DRAINED)
        if reason is PlacementFailure.WARMING_UP:
            return self._reset(segment, ResetReason.WARMING_UP)
        if reason is PlacementFailure.CONNECTION_LIMIT:
            return self._reset(segment, ResetReason.CONNECTION_LIMIT)
        current = self.age_s(now) < MAX_VIEW_AGE_S
        settled = now - self._returned_at >= DIRECTORY_SETTLE_S
        if current and settled:
            return self._reset(segment, ResetReason.NO_ENDPOINT)
        return Drop(DropReason.NO_ENDPOINT_YET)

    def _route(self, segment: Segment) -> Route | None:
        if self.table is None:
            return None
        flow = segment.flow
        return self.table.routes.get((flow.service_host, flow.service_port))

    def _on_syn_repeated(self, name: str, now: float) -> None:
        record = self._catalog.get(name)
        if record is not None:
            record.health.on_retransmission(now)

    def _end_flows(self, record: Record) -> list[Reset]:
        """Ends all known flows of an endpoint that is down or gone.

        Otherwise an idle client would send its next request to an endpoint that
        does not answer. A request that may not be repeated would then be lost,
        although a newly opened flow could have carried it.
        """
        gone = record.presence is Presence.GONE
        reason = (
            ResetReason.ENDPOINT_GONE if gone else ResetReason.ENDPOINT_DOWN
        )
        resets = []
        for flow in self._flows.at(record.endpoint.name):
            self._observer.forget(flow.key)
            if flow.opened:
                self._counters.add(c.RESETS, reason)
                name = record.endpoint.name
                resets.append(Reset(flow.key, flow.acknowledged, reason, name))
        return resets

    def _reset(
        self, segment: Segment, reason: ResetReason, endpoint: str = ""
    ) -> Reset:
        sequence = 0 if segment.syn else segment.acknowledged
        return Reset(segment.flow, sequence, reason, endpoint)
