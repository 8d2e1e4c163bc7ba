"""CPU cost of a packet at its owner, compared to a bare socket loop."""

import gc
import os
import resource
import socket
import time
import tracemalloc

import anyio
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from bench import _relay
from pollenmast.callers import encode_refusal, parse_packet
from pollenmast.events import EventLog
from pollenmast.relay._flows import FlowState, Listener
from pollenmast.relay._sockets import SocketTransport
from pollenmast.relay._table import Transport
from pollenmast.upstreams._paths import Path

NAME = "packet_path"
DESCRIPTION = "Processor time a packet, a new flow, a refusal; bytes a flow."

_PACKETS = 40_000
_BATCH = 50
_PAYLOAD = bytes([0x40]) + os.urandom(1199)
_REPEATS = 5
_NEW_FLOWS = 4_000
_FLOW_COUNTS = (10_000, 50_000, 100_000, 200_000)
_ENDPOINTS = 200


def _udp(address: str, port: int = 0) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
    sock.bind((address, port))
    sock.setblocking(False)
    return sock


def _drain_socket(sock: socket.socket) -> int:
    count = 0
    while True:
        try:
            sock.recv(9216)
        except BlockingIOError:
            return count
        count += 1


def _bare_loop_us(caller, middle, upstream) -> float:
    """Returns microseconds per packet of a bare recvfrom/sendto loop."""
    spent = 0.0
    to_middle, to_upstream = middle.getsockname(), upstream.getsockname()
    for _ in range(_PACKETS // _BATCH):
        for _ in range(_BATCH):
            caller.sendto(_PAYLOAD, to_middle)
        start = time.process_time()
        while True:
            try:
                data, _ = middle.recvfrom(9216)
            except BlockingIOError:
                break
            middle.sendto(data, to_upstream)
        spent += time.process_time() - start
        _drain_socket(upstream)
    return spent / _PACKETS * 1e6


def _to_upstream_us(caller, transport, core, upstream) -> float:
    """Returns microseconds per packet from the caller, at the flow's owner."""
    spent = 0.0
    to_relay = ("127.0.11.1", _relay.SERVICE_PORT)
    for _ in range(_PACKETS // _BATCH):
        for _ in range(_BATCH):
            caller.sendto(_PAYLOAD, to_relay)
        start = time.process_time()
        while transport.poll_once(core):
            pass
        spent += time.process_time() - start
        _drain_socket(upstream)
    return spent / _PACKETS * 1e6


def _to_caller_us(caller, transport, core, upstream, flow) -> float:
    """Returns microseconds per packet from the upstream to the caller."""
    spent = 0.0
    to_path = flow.path.sock.getsockname()
    for _ in range(_PACKETS // _BATCH):
        for _ in range(_BATCH):
            upstream.sendto(_PAYLOAD, to_path)
        start = time.process_time()
        while transport.poll_once(core):
            pass
        spent += time.process_time() - start
        _drain_socket(caller)
    return spent / _PACKETS * 1e6


def _initial() -> bytes:
    client = QuicConnection(
        configuration=QuicConfiguration(is_client=True, alpn_protocols=["x"])
    )
    client.connect(("127.0.0.1", 1), now=0.0)
    return client.datagrams_to_send(now=0.0)[0][0]


def _open_flow(core, caller: tuple[str, int], target, now: float):
    listener = core.table.listener(_relay.SERVICE)
    return core.table.open(
        listener, caller, target, FlowState.ESTABLISHED, core.tick_now, now
    )


def _callers(count: int):
    for number in range(count):
        host = number // 4
        ip = f"10.{host >> 16 & 255}.{host >> 8 & 255}.{host & 255}"
        yield ip, 1024 + number % 60000


def _per_packet_costs() -> dict:
    transport = SocketTransport("127.0.11.1", 7001, EventLog("bench", "vm-1"))
    upstream = _udp("127.0.12.1", 20001)
    caller = _udp("127.0.14.1")
    middle = _udp("127.0.11.2")
    core = _relay.core(transport, _relay.manifest(1), anyio.current_time())
    target = core.table.targets[0]
    flow = _open_flow(core, caller.getsockname(), target, 0.0)
    rounds = [
        (
            _bare_loop_us(caller, middle, upstream),
            _to_upstream_us(caller, transport, core, upstream),
            _to_caller_us(caller, transport, core, upstream, flow),
        )
        for _ in range(_REPEATS)
    ]
    bare, owner, back = (min(column) for column in zip(*rounds, strict=True))
    for sock in (caller, middle, upstream):
        sock.close()
    core.table.close()
    transport.close()
    return {
        "bare_us": bare,
        "owner_us": owner,
        "ratio_to_upstream": owner / bare,
        "ratio_to_caller": back / bare,
    }


class _NullListener(Listener):
    """Listener that discards datagrams, to measure without system calls."""

    def send(self, data, caller):
        """Discards a datagram."""

    def close(self):
        """Does nothing."""


class _NullPath(Path):
    """Path that discards datagrams."""

    def send(self, data, upstream):
        """Discards a datagram."""

    def close(self):
        """Does nothing."""


class _NullTransport(Transport):
    """Transport without sockets."""

    def open_listener(self, service):
        """Returns a listener that discards datagrams."""
        return _NullListener(service)

    def open_path(self):
        """Returns a path that discards datagrams."""
        return _NullPath()

    def send_peer(self, data, address):
        """Discards an envelope."""


def _new_flows() -> dict:
    core = _relay.core(_NullTransport(), _relay.manifest(20), 100.0)
    listener = core.table.listener(_relay.SERVICE)
    initial = _initial()
    callers = list(_callers(_NEW_FLOWS))
    start = time.process_time()
    for caller in callers:
        core.on_caller(listener, initial, caller, 102.0)
    spent = time.process_time() - start
    opened = sum(target.flows for target in core.table.targets)
    packet = parse_packet(initial).unwrap()
    start = time.process_time()
    for _ in range(2_000):
        encode_refusal(packet, 1500)
    refused = time.process_time() - start
    return {
        "opened": opened,
        "offered": _NEW_FLOWS,
        "flows_per_s": _NEW_FLOWS / spent,
        "refusal_us": refused / 2_000 * 1e6,
        "refusal_bytes": len(encode_refusal(packet, 1500)),
    }


def _table_growth() -> list[dict]:
    rows = []
    for size in _FLOW_COUNTS:
        gc.collect()
        tracemalloc.start()
        core = _relay.core(_NullTransport(), _relay.manifest(_ENDPOINTS), 100.0)
        targets = core.table.targets
        before = tracemalloc.get_traced_memory()[0]
        for number, caller in enumerate(_callers(size)):
            _open_flow(core, caller, targets[number % _ENDPOINTS], 100.0)
        held = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        rows.append(
            {
                "flows": size,
                "bytes_a_flow": held / size,
                "paths": len(core.table.pool.paths),
                "busy_1000_us": _lookup_cost(core, size, 1_000),
                "all_busy_us": _lookup_cost(core, size, size),
            }
        )
    return rows


def _lookup_cost(core, size: int, busy: int) -> float:
    """Returns microseconds to process a packet, without system calls.

    Args:
        core: The relay core.
        size: Number of flows in its table.
        busy: Number of flows that send packets, spread over the whole table.
            If all do, the CPU caches miss on most packets.
    """
    listener = core.table.listener(_relay.SERVICE)
    every = list(_callers(size))
    step = size // busy
    chosen = [every[n * step * 7919 % size] for n in range(20_000)]
    best = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        for caller in chosen:
            core.on_caller(listener, _PAYLOAD, caller, 100.0)
        best = min(best, time.process_time() - start)
    return best / len(chosen) * 1e6


async def _run() -> dict:
    paths = _per_packet_costs()
    return {
        "per_packet": paths,
        "new_flows": _new_flows(),
        "table": _table_growth(),
        "peak_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        / 1024,
    }


def run() -> dict:
    """Runs the measurement."""
    return anyio.run(_run)
