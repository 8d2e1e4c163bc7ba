"""Scans the flow table in slices: ends, repairs and replicates flows.

A full pass over 200,000 flows at once would delay packets by a tenth of a
second, which callers would see as jitter. One slice per tick does not.
"""

from pollenmast import counters as c
from pollenmast.admission import TokenBucket
from pollenmast.decisions import Dispatcher
from pollenmast.decisions._fleet import Fleet
from pollenmast.decisions._replication import is_due
from pollenmast.decisions._silence import (
    MOVE_BURST,
    MOVE_INTERVAL_S,
    MOVES_PER_S,
    SILENT_S,
    is_silent,
)
from pollenmast.relay._custody import RecordExchange
from pollenmast.relay._flows import TICKS_PER_S, Flow, FlowState
from pollenmast.relay._table import FlowTable
from pollenmast.settings import RelaySettings

FLOWS_PER_TICK = 2_000
"""Number of flows scanned per tick of 20 ms.

A pass over 200,000 flows takes 2 s and some percent of a core, as measured by
`python -m bench run capacity`.
"""

PASS_INTERVAL_S = 0.5
"""Minimum time between the starts of two passes, in seconds.

The conditions that a pass looks for take seconds to arise, so that a small
table need not be scanned at every tick.
"""

CHECKED_FLOWS_PER_TICK = 200
"""Number of flows scanned per tick while owners or defaults are recomputed.

They are recomputed after a change of members or of the manifest, which takes
many times as long per flow as a usual scan.
"""

GUESS_TIMEOUT_S = 5.0
"""Time in which the endpoint of an unconfirmed flow must answer, in seconds.

Without this limit, a flood of forged packets would fill the table.
"""

ENDPOINT_ALIVE_S = 2.0
"""Maximum age of an answer that shows an endpoint is alive, in seconds."""


class FlowMaintenance:
    """Time-driven maintenance of the flows in the table."""

    def __init__(
        self,
        settings: RelaySettings,
        table: FlowTable,
        fleet: Fleet,
        record_exchange: RecordExchange,
        dispatcher: Dispatcher,
        counters: c.Counters,
    ):
        self._settings = settings
        self._table = table
        self._fleet = fleet
        self._record_exchange = record_exchange
        self._dispatcher = dispatcher
        self._counters = counters
        self._repath_budget = TokenBucket(MOVES_PER_S, MOVE_BURST)
        self._pending: list[Flow] = []
        self._next_pass = 0.0
        self._changes_seen = 0
        self._check_backups = False
        self._defaults_changed = False
        self._check_defaults = False
        self._recomputing = False
        self._draining = False

    def on_manifest(self) -> None:
        """Makes the next pass recompute which flows are off their default."""
        self._defaults_changed = True

    def drain(self) -> None:
        """Restarts the scan; each pass now hands flows over to their owners."""
        self._draining = True
        self._pending = []
        self._next_pass = 0.0

    def tick(self, now: float, tick: int) -> None:
        """Scans the next slice of flows."""
        if not self._pending:
            if now < self._next_pass:
                return
            self._next_pass = now + PASS_INTERVAL_S
            self._begin_pass()
        size = CHECKED_FLOWS_PER_TICK if self._recomputing else FLOWS_PER_TICK
        flows = self._pending[-size:]
        del self._pending[-size:]
        idle_since = tick - int(self._settings.idle_s * TICKS_PER_S)
        for flow in flows:
            # Fast path: nearly all flows need nothing, nearly all the time.
            if (
                flow.state is FlowState.ESTABLISHED
                and not flow.unanswered
                and not flow.off_default
                and not self._recomputing
                and flow.received_tick > idle_since
            ):
                continue
            self._inspect(flow, now, tick, idle_since)

    def _begin_pass(self) -> None:
        self._pending = self._table.all_flows()
        self._check_backups = self._changes_seen != self._fleet.changes
        self._changes_seen = self._fleet.changes
        self._check_defaults = self._defaults_changed
        self._defaults_changed = False
        self._recomputing = (
            self._check_backups or self._check_defaults or self._draining
        )

    def _inspect(
        self, flow: Flow, now: float, tick: int, idle_since: int
    ) -> None:
        if flow.path.flows.get(flow.target.address) is not flow:
            return
        last = max(flow.received_tick, flow.answered_tick)
        if (
            last < idle_since
            or self._guess_expired(flow, tick)
            or self._handover_expired(flow, tick)
        ):
            self._end(flow, now)
        elif flow.state in (FlowState.ESTABLISHED, FlowState.ADOPTED):
            self._maintain(flow, now, tick)

    def _guess_expired(self, flow: Flow, tick: int) -> bool:
        """Returns whether an unconfirmed flow got no answer in time."""
        waited = tick - flow.opened_tick
        return flow.state is FlowState.UNCONFIRMED and waited > (
            GUESS_TIMEOUT_S * TICKS_PER_S
        )

    def _handover_expired(self, flow: Flow, tick: int) -> bool:
        """Returns whether a draining relay may end a handed-over flow.

        A session that its caller has closed is never answered on its new path,
        and its upstream may still send on the old path for a while. Waiting
        until the old path is silent would delay every planned stop. A caller
        that is still alive has sent its keep-alive to the new relay by now.
        """
        waited = tick - flow.received_tick
        return (
            self._draining
            and flow.state is FlowState.HANDED_OVER
            and waited > self._settings.drain_quiet_s * TICKS_PER_S
        )

    def _end(self, flow: Flow, now: float) -> None:
        if flow.state is not FlowState.HANDED_OVER:
            self._record_exchange.delete_record(flow)
            self._dispatcher.on_flow_ended(
                flow.target.service, flow.target.name, now
            )
        self._table.end(flow, now)
        self._counters.add(c.FLOWS_ENDED)

    def _maintain(self, flow: Flow, now: float, tick: int) -> None:
        if flow.unanswered:
            self._repair(flow, now, tick)
        if self._draining:
            self._hand_over(flow)
            return
        if self._check_defaults:
            self._update_off_default(flow)
        if not flow.backup or self._check_backups:
            self._replicate(flow)

    def _hand_over(self, flow: Flow) -> None:
        owner = self._fleet.owner(flow.key)
        if owner is not None and owner.number != self._fleet.local.number:
            self._record_exchange.hand_over(flow, owner.number)

    def _update_off_default(self, flow: Flow) -> None:
        # A VM that does not know the flow sees only its port, which may belong
        # to another service by now.
        service = flow.listener.service.number
        default = self._dispatcher.default_endpoint(service, flow.key)
        computed = self._table.may_use_default(flow.listener)
        flow.off_default = not computed or (service, default) != (
            flow.target.service,
            flow.target.name,
        )

    def _replicate(self, flow: Flow) -> None:
        # The age counts up to the caller's latest packet. Only silence shows
        # that a flow has ended, and an ended flow needs no record.
        age_s = (flow.received_tick - flow.opened_tick) / TICKS_PER_S
        due = is_due(age_s, flow.off_default, self._settings.replicate_after_s)
        if not due and not self._check_backups:
            return
        key = flow.key
        if not due and self._fleet.owns(key):
            return
        backup = self._fleet.backup(key)
        if backup != flow.backup:
            self._record_exchange.replicate(flow, backup)

    def _endpoint_answers_others(self, flow: Flow, tick: int) -> bool:
        """Returns whether the endpoint answered other flows after this one."""
        last = flow.target.answered_tick
        fresh = tick - last < ENDPOINT_ALIVE_S * TICKS_PER_S
        return fresh and last > flow.answered_tick

    def _repair(self, flow: Flow, now: float, tick: int) -> None:
        silent = is_silent(
            flow.unanswered,
            (tick - flow.answered_tick) / TICKS_PER_S,
            (tick - flow.received_tick) / TICKS_PER_S,
            self._endpoint_answers_others(flow, tick),
        )
        if not silent or not self._repath_budget.take(now):
            return
        # The tick lies in the future, so that the flow counts as silent again
        # only after the retry interval.
        until = tick + int((MOVE_INTERVAL_S - SILENT_S) * TICKS_PER_S)
        if self._table.move(flow, flow.target, until, now, lost=True):
            self._counters.add(c.REPATHS, c.RepathReason.SILENT)
