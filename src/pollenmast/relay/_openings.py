"""Flows that are opening: placed, held, retried or refused.

Between a caller's first Initial and the upstream's first answer, nothing has
been forwarded that could carry a request, except for 0-RTT. Only in this time
may a flow be refused or retried at another endpoint.
"""

import attrs

from pollenmast import counters as c
from pollenmast.callers import Packet, encode_refusal
from pollenmast.decisions import (
    Dispatcher,
    FlowRequest,
    Held,
    Placed,
    Refused,
)
from pollenmast.peers._records import endpoint_id
from pollenmast.relay._flows import (
    TICKS_PER_S,
    Flow,
    FlowState,
    Listener,
    Target,
)
from pollenmast.relay._forwarder import IncomingDatagram
from pollenmast.relay._history import Decision, History
from pollenmast.relay._table import FlowTable

MAX_OPENINGS = 20_000
"""Limit on flows that are opening at a time.

At 41 new flows per second and up to 5 s for the answer, about 200 are usual,
so only a flood of half-open flows reaches the limit, and long before it does
harm. With four datagrams of 1,300 bytes each, memory stays near 100 MB in the
worst case.
"""

MAX_DATAGRAMS = 4
"""Number of first datagrams buffered for a hold or a retry.

An Initial with a large ClientHello may be split in two, and each part may be
sent again once.
"""

RETRY_AFTER_S = 0.3
"""Time without an answer before another endpoint is tried, in seconds.

A handshake answer takes a few ms here; callers' libraries retransmit after 0.3
to 1 s.
"""

OPENING_TIMEOUT_S = 5.0
"""Time without an answer after which an opening is abandoned, in seconds."""

HELD_CALLER_TIMEOUT_S = 1.2
"""Silence after which a held caller counts as gone, in seconds.

By RFC 9002 section 6.2 a caller sends its Initial again after 1 s at the
latest.
"""


@attrs.define
class Opening:
    """A flow between its first packet and the upstream's first answer.

    Attributes:
        request: The request to the dispatcher.
        listener: The service's port.
        caller: The caller's IP address and port.
        packet: The unencrypted header fields of the first Initial, needed to
            build a refusal.
        datagrams: The caller's datagrams so far, as forwarded.
        began_at: When the first datagram arrived, in seconds.
        heard_at: When the latest datagram arrived, in seconds.
        sent_at: When the datagrams were sent to the current endpoint, in
            seconds.
        flow: The flow, once it is placed.
        tried: Names of the endpoints tried.
        early_data: Whether 0-RTT was forwarded, which may carry a request.
    """

    request: FlowRequest
    listener: Listener
    caller: tuple[str, int]
    packet: Packet
    datagrams: list[bytes]
    began_at: float
    heard_at: float
    sent_at: float = 0.0
    flow: Flow | None = None
    tried: tuple[str, ...] = ()
    early_data: bool = False


class Openings:
    """All flows that are opening at this relay."""

    def __init__(
        self,
        table: FlowTable,
        dispatcher: Dispatcher,
        counters: c.Counters,
        history: History,
    ):
        self._table = table
        self._dispatcher = dispatcher
        self._counters = counters
        self._history = history
        self._by_caller: dict[tuple[int, tuple[str, int]], Opening] = {}
        self._by_ticket: dict[int, Opening] = {}
        self._ticket = 0

    def __len__(self) -> int:
        return len(self._by_ticket)

    @property
    def held(self) -> int:
        """Number of flows whose first packets are held."""
        return sum(each.flow is None for each in self._by_ticket.values())

    def find(
        self, listener: Listener, caller: tuple[str, int]
    ) -> Opening | None:
        """Returns the caller's opening flow, or None."""
        return self._by_caller.get((listener.service.port, caller))

    def add_datagram(
        self, opening: Opening, data: bytes, early_data: bool, now: float
    ) -> None:
        """Buffers a further datagram of an opening flow."""
        opening.heard_at = now
        opening.early_data = opening.early_data or early_data
        if len(opening.datagrams) < MAX_DATAGRAMS:
            opening.datagrams.append(data)

    def begin(
        self,
        datagram: IncomingDatagram,
        data: bytes,
        early_data: bool,
        now: float,
    ) -> None:
        """Asks the dispatcher to place a new flow and applies the outcome.

        Args:
            datagram: The caller's first datagram.
            data: The part of it that may be forwarded.
            early_data: Whether that part contains 0-RTT.
            now: The runtime's clock, in seconds.
        """
        if len(self._by_ticket) >= MAX_OPENINGS:
            self._counters.add(c.DROPS, c.DropReason.FLOW_TABLE_FULL)
            return
        self._ticket += 1
        service = datagram.listener.service.number
        request = FlowRequest(
            self._ticket, service, datagram.caller[0], datagram.key
        )
        opening = Opening(
            request,
            datagram.listener,
            datagram.caller,
            datagram.packet,
            [data],
            now,
            now,
            early_data=early_data,
        )
        self._add(opening)
        outcome = self._dispatcher.on_new_flow(request, now)
        if isinstance(outcome, Held):
            self._counters.add(c.FLOWS_HELD)
            return
        self._apply_outcome(opening, outcome, now)

    def refuse_draining(
        self, datagram: IncomingDatagram, retry_after_ms: int
    ) -> None:
        """Refuses a new flow, as this relay drains and knows no other VM."""
        self._counters.add(c.REFUSALS, c.RefusalReason.DRAINING)
        data = encode_refusal(datagram.packet, retry_after_ms)
        datagram.listener.send(data, datagram.caller)

    def on_answered(self, flow: Flow, now: float) -> None:
        """Handles the upstream's first answer, which ends the opening."""
        opening = self._by_caller.get((flow.listener.service.port, flow.caller))
        if opening is not None and opening.flow is flow:
            self._forget(opening)
        target = flow.target
        self._dispatcher.on_answered(target.service, target.name, now)

    def tick(self, now: float) -> None:
        """Places held flows and retries unanswered ones."""
        for released in self._dispatcher.release(now):
            opening = self._by_ticket.get(released.ticket)
            if opening is not None:
                self._apply_outcome(opening, released.outcome, now)
        for opening in list(self._by_ticket.values()):
            self._check_timeouts(opening, now)

    def _check_timeouts(self, opening: Opening, now: float) -> None:
        if opening.flow is None:
            if now - opening.heard_at > HELD_CALLER_TIMEOUT_S:
                self._counters.add(c.DROPS, c.DropReason.CALLER_SILENT)
                self._dispatcher.on_caller_gone(opening.request.ticket)
                self._forget(opening)
            return
        if now - opening.began_at > OPENING_TIMEOUT_S:
            self._abandon(opening, now)
        elif now - opening.sent_at > RETRY_AFTER_S and not opening.early_data:
            self._retry(opening, now)

    def _retry(self, opening: Opening, now: float) -> None:
        target = opening.flow.target
        opening.sent_at = now
        self._dispatcher.on_unanswered(target.service, target.name, now)
        outcome = self._dispatcher.retry(opening.request, opening.tried, now)
        if isinstance(outcome, Placed):
            self._counters.add(c.RETRIES, c.RetryReason.UNANSWERED)
            self._place(opening, outcome, now)
            return
        self._end_flow(opening, now)
        self._refuse(opening, outcome)

    def _apply_outcome(
        self, opening: Opening, outcome: Placed | Refused, now: float
    ) -> None:
        if isinstance(outcome, Refused):
            self._refuse(opening, outcome)
        else:
            self._place(opening, outcome, now)

    def _place(self, opening: Opening, placed: Placed, now: float) -> None:
        listener = opening.listener
        target = self._table.target(
            endpoint_id(listener.service.number, placed.endpoint)
        )
        if target is None or not self._connect(opening, target, now):
            self._end_flow(opening, now)
            refused = Refused(c.RefusalReason.FLOW_TABLE_FULL, 1000)
            self._refuse(opening, refused)
            return
        opening.tried = (*opening.tried, placed.endpoint)
        opening.sent_at = now
        opening.flow.off_default = (
            placed.off_default or not self._table.may_use_default(listener)
        )
        for data in opening.datagrams:
            opening.flow.path.send(data, target.address)
        self._log_decision(opening, placed.endpoint, placed.why, now)

    def _connect(self, opening: Opening, target: Target, now: float) -> bool:
        tick = int(now * TICKS_PER_S)
        if opening.flow is not None:
            self._dispatcher.on_flow_ended(
                target.service, opening.flow.target.name, now
            )
            return self._table.move(opening.flow, target, tick, now)
        opening.flow = self._table.open(
            opening.listener,
            opening.caller,
            target,
            FlowState.OPENING,
            tick,
            now,
        )
        if opening.flow is not None:
            self._counters.add(c.FLOWS_OPENED)
        return opening.flow is not None

    def _refuse(self, opening: Opening, refused: Refused) -> None:
        self._forget(opening)
        self._counters.add(c.REFUSALS, refused.reason)
        data = encode_refusal(opening.packet, refused.retry_after_ms)
        opening.listener.send(data, opening.caller)
        self._log_decision(
            opening,
            "",
            f"refused, {refused.reason.value}, "
            f"retry after {refused.retry_after_ms} ms",
            opening.heard_at,
        )

    def _abandon(self, opening: Opening, now: float) -> None:
        self._end_flow(opening, now)
        self._forget(opening)

    def _end_flow(self, opening: Opening, now: float) -> None:
        flow = opening.flow
        if flow is None:
            return
        self._dispatcher.on_flow_ended(
            flow.target.service, flow.target.name, now
        )
        self._table.end(flow, now)
        self._counters.add(c.FLOWS_ENDED)
        opening.flow = None

    def _add(self, opening: Opening) -> None:
        key = (opening.listener.service.port, opening.caller)
        self._by_caller[key] = opening
        self._by_ticket[opening.request.ticket] = opening

    def _forget(self, opening: Opening) -> None:
        key = (opening.listener.service.port, opening.caller)
        self._by_caller.pop(key, None)
        self._by_ticket.pop(opening.request.ticket, None)

    def _log_decision(
        self, opening: Opening, endpoint: str, text: str, now: float
    ) -> None:
        service = opening.listener.service.name
        self._history.add(
            Decision(now, opening.caller, service, endpoint, text)
        )
