"""Walks the flow table in slices: ends, repairs and replicates flows.

One pass over 200,000 flows at once would hold up packets for a tenth of a
second, and callers would see it as jitter. A slice a tick does not.
"""

from pollenmast import counters as c
from pollenmast.decisions import Dispatcher
from pollenmast.decisions._fleet import Fleet
from pollenmast.decisions._replication import is_due
from pollenmast.decisions._silence import (
    BURST,
    NEXT_TRY_S,
    PER_SECOND,
    SILENT_S,
    is_silent,
)
from pollenmast.decisions._token_bucket import TokenBucket
from pollenmast.relay._custody import Custody
from pollenmast.relay._flows import TICKS_PER_S, Flow, FlowState
from pollenmast.relay._table import FlowTable
from pollenmast.settings import RelaySettings

SLICE = 2_000
"""Flows looked at in a tick of 20 ms: 200,000 flows in 2 s, at some percent of
a core (`python -m bench run capacity`)."""

PASS_S = 0.5
"""Least time from one pass to the next. What a pass looks for takes seconds to
come about; a small table need not be walked at every tick."""

CHECKED_SLICE = 200
"""The same while each flow's owner or default is computed anew, after a change
of members or of the manifest, which takes many times as long a flow."""

GUESS_S = 5.0
"""Time in which the default endpoint must answer for a flow that was guessed;
otherwise a flood of forged packets would fill the table."""

ENDPOINT_ALIVE_S = 2.0
"""How fresh an endpoint's answer to another flow must be to count."""


class Upkeep:
    """Everything about flows that time brings about."""

    def __init__(
        self,
        settings: RelaySettings,
        table: FlowTable,
        fleet: Fleet,
        custody: Custody,
        dispatcher: Dispatcher,
        counters: c.Counters,
    ):
        self._settings = settings
        self._table = table
        self._fleet = fleet
        self._custody = custody
        self._dispatcher = dispatcher
        self._counters = counters
        self._repaths = TokenBucket(PER_SECOND, BURST)
        self._pending: list[Flow] = []
        self._next_pass = 0.0
        self._changes_seen = 0
        self._check_backups = False
        self._new_defaults = False
        self._check_defaults = False
        self._checks = False
        self._draining = False

    def on_manifest(self) -> None:
        """From the next pass on, looks which flows left their default."""
        self._new_defaults = True

    def drain(self) -> None:
        """From the next pass on, hands every flow to its owner."""
        self._draining = True
        self._pending = []
        self._next_pass = 0.0

    def tick(self, now: float, tick: int) -> None:
        """Looks at the next slice of flows."""
        if not self._pending:
            if now < self._next_pass:
                return
            self._next_pass = now + PASS_S
            self._begin_pass()
        size = CHECKED_SLICE if self._checks else SLICE
        flows = self._pending[-size:]
        del self._pending[-size:]
        idle_since = tick - int(self._settings.idle_s * TICKS_PER_S)
        for flow in flows:
            # The flow that needs nothing: nearly every one, nearly always.
            if (
                flow.state is FlowState.CARRIED
                and not flow.unanswered
                and not flow.off_default
                and not self._checks
                and flow.heard > idle_since
            ):
                continue
            self._look_at(flow, now, tick, idle_since)

    def _begin_pass(self) -> None:
        self._pending = self._table.every_flow()
        self._check_backups = self._changes_seen != self._fleet.changes
        self._changes_seen = self._fleet.changes
        self._check_defaults = self._new_defaults
        self._new_defaults = False
        self._checks = (
            self._check_backups or self._check_defaults or self._draining
        )

    def _look_at(
        self, flow: Flow, now: float, tick: int, idle_since: int
    ) -> None:
        if flow.path.flows.get(flow.target.address) is not flow:
            return
        last = max(flow.heard, flow.answered)
        if (
            last < idle_since
            or self._unproved(flow, tick)
            or self._given_up(flow, tick)
        ):
            self._end(flow, now)
        elif flow.state in (FlowState.CARRIED, FlowState.ADOPTED):
            self._keep(flow, now, tick)

    def _unproved(self, flow: Flow, tick: int) -> bool:
        """Whether a guessed flow got no answer in time."""
        waited = tick - flow.opened
        return flow.state is FlowState.GUESSED and waited > (
            GUESS_S * TICKS_PER_S
        )

    def _given_up(self, flow: Flow, tick: int) -> bool:
        """Whether a leaving relay no longer waits for a flow handed over.

        A session that its caller has closed is never answered by its new
        path, and its upstream may go on sending by the old one for a while.
        Waiting for its silence would hold up every planned stop; a caller
        that lives has sent its keep-alive to the new relay by now.
        """
        waited = tick - flow.heard
        return (
            self._draining
            and flow.state is FlowState.MOVED
            and waited > self._settings.drain_quiet_s * TICKS_PER_S
        )

    def _end(self, flow: Flow, now: float) -> None:
        if flow.state is not FlowState.MOVED:
            self._custody.ended(flow)
            self._dispatcher.on_flow_ended(
                flow.target.service, flow.target.name, now
            )
        self._table.end(flow, now)
        self._counters.add(c.FLOWS_ENDED)

    def _keep(self, flow: Flow, now: float, tick: int) -> None:
        if flow.unanswered:
            self._repair(flow, now, tick)
        if self._draining:
            self._hand_over(flow)
            return
        if self._check_defaults:
            self._check_default(flow)
        if not flow.backup or self._check_backups:
            self._replicate(flow)

    def _hand_over(self, flow: Flow) -> None:
        owner = self._fleet.owner(flow.key)
        if owner is not None and owner.number != self._fleet.me.number:
            self._custody.hand_over(flow, owner.number)

    def _check_default(self, flow: Flow) -> None:
        # Who does not know the flow sees only its port, which may by now
        # belong to another service.
        service = flow.listener.service.number
        default = self._dispatcher.default_endpoint(service, flow.key)
        computed = self._table.may_guess(flow.listener)
        flow.off_default = not computed or (service, default) != (
            flow.target.service,
            flow.target.name,
        )

    def _replicate(self, flow: Flow) -> None:
        # Its age when its caller was last heard: a flow that has ended shows
        # only by its silence, and needs no record.
        age_s = (flow.heard - flow.opened) / TICKS_PER_S
        due = is_due(age_s, flow.off_default, self._settings.replicate_after_s)
        if not due and not self._check_backups:
            return
        key = flow.key
        if not due and self._fleet.owns(key):
            return
        backup = self._fleet.backup(key)
        if backup != flow.backup:
            self._custody.replicate(flow, backup)

    def _answers_others(self, flow: Flow, tick: int) -> bool:
        """Whether the endpoint has answered others since it answered this."""
        last = flow.target.answered
        fresh = tick - last < ENDPOINT_ALIVE_S * TICKS_PER_S
        return fresh and last > flow.answered

    def _repair(self, flow: Flow, now: float, tick: int) -> None:
        silent = is_silent(
            flow.unanswered,
            (tick - flow.answered) / TICKS_PER_S,
            (tick - flow.heard) / TICKS_PER_S,
            self._answers_others(flow, tick),
        )
        if not silent or not self._repaths.take(now):
            return
        # Dated ahead, so that the flow is found silent again only after the
        # time of the next try.
        until = tick + int((NEXT_TRY_S - SILENT_S) * TICKS_PER_S)
        if self._table.move(flow, flow.target, until, now, lost=True):
            self._counters.add(c.REPATHS, c.RepathReason.SILENT)
