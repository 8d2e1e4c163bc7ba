"""What happens to each segment of a client, without sockets.

Every packet names its endpoint by a token that the endpoint's first answer
carried, so any VM can carry any packet of any flow. A VM decides only where a
flow's SYN goes, and when a flow has to be given up.
"""

import random
from collections.abc import Sequence

import attrs

from pollenmast import counters as c
from pollenmast.counters import (
    Counters,
    DropReason,
    Histograms,
    ResetReason,
)
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._changes import (
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._cold_limit import ColdAllowance, ColdLimit
from pollenmast.steering._doubts import Doubts
from pollenmast.steering._flows import REPEAT_S, FlowTable
from pollenmast.steering._health import CheckResult
from pollenmast.steering._journal import Journal
from pollenmast.steering._learning import Learner
from pollenmast.steering._load import LoadBook
from pollenmast.steering._model import FlowKey, Route, RouteTable, Segment
from pollenmast.steering._outcomes import Drop, Forward, Outcome, Reset
from pollenmast.steering._outliers import Outliers
from pollenmast.steering._placement import Placed, Placement, Unplaced
from pollenmast.steering._position import Position
from pollenmast.steering._reach import Reach
from pollenmast.steering._record import Presence, Record
from pollenmast.steering._routes import RouteBook

CURRENT_S = 2.5
"""How old a confirmed view may be to say that something does not exist, in
seconds: less than the three within which a new route must be served. While
the directory is in reach a watch answers every second."""

SETTLE_S = 3.0
"""How long after the directory's return its list may still miss entries, in
seconds: they are back within about two."""


@attrs.frozen
class Applied:
    """What an update changed.

    Attributes:
        records: Endpoints that came, changed or vanished.
        table: The configuration, if a newer one came into force.
        zones: Availability zones that were drained or restored.
    """

    records: list[Record]
    table: RouteTable | None
    zones: list[ZoneDrained | ZoneRestored] = attrs.field(factory=list)


class Steering:
    """The beliefs of one VM and what follows from them."""

    def __init__(
        self,
        zone: str,
        counters: Counters,
        rng: random.Random,
        histograms: Histograms | None = None,
        allowance: ColdAllowance | None = None,
    ):
        self._counters = counters
        self._catalog = Catalog()
        self._flows = FlowTable()
        self._doubts = Doubts(self._catalog, self._flows)
        self._load = LoadBook(zone)
        self._cold_limit = ColdLimit(zone, allowance)
        self._outliers = Outliers(self._catalog)
        self._learner = Learner(
            self._flows,
            self._doubts,
            self._load,
            self._outliers,
            histograms or Histograms(),
        )
        self._reach = Reach(zone, self._catalog)
        self._placement = Placement(
            zone, self._catalog, self._load, rng, self._cold_limit
        )
        self._journal = Journal()
        self._routes = RouteBook()
        self._position = Position()
        self._confirmed_at = float("-inf")
        self._returned_at = float("-inf")

    @property
    def catalog(self) -> Catalog:
        """The endpoints."""
        return self._catalog

    @property
    def flows(self) -> FlowTable:
        """The flows that passed by."""
        return self._flows

    @property
    def doubts(self) -> Doubts:
        """Which endpoints this VM asks for their health."""
        return self._doubts

    @property
    def load(self) -> LoadBook:
        """The endpoints' load."""
        return self._load

    @property
    def cold_limit(self) -> ColdLimit:
        """How many flows this VM may open to endpoints that warm up."""
        return self._cold_limit

    @property
    def outliers(self) -> Outliers:
        """The endpoints that fail requests."""
        return self._outliers

    @property
    def reach(self) -> Reach:
        """Whether this VM reaches the zones that its clients depend on."""
        return self._reach

    @property
    def journal(self) -> Journal:
        """The latest changes."""
        return self._journal

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force."""
        return self._routes.table

    @property
    def position(self) -> Position:
        """How far the beliefs follow the directory."""
        return self._position

    @property
    def revision(self) -> int:
        """The directory's revision that the beliefs are complete up to."""
        return self._position.revision

    @property
    def ready(self) -> bool:
        """Whether routes and endpoints are known."""
        return self.table is not None and bool(self._catalog.records)

    @property
    def serves(self) -> bool:
        """Whether clients are as well off here as with another VM."""
        return self.ready and not self._reach.cut_off

    def age_s(self, now: float) -> float:
        """Returns how long ago the directory confirmed the beliefs."""
        return now - self._confirmed_at

    def on_confirmed(self, at: float) -> None:
        """The directory has said, then, that nothing else has changed."""
        self._confirmed_at = max(self._confirmed_at, at)
        self._catalog.confirm(self._confirmed_at)

    def on_pause(self, gap_s: float) -> None:
        """The VM stood still, which its clock has not counted.

        Its view would else look as young as before the pause, to itself and
        to the VMs that it tells.
        """
        self._confirmed_at -= gap_s
        self._catalog.confirm(self._confirmed_at)

    def on_return(self, now: float) -> None:
        """The directory answers again after an outage."""
        self._returned_at = now
        self._catalog.extend_lapses(now)

    def fits(self, update: Update) -> bool:
        """Whether an update follows from what this VM knows.

        Of another epoch only a list of everything can be taken, and none of
        an earlier one.
        """
        if update.epoch != self._position.epoch:
            return update.whole and update.epoch > self._position.epoch
        return self._routes.fits(update.changes)

    def apply(self, update: Update, now: float) -> Applied:
        """Takes in what the directory, or a peer, told."""
        if not self.fits(update):
            return Applied([], None)
        if update.epoch > self._position.epoch:
            self._catalog.begin_epoch(now)
        before = self.table
        changes = [self._routes.take(change) for change in update.changes]
        zones = self._catalog.drains.apply(update)
        table = self.table if self.table is not before else None
        if table is not None:
            self._placement.set_warmups(table.warmups)
        self._cool(zones, now)
        records = self._catalog.apply(update, now)
        lapsed = [r for r in records if r.presence is Presence.LAPSED]
        self._doubts.on_lapsed(lapsed, now)
        if update.position > self._position:
            implied = [zone for zone in zones if zone not in update.changes]
            told = tuple(c for c in (*changes, *implied) if c is not None)
            kept = Update(told, update.revision, update.whole)
            self._journal.add(kept, self._position.revision)
            self._position = update.position
        return Applied(records, table, zones)

    def settle(self, now: float) -> Applied:
        """Takes a restored directory's word once its writers had time."""
        records, zones = self._catalog.settle(now)
        self._cool(zones, now)
        return Applied(records, None, list(zones))

    def on_segment(self, segment: Segment, now: float) -> Outcome:
        """Decides what becomes of a client's segment."""
        outcome = self._decide(segment, now)
        if isinstance(outcome, Forward):
            self._counters.add(c.SEGMENTS)
        elif isinstance(outcome, Drop):
            self._counters.add(c.DROPS, outcome.reason)
        else:
            self._counters.add(c.RESETS, outcome.reason)
        return outcome

    def on_check(
        self, record: Record, result: CheckResult, now: float
    ) -> list[Reset]:
        """Takes in a health check; returns the flows to end."""
        record.health.on_check(result, now)
        if record.health.down and self._catalog.is_missing(record):
            record.presence = Presence.GONE
        if not record.health.down:
            return []
        return self._end_flows(record)

    def due_checks(self, now: float) -> list[Record]:
        """Returns the endpoints whose health is to be checked now."""
        self._doubts.ask_overdue(now)
        due = self._catalog.watchlist.look(now)
        return [record for record in due if not self._doubts.drop(record)]

    def tick(self, now: float) -> None:
        """Forgets what is old, and asks for what did not come back."""
        self._flows.expire(now)
        self._catalog.expire(now)
        self._cold_limit.expire(now)
        self._doubts.ask_overdue(now)
        self._learner.look(now)

    def _cool(
        self, zones: Sequence[ZoneDrained | ZoneRestored], now: float
    ) -> None:
        if self.table is not None:
            self._catalog.cool(zones, self.table.warmups, now)

    def _decide(self, segment: Segment, now: float) -> Outcome:
        if segment.syn:
            return self._open(segment, now)
        record = self._catalog.by_token(segment.token)
        if record is None:
            return Drop(DropReason.UNKNOWN_TOKEN)
        record.health.on_open(segment.flow)
        if segment.rst:
            self._learner.forget(segment.flow)
            return Forward(record.endpoint)
        self._learner.on_segment(segment, record, now)
        ended = self._ended(record)
        if ended is not None:
            self._learner.forget(segment.flow)
            return self._reset(segment, ended, record.endpoint.name)
        return Forward(record.endpoint)

    @staticmethod
    def _ended(record: Record) -> ResetReason | None:
        if record.presence is Presence.GONE:
            return ResetReason.ENDPOINT_GONE
        if record.health.down:
            return ResetReason.ENDPOINT_DOWN
        return None

    def _open(self, segment: Segment, now: float) -> Outcome:
        route = self._route(segment)
        current = self.age_s(now) < CURRENT_S
        if route is None:
            if self.table is None or not current:
                return Drop(DropReason.NO_ROUTE_YET)
            return self._reset(segment, ResetReason.NO_ROUTE)
        flow = self._flows.get(segment.flow)
        tried = flow.tried if flow is not None and not flow.opened else ()
        if tried and now - flow.syn_at < REPEAT_S:
            return Drop(DropReason.DUPLICATE_SYN)
        for name in tried[-1:]:
            self._doubt(name, now)
        self._catalog.watchlist.look(now)
        placed = self._place(route, segment.flow, tried, now)
        if placed is None or isinstance(placed, Unplaced):
            return self._refuse(segment, placed, now)
        endpoint = placed.record.endpoint
        flow = self._flows.bind(segment.flow, endpoint.name, now)
        flow.tried = (*tried, endpoint.name)
        flow.opened = False
        flow.syn_at = now
        placed.record.health.on_syn(segment.flow, now)
        self._placement.on_opened(placed.record, now)
        # Counts before its requests do: flows that arrive together would
        # else all find the same endpoint the least loaded.
        self._load.on_work(endpoint.number, now)
        self._counters.add(c.PLACEMENTS, placed.reason)
        return Forward(endpoint, placed.reason)

    def _place(
        self, route: Route, flow: FlowKey, tried: tuple[str, ...], now: float
    ) -> Placed | Unplaced | None:
        """Returns an endpoint of the first service that has one.

        Where none has, returns why the first does not; None if the route
        names no service.
        """
        first = None
        for service in route.services(flow.digest):
            placed = self._placement.choose(service, tried, now)
            if isinstance(placed, Placed):
                return placed
            first = first or placed
        return first

    def _refuse(
        self, segment: Segment, reason: Unplaced | None, now: float
    ) -> Outcome:
        if reason is Unplaced.ZONE_DRAINED:
            return self._reset(segment, ResetReason.ZONE_DRAINED)
        if reason is Unplaced.WARMING_UP:
            return self._reset(segment, ResetReason.WARMING_UP)
        current = self.age_s(now) < CURRENT_S
        settled = now - self._returned_at >= SETTLE_S
        if current and settled:
            return self._reset(segment, ResetReason.NO_ENDPOINT)
        return Drop(DropReason.NO_ENDPOINT_YET)

    def _route(self, segment: Segment) -> Route | None:
        if self.table is None:
            return None
        flow = segment.flow
        return self.table.routes.get((flow.service_host, flow.service_port))

    def _doubt(self, name: str, now: float) -> None:
        record = self._catalog.get(name)
        if record is not None:
            record.health.on_repeat(now)

    def _end_flows(self, record: Record) -> list[Reset]:
        """Ends every known flow of an endpoint that is down or gone.

        An idle client would otherwise send its next request into silence.
        One that may not be repeated would be lost, although a flow opened
        anew could have carried it.
        """
        gone = record.presence is Presence.GONE
        reason = (
            ResetReason.ENDPOINT_GONE if gone else ResetReason.ENDPOINT_DOWN
        )
        resets = []
        for flow in self._flows.at(record.endpoint.name):
            self._learner.forget(flow.key)
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
