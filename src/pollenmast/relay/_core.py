"""The relay's logic without I/O.

Datagrams and the current time are passed in; datagrams go out through a
`Transport`. This lets tests run whole fleets of relays in memory.
"""

import random

from pollenmast import counters as c
from pollenmast import manifest as manifests
from pollenmast.callers import (
    LONG_HEADER,
    find_drop_reason,
    parse_packet,
    zero_early_data,
)
from pollenmast.decisions import Dispatcher
from pollenmast.decisions._fleet import Fleet
from pollenmast.peers import _messages as messages
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import endpoint_id
from pollenmast.relay._custody import RecordExchange
from pollenmast.relay._directory import ConnectionIdDirectory
from pollenmast.relay._endpoint_loads import EndpointLoads
from pollenmast.relay._flows import TICKS_PER_S, Flow, FlowState, Listener
from pollenmast.relay._forwarder import FlowForwarder, IncomingDatagram
from pollenmast.relay._history import Decision, History
from pollenmast.relay._openings import Openings
from pollenmast.relay._peer_sender import PeerSender
from pollenmast.relay._readiness import Readiness
from pollenmast.relay._routing import Routing
from pollenmast.relay._table import FlowTable, Transport
from pollenmast.relay._upkeep import FlowMaintenance
from pollenmast.settings import Settings

DRAINING_RETRY_AFTER_MS = 500
"""Retry delay, in ms, sent to callers that a draining relay refuses.

By then the other VMs know that this relay is leaving.
"""


class RelayCore(FlowForwarder):
    """The state and decisions of one relay; sockets and clock are outside."""

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        rng: random.Random,
        now: float,
    ):
        self.tick_now = int(now * TICKS_PER_S)
        self.counters = c.Counters()
        self._fleet = Fleet(settings.vm.name, settings.vm.zone)
        self._table = FlowTable(transport, settings.relay.most_flows)
        self._dispatcher = Dispatcher(settings.vm.zone, rng)
        self._history = History()
        self._openings = Openings(
            self._table, self._dispatcher, self.counters, self._history
        )
        key = settings.fleet.key
        self._opener = Opener(key, settings.fleet.previous_key)
        peer_sender = PeerSender(
            self._fleet, transport, Sealer(settings.vm.name, key), self.counters
        )
        age_s = settings.relay.replicate_after_s
        budget = settings.relay.replication_bytes_per_s
        self._record_exchange = RecordExchange(
            self._fleet, self, peer_sender, budget, self.counters
        )
        self._connection_ids = ConnectionIdDirectory(
            self._fleet, self, peer_sender, age_s, self.counters
        )
        self._routing = Routing(
            self._fleet,
            self,
            self._record_exchange,
            self._connection_ids,
            peer_sender,
            self.counters,
        )
        self._maintenance = FlowMaintenance(
            settings.relay,
            self._table,
            self._fleet,
            self._record_exchange,
            self._dispatcher,
            self.counters,
        )
        self._manifest: manifests.Manifest | None = None
        self._readiness = Readiness(now)
        self._loads = EndpointLoads(self._table, self._dispatcher)
        self._draining = False
        self._handlers = {
            MessageType.FORWARD: self._routing.on_forward,
            MessageType.FLOW_LOOKUP: self._routing.on_flow_lookup,
            MessageType.FLOW_NOT_FOUND: self._routing.on_flow_not_found,
            MessageType.CONNECTION_ID_LOOKUP: (
                self._routing.on_connection_id_lookup
            ),
            MessageType.LOOKUP_RESULT: self._routing.on_lookup_result,
            MessageType.CONNECTION_ID_NOT_FOUND: (
                self._routing.on_connection_id_not_found
            ),
            MessageType.CONNECTION_IDS: self._connection_ids.on_entries,
            MessageType.RECORDS: self._record_exchange.on_records,
            MessageType.RECORDS_ACK: (
                self._record_exchange.on_records_acknowledged
            ),
        }

    @property
    def table(self) -> FlowTable:
        """The flows that this relay forwards."""
        return self._table

    @property
    def fleet(self) -> Fleet:
        """The VMs of the fleet and which of them own flows."""
        return self._fleet

    @property
    def record_exchange(self) -> RecordExchange:
        """The flow records exchanged with other relays."""
        return self._record_exchange

    @property
    def connection_ids(self) -> ConnectionIdDirectory:
        """The connection ids stored on this VM."""
        return self._connection_ids

    @property
    def openings(self) -> Openings:
        """The flows whose handshake has not been answered yet."""
        return self._openings

    def ready(self, now: float) -> bool:
        """Returns whether this relay may open flows."""
        known = self._manifest is not None and not self._draining
        return known and self._readiness.is_fresh(now)

    def drained(self) -> bool:
        """Returns whether the drain is complete: no flow needs this relay."""
        return (
            self._draining
            and self._table.flows == 0
            and self._record_exchange.outbox.idle
        )

    # Datagrams from callers.

    def on_caller(
        self, listener: Listener, data: bytes, caller: tuple[str, int], now
    ) -> None:
        """Handles a caller's datagram that is not on the fast path."""
        flow = listener.flows.get(caller)
        if flow is not None:
            self.forward_to_upstream(flow, data, now)
            return
        datagram = self.read(listener, caller, data, 0, 0)
        if datagram is not None:
            self.on_datagram(datagram, now)

    def on_datagram(self, datagram: IncomingDatagram, now: float) -> None:
        """Handles a datagram from the fabric or from another relay."""
        flow = datagram.listener.flows.get(datagram.caller)
        if flow is not None:
            self.forward_to_upstream(flow, datagram.data, now)
            return
        opening = self._openings.find(datagram.listener, datagram.caller)
        if opening is None:
            self._routing.route(datagram, now)
            return
        idempotent = datagram.listener.service.idempotent
        data, early = self._without_early_data(idempotent, datagram.data)
        if data:
            self._openings.add_datagram(opening, data, early, now)

    def read(
        self,
        listener: Listener,
        caller: tuple[str, int],
        data: bytes,
        hops: int,
        previous_hop: int,
    ) -> IncomingDatagram | None:
        """Parses a caller's datagram.

        Args:
            listener: The service's port.
            caller: The caller's IP address and port.
            data: The datagram.
            hops: How many relays have forwarded it.
            previous_hop: Number of the VM that forwarded it, 0 for the fabric.

        Returns:
            The datagram, or None if it is not a valid packet and was dropped
            and counted.
        """
        packet = parse_packet(data)
        if packet.is_err():
            self.counters.add(c.DROPS, packet.unwrap_err())
            return None
        reason = find_drop_reason(packet.unwrap().type, len(data))
        if reason is not None:
            self.counters.add(c.DROPS, reason)
            return None
        return IncomingDatagram(
            listener, caller, packet.unwrap(), data, hops, previous_hop
        )

    def forward_to_upstream(self, flow: Flow, data: bytes, now: float) -> None:
        """Forwards a caller's datagram to the flow's upstream."""
        if not data:
            self.counters.add(c.DROPS, c.DropReason.EMPTY)
            return
        early = False
        if data[0] & LONG_HEADER:
            data, early = self._without_early_data(flow.target.idempotent, data)
            if not data:
                return
        if flow.state is FlowState.OPENING:
            opening = self._openings.find(flow.listener, flow.caller)
            if opening is not None:
                self._openings.add_datagram(opening, data, early, now)
        flow.received_tick = self.tick_now
        flow.unanswered += 1
        flow.path.send(data, flow.target.address)

    def _without_early_data(
        self, idempotent: bool, data: bytes
    ) -> tuple[bytes, bool]:
        """Returns what may be forwarded, and whether it contains 0-RTT."""
        stripped, found = zero_early_data(data)
        if not found:
            return data, False
        if idempotent:
            return data, True
        self.counters.add(c.DROPS, c.DropReason.EARLY_DATA, found)
        return (stripped if any(stripped) else b""), False

    # Datagrams from upstreams and from other relays.

    def on_first_answer(self, flow: Flow, data: bytes, now: float) -> None:
        """Handles the first datagram from the upstream on this path."""
        if flow.state is FlowState.OPENING:
            self._openings.on_answered(flow, now)
            self._connection_ids.read_connection_id(flow, data)
        elif flow.state in (FlowState.ADOPTED, FlowState.UNCONFIRMED):
            self._record_exchange.release_previous_relay(flow)
        if flow.state is not FlowState.HANDED_OVER:
            flow.state = FlowState.ESTABLISHED
            self._record_exchange.replicate_to_owner(flow)

    def on_peer(self, data: bytes, now: float) -> None:
        """Handles a sealed envelope from another relay."""
        opened = self._opener.open(data, now)
        if opened.is_err():
            self.counters.add(c.ENVELOPE_FAULTS, opened.unwrap_err())
            return
        envelope = opened.unwrap()
        handler = self._handlers.get(envelope.kind)
        if handler is None or envelope.sender == self._fleet.local.number:
            self.counters.add(c.ENVELOPE_FAULTS, c.EnvelopeFault.MALFORMED)
            return
        handler(envelope, now)

    # The interface used by routing, record exchange and directory.

    def open(self, datagram: IncomingDatagram, now: float) -> None:
        """Places, holds or refuses a new flow."""
        if not self.ready(now):
            self.counters.add(c.DROPS, c.DropReason.NOT_READY)
            return
        if self._table.in_quarantine(datagram.listener, now):
            self.counters.add(c.DROPS, c.DropReason.PORT_REUSED)
            return
        idempotent = datagram.listener.service.idempotent
        data, early = self._without_early_data(idempotent, datagram.data)
        self._openings.begin(datagram, data, early, now)

    def on_no_owner(self, datagram: IncomingDatagram, now: float) -> None:
        """Refuses a new flow if this relay drains and knows no other VM."""
        del now
        if datagram.is_initial and self._draining:
            self._openings.refuse_draining(datagram, DRAINING_RETRY_AFTER_MS)
            return
        self.counters.add(c.DROPS, c.DropReason.NO_OWNER)

    def forward_to_default(
        self, datagram: IncomingDatagram, now: float
    ) -> None:
        """Forwards an unknown flow in progress to its default endpoint."""
        number = datagram.listener.service.number
        name = self._dispatcher.default_endpoint(number, datagram.key)
        if name is None or not self._table.may_use_default(datagram.listener):
            self.counters.add(c.DROPS, c.DropReason.UNKNOWN_FLOW)
            return
        flow = self._adopt(
            datagram.listener,
            datagram.caller,
            endpoint_id(number, name),
            FlowState.UNCONFIRMED,
            now,
        )
        if flow is None:
            self.counters.add(c.DROPS, c.DropReason.FLOW_TABLE_FULL)
            return
        self.counters.add(c.FALLBACKS)
        self.forward_to_upstream(flow, datagram.data, now)

    def adopt(
        self,
        listener: Listener,
        caller: tuple[str, int],
        endpoint: int,
        reason: c.RepathReason,
        now: float,
    ) -> Flow | None:
        """Takes over a flow; returns None if it cannot be forwarded here."""
        flow = self._adopt(listener, caller, endpoint, FlowState.ADOPTED, now)
        if flow is not None:
            self.counters.add(c.REPATHS, reason)
            service = listener.service.name
            text = f"taken over, {reason.value}"
            self._history.add(
                Decision(now, caller, service, flow.target.name, text)
            )
        return flow

    def _adopt(
        self,
        listener: Listener,
        caller: tuple[str, int],
        endpoint: int,
        state: FlowState,
        now: float,
    ) -> Flow | None:
        target = self._table.target(endpoint)
        if target is None:
            return None
        flow = self._table.open(
            listener, caller, target, state, self.tick_now, now
        )
        if flow is not None:
            flow.off_default = state is FlowState.ADOPTED
            self._dispatcher.on_taken_over(target.service, target.name)
        return flow

    def release(self, flow: Flow, now: float) -> None:
        """Leaves a flow to another relay.

        Late answers on the old path are still forwarded to the caller.
        """
        target = flow.target
        self._connection_ids.publish(flow)
        self._dispatcher.on_flow_ended(target.service, target.name, now)
        self._table.release(flow)
        flow.received_tick = self.tick_now

    # Input from the agent and the clock.

    def on_view(self, view: messages.FleetView, now: float) -> None:
        """Applies the agent's view of the fleet."""
        if view.manifest is not None:
            self._take_manifest(view.manifest, now)
        self._table.maintain_ports(now)
        self._fleet.update(view.vms, now)
        self._dispatcher.set_fleet(max(1, len(self._fleet.owners)))
        for report in view.reports:
            self._dispatcher.on_report(report, now)
        if self._readiness.on_view(view, self._manifest, now):
            # While this relay's view was stale, other VMs may have opened
            # flows that it owns. Opened a second time here, these flows could
            # reach an endpoint without their handshake state and hang.
            self._fleet.record_absence(now)

    def _take_manifest(self, data: bytes, now: float) -> None:
        parsed = manifests.parse(data)
        if parsed.is_err():
            self.counters.add(c.MANIFESTS, c.ManifestOutcome.INVALID)
            return
        manifest = parsed.unwrap()
        if self._manifest and manifest.key < self._manifest.key:
            self.counters.add(c.MANIFESTS, c.ManifestOutcome.OLDER)
            return
        self._manifest = manifest
        self._dispatcher.set_manifest(manifest, now)
        self._maintenance.on_manifest()
        self.counters.add(c.MANIFESTS, c.ManifestOutcome.ACCEPTED)
        self._table.set_manifest(manifest, now)

    def drain(self) -> None:
        """Starts a drain: opens no new flows and hands over all others."""
        if not self._draining:
            self._draining = True
            self._maintenance.drain()
            self._connection_ids.drain()

    def tick(self, now: float) -> None:
        """Runs all timed work; called every 20 ms."""
        self._readiness.on_tick(now)
        self.tick_now = int(now * TICKS_PER_S)
        self._openings.tick(now)
        self._maintenance.tick(now, self.tick_now)
        self._record_exchange.tick(now, urgent=self._draining)
        self._connection_ids.tick(self.tick_now)

    def report(self, now: float) -> messages.RelayReport:
        """Returns the report that is sent to the agent twice a second."""
        manifest = self._manifest
        return messages.RelayReport(
            version=manifest.version if manifest else 0,
            digest=manifest.digest if manifest else "",
            ready=self.ready(now),
            draining=self._draining,
            drained=self.drained(),
            flows=self._table.flows - self._table.moved,
            held=self._openings.held,
            replicas=len(self._record_exchange.replicas),
            counters=tuple(
                messages.CounterValue(*item) for item in self.counters.items()
            ),
            endpoints=self._loads.take_due(now),
            wake=self._readiness.wake,
        )

    def explain(
        self, query: messages.ExplainQuery, now: float
    ) -> messages.ExplainAnswer:
        """Returns recent decisions about a caller, service or endpoint."""
        lines = self._history.explain(query.subject, now)
        return messages.ExplainAnswer(query.identifier, lines)
