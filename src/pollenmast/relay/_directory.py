"""Distributed map from QUIC connection ids to endpoints.

A NAT may rebind a caller to another address in mid-session. This changes the
flow's key and its owner, and the old endpoint can no longer be computed from
the address; the caller's session would hang until it times out. The connection
id that the endpoint chose stays the same and is in every packet of the caller.

Therefore two VMs, found by hashing the connection id, store its endpoint. A
relay that receives a packet of an unknown flow queries them and opens a second
flow to the same endpoint. The first flow is left unchanged, so a forged packet
with a recorded connection id takes nothing from the caller: QUIC itself
validates the new path (RFC 9000 section 9.3).

The directory does not help if the caller has switched to another connection id
(a deliberate migration, whose id was sent under encryption), if the endpoint
uses ids of fewer than eight bytes, if the session is younger than the
replication age, or if both VMs that stored the id have died. Then the default
endpoint is tried.
"""

import struct

from pollenmast import counters as c
from pollenmast.callers import PacketType, parse_packet
from pollenmast.decisions._fleet import Fleet
from pollenmast.decisions._ownership import connection_id_hash
from pollenmast.manifest import ServiceKind
from pollenmast.peers._envelope import OpenedEnvelope
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    MAX_RECORDS_PER_MESSAGE,
    ConnectionId,
    Forwarded,
    LookupResult,
    pack_connection_ids,
    pack_forwarded,
    pack_lookup_result,
    unpack_connection_ids,
)
from pollenmast.relay._flows import TICKS_PER_S, Flow
from pollenmast.relay._forwarder import FlowForwarder, IncomingDatagram
from pollenmast.relay._peer_sender import PeerSender

CID_BYTES = 8
"""Number of connection id bytes that are read.

Common libraries choose ids of this length; the first eight bytes of longer
ones distinguish them as well.
"""

MAX_ENTRIES = 200_000
"""Limit on stored connection ids; the oldest are evicted.

Twice the sessions of a VM at the load expected in two years, with each id
stored on two VMs. A full map takes 35 MB, as measured in a trial.
"""

SCAN_INTERVAL_TICKS = TICKS_PER_S // 2
"""Interval between scans of flows not yet published, in ticks."""

UNPUBLISHED_EXPIRY_TICKS = 60 * TICKS_PER_S
"""Age, in ticks, at which an unpublished flow counts as ended.

Its caller's latest packet came before the flow reached the replication age.
"""

_CID = struct.Struct("!Q")


class ConnectionIdDirectory:
    """The connection ids stored on this VM, and the lookup of others."""

    def __init__(
        self,
        fleet: Fleet,
        forwarder: FlowForwarder,
        peer_sender: PeerSender,
        publish_after_s: float,
        counters: c.Counters,
    ):
        self._fleet = fleet
        self._forwarder = forwarder
        self._peer_sender = peer_sender
        self._publish_after = int(publish_after_s * TICKS_PER_S)
        self._counters = counters
        self._last_scan = 0
        self._draining = False
        self._entries: dict[tuple[int, int], int] = {}
        self._unpublished: dict[Flow, int] = {}
        self._outgoing: dict[int, list[ConnectionId]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def read_connection_id(self, flow: Flow, data: bytes) -> None:
        """Reads the connection id in an endpoint's first answer."""
        if flow.listener.service.kind is not ServiceKind.SESSION:
            return
        packet = parse_packet(data)
        if packet.is_err() or packet.unwrap().type is PacketType.SHORT:
            return
        cid = packet.unwrap().source_cid
        if len(cid) >= CID_BYTES:
            self._unpublished[flow] = _CID.unpack_from(cid)[0]

    def publish(self, flow: Flow) -> None:
        """Stores the flow's connection id on its two VMs, once."""
        cid = self._unpublished.pop(flow, None)
        if cid is not None:
            port = flow.listener.service.port
            self._distribute(ConnectionId(port, cid, flow.target.number))

    def drain(self) -> None:
        """Schedules the hand-over of every entry, for a planned stop.

        The hand-over waits until the ring excludes this VM. Computed earlier,
        the new locations would be the old ones and still include this VM.
        """
        self._draining = True

    def _hand_over(self) -> None:
        self._draining = False
        for (port, cid), endpoint in list(self._entries.items()):
            self._distribute(ConnectionId(port, cid, endpoint))

    def tick(self, tick: int) -> None:
        """Publishes ids of flows past the replication age; sends the queue."""
        if tick - self._last_scan < SCAN_INTERVAL_TICKS:
            return
        self._last_scan = tick
        if self._draining and self._fleet.local not in self._fleet.owners:
            self._hand_over()
        for flow in list(self._unpublished):
            if flow.received_tick - flow.opened_tick >= self._publish_after:
                self.publish(flow)
            elif tick - flow.opened_tick > UNPUBLISHED_EXPIRY_TICKS:
                del self._unpublished[flow]
        self._send()

    def _send(self) -> None:
        for vm, entries in self._outgoing.items():
            for start in range(0, len(entries), MAX_RECORDS_PER_MESSAGE):
                body = pack_connection_ids(
                    entries[start : start + MAX_RECORDS_PER_MESSAGE]
                )
                self._counters.add(c.CONTROL_BYTES, "replication", len(body))
                self._peer_sender.send(vm, MessageType.CONNECTION_IDS, body)
        self._outgoing = {}

    def search(self, datagram: IncomingDatagram, now: float) -> bool:
        """Looks up the endpoint of a packet's connection id.

        Args:
            datagram: The datagram of an unknown flow.
            now: The runtime's clock, in seconds.

        Returns:
            Whether the datagram is handled: forwarded to its endpoint, or
            sent to another VM as part of the query.
        """
        cid = _cid_of(datagram)
        if cid is None:
            return False
        service_port = datagram.listener.service.port
        endpoint = self._entries.get((service_port, cid))
        if endpoint is not None:
            return self._adopt_moved_caller(datagram, endpoint, now)
        asked = self._remote_holders(service_port, cid)
        if not asked:
            return False
        ip, port = datagram.caller
        forwarded = Forwarded(
            service_port,
            ip,
            port,
            1,
            datagram.data,
            self._fleet.local.number,
            asked[1] if len(asked) > 1 else 0,
        )
        self._counters.add(c.FORWARDS, c.ForwardReason.ASK)
        self._peer_sender.send(
            asked[0],
            MessageType.CONNECTION_ID_LOOKUP,
            pack_forwarded(forwarded),
        )
        return True

    def on_entries(self, opened: OpenedEnvelope, now: float) -> None:
        """Stores connection ids that another relay has published."""
        del now
        entries = unpack_connection_ids(opened.body)
        if entries.is_err():
            self._counters.add(c.ENVELOPE_FAULTS, entries.unwrap_err())
            return
        for entry in entries.unwrap():
            self._store(entry)

    def answer_query(self, forwarded: Forwarded) -> None:
        """Answers a query for a connection id, or asks the next VM."""
        cid = _read_cid(forwarded.data)
        endpoint = self._entries.get((forwarded.service_port, cid))
        next_vm = forwarded.next_candidate
        if endpoint is not None:
            found = pack_lookup_result(LookupResult(endpoint, True, forwarded))
            self._peer_sender.send(
                forwarded.requester, MessageType.LOOKUP_RESULT, found
            )
        elif next_vm and self._fleet.has_relay(next_vm):
            body = pack_forwarded(
                Forwarded(
                    forwarded.service_port,
                    forwarded.ip,
                    forwarded.port,
                    forwarded.hops,
                    forwarded.data,
                    forwarded.requester,
                )
            )
            self._peer_sender.send(
                next_vm, MessageType.CONNECTION_ID_LOOKUP, body
            )
        else:
            body = pack_forwarded(forwarded)
            self._peer_sender.send(
                forwarded.requester, MessageType.CONNECTION_ID_NOT_FOUND, body
            )

    def _adopt_moved_caller(
        self, datagram: IncomingDatagram, endpoint: int, now: float
    ) -> bool:
        flow = self._forwarder.adopt(
            datagram.listener,
            datagram.caller,
            endpoint,
            c.RepathReason.CALLER_MOVED,
            now,
        )
        if flow is None:
            return False
        self._forwarder.forward_to_upstream(flow, datagram.data, now)
        return True

    def _distribute(self, entry: ConnectionId) -> None:
        key = connection_id_hash(entry.service_port, entry.cid)
        for holder in self._fleet.connection_id_holders(key):
            if holder == self._fleet.local.number:
                self._store(entry)
            else:
                self._outgoing.setdefault(holder, []).append(entry)

    def _store(self, entry: ConnectionId) -> None:
        key = (entry.service_port, entry.cid)
        if len(self._entries) >= MAX_ENTRIES and key not in self._entries:
            del self._entries[next(iter(self._entries))]
        self._entries[key] = entry.endpoint

    def _remote_holders(self, service_port: int, cid: int) -> list[int]:
        holders = self._fleet.connection_id_holders(
            connection_id_hash(service_port, cid)
        )
        return [
            number for number in holders if number != self._fleet.local.number
        ]


def _cid_of(datagram: IncomingDatagram) -> int | None:
    if datagram.packet.type is not PacketType.SHORT:
        return None
    if datagram.listener.service.kind is not ServiceKind.SESSION:
        return None
    return _read_cid(datagram.data)


def _read_cid(data: bytes) -> int | None:
    """Returns the connection id in a short header, after its first byte."""
    if len(data) < 1 + CID_BYTES:
        return None
    return _CID.unpack_from(data, 1)[0]
