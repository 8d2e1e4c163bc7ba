"""Routes a caller's packet to the relay that forwards its flow.

A caller's packet may reach any VM. A relay that does not know the flow sends
the packet to the flow's owner. An owner that does not know it either, because
it has just joined or has just replaced a dead VM, looks in its replicas,
queries the two VMs that may know the flow, and only then computes the default
endpoint. Each step is bounded, so that two VMs with different views of the
fleet cannot send a packet back and forth.
"""

import attrs

from pollenmast import counters as c
from pollenmast.admission import TokenBucket
from pollenmast.callers import LONG_HEADER
from pollenmast.decisions._fleet import Fleet
from pollenmast.decisions._ownership import Member
from pollenmast.peers._envelope import OpenedEnvelope
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    Forwarded,
    LookupResult,
    pack_forwarded,
    pack_lookup_result,
    unpack_forwarded,
    unpack_lookup_result,
)
from pollenmast.relay._custody import RecordExchange
from pollenmast.relay._directory import ConnectionIdDirectory
from pollenmast.relay._forwarder import FlowForwarder, IncomingDatagram
from pollenmast.relay._peer_sender import PeerSender
from pollenmast.relay._replicas import Replica

MAX_HOPS = 3
"""Limit on forwarding hops of one datagram between relays.

The fabric sends a datagram to any relay; it then passes the owner, the holder,
and one more relay while views of the fleet differ.
"""

QUERY_AFTER_CHANGE_S = 5.0
"""Time after a change of owners in which Initials are queried too, in seconds.

The second flight of a handshake is an Initial as well. If the new owner opened
a second flow for this Initial, the packet would reach an endpoint without that
handshake, and the caller would wait until its handshake times out. Handshakes
last some round trips, and heartbeats spread a change within about 2 s.
"""

QUERIES_PER_S = 5000.0
"""Limit on queries to other VMs per second.

Without it, a flood of packets of sessions that never existed would be
amplified threefold between the VMs. When one of 9 VMs with 200,000 flows dies,
each other VM has 25,000 flows to query, which takes 5 s at this rate. Sealing,
opening and parsing one such datagram takes 7 to 12 microseconds, as measured by
`python -m bench run capacity`, and a query is forwarded up to four times.
"""


class Routing:
    """Routes datagrams of unknown flows between relays."""

    def __init__(
        self,
        fleet: Fleet,
        forwarder: FlowForwarder,
        record_exchange: RecordExchange,
        connection_ids: ConnectionIdDirectory,
        peer_sender: PeerSender,
        counters: c.Counters,
    ):
        self._fleet = fleet
        self._forwarder = forwarder
        self._record_exchange = record_exchange
        self._connection_ids = connection_ids
        self._query_budget = TokenBucket(QUERIES_PER_S, QUERIES_PER_S)
        self._peer_sender = peer_sender
        self._counters = counters

    def route(self, datagram: IncomingDatagram, now: float) -> None:
        """Sends a datagram to its flow's relay, or handles it here."""
        replica = self._record_exchange.replicas.find(
            datagram.listener.service.port, datagram.caller
        )
        if replica is not None and self._route_by_replica(
            replica, datagram, now
        ):
            return
        owner = self._fleet.owner(datagram.key)
        if owner is None:
            self._forwarder.on_no_owner(datagram, now)
        elif self._owned_but_not_ready(owner, datagram, now):
            self._forward_to_successor(datagram, now)
        elif owner.number in (self._fleet.local.number, datagram.previous_hop):
            self._handle_as_owner(datagram, now)
        else:
            self._forward(owner.number, datagram, c.ForwardReason.OWNER)

    def _owned_but_not_ready(
        self, owner: Member, datagram: IncomingDatagram, now: float
    ) -> bool:
        """Returns whether this VM owns a new flow but may not open it."""
        own = owner.number == self._fleet.local.number
        return own and datagram.is_initial and not self._forwarder.ready(now)

    def _forward_to_successor(
        self, datagram: IncomingDatagram, now: float
    ) -> None:
        """Forwards a new flow to the VM that would own it without this one.

        This VM's view of the fleet is stale: its agent is gone, or the relay
        has just started or woken. If the relay dropped the flow's first packet,
        the caller would send it again only after a second. This would repeat
        whenever the fabric picks this VM, or another VM still takes this VM for
        the owner. The successor opens the flow because the datagram comes from
        the VM that the successor takes for the owner.
        """
        successor = self._fleet.successor(datagram.key)
        if successor is None:
            self._handle_as_owner(datagram, now)
        else:
            reason = c.ForwardReason.NOT_READY
            self._forward(successor.number, datagram, reason)

    def _route_by_replica(
        self, replica: Replica, datagram: IncomingDatagram, now: float
    ) -> bool:
        """Forwards a datagram to its holder, or adopts a dead holder's flow."""
        if self._fleet.has_relay(replica.holder):
            if replica.holder == datagram.previous_hop:
                return False
            self._forward(replica.holder, datagram, c.ForwardReason.HOLDER)
            return True
        if not self._fleet.owns(datagram.key):
            return False
        return self._adopt(replica, datagram, now)

    def _adopt(
        self, replica: Replica, datagram: IncomingDatagram, now: float
    ) -> bool:
        flow = self._forwarder.adopt(
            datagram.listener,
            datagram.caller,
            replica.endpoint,
            c.RepathReason.ADOPTED,
            now,
        )
        if flow is None:
            return False
        port = datagram.listener.service.port
        self._record_exchange.replicas.drop(port, datagram.caller)
        self._forwarder.forward_to_upstream(flow, datagram.data, now)
        return True

    def _handle_as_owner(self, datagram: IncomingDatagram, now: float) -> None:
        recent = now - self._fleet.changed_at < QUERY_AFTER_CHANGE_S
        if datagram.is_initial and not recent:
            self._forwarder.open(datagram, now)
            return
        # The VM that forwarded the packet is not queried: it does not know the
        # flow, or has no relay.
        asked = self._fleet.lookup_targets(
            datagram.key, excluded=datagram.previous_hop
        )
        if asked and not self._query_budget.take(now):
            self._counters.add(c.DROPS, c.DropReason.UNKNOWN_FLOW)
            return
        if not asked:
            self._handle_unknown_flow(datagram, now)
            return
        forwarded = _forwarded(
            datagram,
            hops=1,
            requester=self._fleet.local.number,
            next_candidate=asked[1] if len(asked) > 1 else 0,
        )
        self._counters.add(c.FORWARDS, c.ForwardReason.ASK)
        self._peer_sender.send(
            asked[0], MessageType.FLOW_LOOKUP, pack_forwarded(forwarded)
        )

    def _handle_unknown_flow(
        self, datagram: IncomingDatagram, now: float
    ) -> None:
        """Handles a flow that no VM knows: new, or lost with its holder."""
        if datagram.is_initial:
            self._forwarder.open(datagram, now)
        elif not self._connection_ids.search(datagram, now):
            self._forwarder.forward_to_default(datagram, now)

    def _forward(
        self, vm: int, datagram: IncomingDatagram, reason: c.ForwardReason
    ) -> None:
        if datagram.hops >= MAX_HOPS:
            self._counters.add(c.DROPS, c.DropReason.TOO_MANY_HOPS)
            return
        self._counters.add(c.FORWARDS, reason)
        body = pack_forwarded(_forwarded(datagram, hops=datagram.hops + 1))
        self._peer_sender.send(vm, MessageType.FORWARD, body)

    def on_forward(self, opened: OpenedEnvelope, now: float) -> None:
        """Handles a datagram that another relay forwarded."""
        # If an agent forwarded the datagram in place of its relay, nothing may
        # be sent back to that VM. This VM may not know yet that the relay is
        # gone.
        previous_hop = self._fleet.sending_vm(opened.sender)
        datagram = self._read(self._unpack(opened), previous_hop)
        if datagram is not None:
            self._forwarder.on_datagram(datagram, now)

    def on_flow_lookup(self, opened: OpenedEnvelope, now: float) -> None:
        """Forwards a queried datagram to its flow, or queries the next VM."""
        forwarded = self._unpack(opened)
        if forwarded is None:
            return
        caller = (forwarded.ip, forwarded.port)
        listener = self._forwarder.table.listener_at(forwarded.service_port)
        flow = listener.flows.get(caller) if listener else None
        if flow is not None:
            self._forwarder.forward_to_upstream(flow, forwarded.data, now)
            self._record_exchange.replicate_to_requester(
                flow, forwarded.requester
            )
            return
        replica = self._record_exchange.replicas.find(
            forwarded.service_port, caller
        )
        if replica is not None:
            self._answer_from_replica(replica, forwarded)
            return
        self._ask_next(forwarded)

    def _answer_from_replica(
        self, replica: Replica, forwarded: Forwarded
    ) -> None:
        # A holder that queries has lost the flow: its relay was restarted.
        lost = replica.holder == forwarded.requester
        if self._fleet.has_relay(replica.holder) and not lost:
            passed = attrs.evolve(
                forwarded, requester=0, next_candidate=0, hops=2
            )
            self._counters.add(c.FORWARDS, c.ForwardReason.HOLDER)
            body = pack_forwarded(passed)
            self._peer_sender.send(replica.holder, MessageType.FORWARD, body)
            return
        self._counters.add(c.FORWARDS, c.ForwardReason.RETURNED)
        found = pack_lookup_result(
            LookupResult(replica.endpoint, False, forwarded)
        )
        self._peer_sender.send(
            forwarded.requester, MessageType.LOOKUP_RESULT, found
        )

    def _ask_next(self, forwarded: Forwarded) -> None:
        if self._may_be_for_previous_service(forwarded):
            self._counters.add(c.DROPS, c.DropReason.UNKNOWN_FLOW)
            return
        next_vm = forwarded.next_candidate
        if next_vm and self._fleet.has_relay(next_vm):
            self._counters.add(c.FORWARDS, c.ForwardReason.ASK)
            body = pack_forwarded(attrs.evolve(forwarded, next_candidate=0))
            self._peer_sender.send(next_vm, MessageType.FLOW_LOOKUP, body)
            return
        self._counters.add(c.FORWARDS, c.ForwardReason.RETURNED)
        body = pack_forwarded(forwarded)
        self._peer_sender.send(
            forwarded.requester, MessageType.FLOW_NOT_FOUND, body
        )

    def on_connection_id_lookup(
        self, opened: OpenedEnvelope, now: float
    ) -> None:
        """Answers a query for the connection id in a datagram."""
        del now
        forwarded = self._unpack(opened)
        if forwarded is not None:
            self._connection_ids.answer_query(forwarded)

    def on_lookup_result(self, opened: OpenedEnvelope, now: float) -> None:
        """Forwards a datagram whose endpoint another VM has found."""
        unpacked = unpack_lookup_result(opened.body)
        if unpacked.is_err():
            self._counters.add(c.ENVELOPE_FAULTS, unpacked.unwrap_err())
            return
        found = unpacked.unwrap()
        datagram = self._read(found.forwarded, opened.sender)
        if datagram is None:
            return
        flow = datagram.listener.flows.get(datagram.caller)
        if flow is None:
            moved = found.caller_moved
            reasons = c.RepathReason
            flow = self._forwarder.adopt(
                datagram.listener,
                datagram.caller,
                found.endpoint,
                reasons.CALLER_MOVED if moved else reasons.ADOPTED,
                now,
            )
        if flow is not None:
            self._forwarder.forward_to_upstream(flow, datagram.data, now)

    def on_connection_id_not_found(
        self, opened: OpenedEnvelope, now: float
    ) -> None:
        """Handles a datagram whose connection id no VM has stored."""
        datagram = self._read(self._unpack(opened), opened.sender)
        if datagram is None:
            return
        flow = datagram.listener.flows.get(datagram.caller)
        if flow is None:
            self._forwarder.forward_to_default(datagram, now)
        else:
            self._forwarder.forward_to_upstream(flow, datagram.data, now)

    def _may_be_for_previous_service(self, forwarded: Forwarded) -> bool:
        """Returns whether a packet may be for the port's previous service.

        The VM that asks may have joined after the port was reassigned, and
        would forward the packet to the default endpoint of the new service.
        """
        table = self._forwarder.table
        listener = table.listener_at(forwarded.service_port)
        in_session = not forwarded.data or not forwarded.data[0] & LONG_HEADER
        return in_session and (
            listener is not None and not table.may_use_default(listener)
        )

    def on_flow_not_found(self, opened: OpenedEnvelope, now: float) -> None:
        """Handles the return of a datagram whose flow no queried VM knows."""
        forwarded = self._unpack(opened)
        datagram = self._read(forwarded, opened.sender)
        if datagram is None:
            return
        flow = datagram.listener.flows.get(datagram.caller)
        if flow is not None:
            self._forwarder.forward_to_upstream(flow, datagram.data, now)
            return
        self._handle_unknown_flow(datagram, now)

    def _read(
        self, forwarded: Forwarded | None, sender: int
    ) -> IncomingDatagram | None:
        if forwarded is None:
            return None
        listener = self._forwarder.table.listener_at(forwarded.service_port)
        if listener is None:
            self._counters.add(c.DROPS, c.DropReason.UNKNOWN_SERVICE)
            return None
        caller = (forwarded.ip, forwarded.port)
        return self._forwarder.read(
            listener, caller, forwarded.data, forwarded.hops, sender
        )

    def _unpack(self, opened: OpenedEnvelope) -> Forwarded | None:
        unpacked = unpack_forwarded(opened.body)
        if unpacked.is_err():
            self._counters.add(c.ENVELOPE_FAULTS, unpacked.unwrap_err())
            return None
        return unpacked.unwrap()


def _forwarded(
    datagram: IncomingDatagram,
    hops: int,
    requester: int = 0,
    next_candidate: int = 0,
) -> Forwarded:
    ip, port = datagram.caller
    return Forwarded(
        datagram.listener.service.port,
        ip,
        port,
        hops,
        datagram.data,
        requester,
        next_candidate,
    )
