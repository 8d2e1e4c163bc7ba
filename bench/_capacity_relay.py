"""Linear fits of the costs of a relay."""

import time
import tracemalloc

from bench import _relay, packet_path, replication
from bench._slopes import Slope
from pollenmast import counters as c
from pollenmast.decisions._ownership import flow_hash
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    ConnectionId,
    FlowRecord,
    Forwarded,
    pack_connection_ids,
    pack_forwarded,
    pack_records,
    unpack_forwarded,
)
from pollenmast.relay._replicas import Replicas
from standins.memory import Net

_REPEATS = 3
_MESSAGES = 3_000
_FLOW_SIZES = (10_000, 50_000, 100_000)
_RECORD_SIZES = (10_000, 50_000, 100_000)
_DATAGRAM_SIZES = (100, 600, 1200)
_BATCH_SIZES = (1, 8, 32, 64)
_NEW_FLOW_RATES = (20, 60, 120)
_HANDOVER_FLOWS = (50, 100, 200)
_UPKEEP_TICKS = 200
_UDP_BYTES = 28
"""Bytes of the IPv4 and UDP headers of a datagram."""


def flow_memory(at_size: float) -> Slope:
    """Returns the memory of the flow table."""
    points = []
    for size in _FLOW_SIZES:
        tracemalloc.start()
        core = _relay.core(
            packet_path._NullTransport(), _relay.manifest(200), 100.0
        )
        before = tracemalloc.get_traced_memory()[0]
        _fill_table(core, size)
        held = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        points.append((size, held / 1e6))
    return Slope("flow table", "MB", "flows", tuple(points), at_size)


def _fill_table(core, size: int) -> None:
    targets = core.table.targets
    for number, caller in enumerate(packet_path._callers(size)):
        target = targets[number % len(targets)]
        packet_path._open_flow(core, caller, target, 100.0)


def upkeep_cost(at_size: float) -> Slope:
    """Returns the CPU share of the periodic scan over the flow table."""
    points = []
    for size in _FLOW_SIZES:
        core = _relay.core(
            packet_path._NullTransport(), _relay.manifest(200), 100.0
        )
        _fill_table(core, size)
        now = 100.0
        start = time.process_time()
        for _ in range(_UPKEEP_TICKS):
            now += 0.02
            core._maintenance._recomputing = False
            core._maintenance._changes_seen = core.fleet.changes
            core._maintenance._defaults_changed = False
            core._maintenance.tick(now, int(now * 10))
        spent = time.process_time() - start
        points.append((size, spent / (_UPKEEP_TICKS * 0.02) * 100))
    return Slope(
        "walk over the flows", "% core", "flows", tuple(points), at_size
    )


def replica_memory(at_size: float) -> Slope:
    """Returns the memory of replicated records held for other VMs."""
    points = []
    for size in _RECORD_SIZES:
        callers = list(packet_path._callers(size))
        tracemalloc.start()
        replicas = Replicas()
        for ip, port in callers:
            replicas.keep(FlowRecord(1, ip, port, 7), 9)
        points.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
    return Slope("records kept", "MB", "records", tuple(points), at_size)


def new_flows(at_size: float) -> Slope:
    """Returns the CPU share of new flows, by flows per second."""
    per_s = packet_path._new_flows()["flows_per_s"]
    points = tuple((rate, rate / per_s * 100) for rate in (10, 41, 100))
    return Slope("new flows", "% core", "flows/s", points, at_size)


def forwarding(at_size: float) -> Slope:
    """Returns microseconds to seal, open and parse a forwarded datagram."""
    sealer, opener = Sealer("vm-1", _relay.KEY), Opener(_relay.KEY)
    points = []
    for size in _DATAGRAM_SIZES:
        forwarded = Forwarded(1, "10.0.0.1", 4000, 1, bytes(size))
        best = float("inf")
        for _ in range(_REPEATS):
            start = time.process_time()
            for _ in range(_MESSAGES):
                flow_hash(1, "10.0.0.1", 4000)
                data = sealer.seal(
                    MessageType.FORWARD, pack_forwarded(forwarded)
                )
                unpack_forwarded(opener.open(data, 0.0).unwrap().body)
            best = min(best, time.process_time() - start)
        points.append((size, best / _MESSAGES * 1e6))
    return Slope(
        "a forwarded datagram, both relays",
        "us",
        "bytes",
        tuple(points),
        at_size,
    )


def record_bytes(at_size: float) -> Slope:
    """Returns the bytes of a batch of records and its acknowledgement."""
    sealer = Sealer("vm-1", _relay.KEY)
    points = []
    for count in _BATCH_SIZES:
        record = FlowRecord(1, "10.0.0.1", 4000, 7)
        body = b"\0\0\0\1" + pack_records([record] * count)
        sent = len(sealer.seal(MessageType.RECORDS, body)) + _UDP_BYTES
        ack = len(sealer.seal(MessageType.RECORDS_ACK, body[:4])) + _UDP_BYTES
        points.append((count, sent + ack))
    return Slope("a batch of records", "B", "records", tuple(points), at_size)


def connection_id_bytes(at_size: float) -> Slope:
    """Returns the bytes of a batch of connection ids."""
    sealer = Sealer("vm-1", _relay.KEY)
    points = []
    for count in _BATCH_SIZES:
        body = pack_connection_ids([ConnectionId(1, 2, 3)] * count)
        sealed = sealer.seal(MessageType.CONNECTION_IDS, body)
        points.append((count, len(sealed) + _UDP_BYTES))
    return Slope(
        "a batch of connection ids", "B", "ids", tuple(points), at_size
    )


def replication_bytes(at_size: float) -> Slope:
    """Returns replication bytes per second, by new flows per second per VM."""
    points = []
    for rate in _NEW_FLOW_RATES:
        row = replication.run_one(1.0, rate)
        points.append((rate / replication.VMS, row["bytes_per_s_a_vm"]))
    return Slope(
        "replication", "B/s", "new flows/s a VM", tuple(points), at_size
    )


def handover_bytes(at_size: float) -> Slope:
    """Returns the bytes sent by a planned stop, by flows handed over."""
    points = []
    for flows in _HANDOVER_FLOWS:
        net = Net(vms=9, seed=5)
        tags = [f"h{number}" for number in range(flows * 9)]
        for tag in tags:
            net.open(tag)
        net.keep_alive(tags, 4.0)
        core = net.relays[1]
        held = core.table.flows
        before = core.counters.value(c.CONTROL_BYTES, "replication")
        net.declare_leaving(1)
        net.advance(2.0)
        sent = core.counters.value(c.CONTROL_BYTES, "replication") - before
        points.append((held, sent))
    return Slope("a planned stop", "B", "flows held", tuple(points), at_size)
