"""Start-up time of a platform VM until it forwards its first packet.

When all VMs lose power at once, clients wait only for this: each tenth of a
second of start-up is a tenth of a second in which nobody is served. On a small
VM the start is bound by CPU, so CPU time is measured: until the first packet
reaches an endpoint, and until the program reports that it is ready.
"""

import os
import pathlib
import statistics
import subprocess
import sys
import sysconfig
import tempfile

import anyio
import attrs

from pollenmast import http1
from standins import http, segments
from standins.store import Store

NAME = "entry_start"
DESCRIPTION = "Processor time of a VM's start, until its first packet."

BASELINE_ENV = "POLLENMAST_BEFORE"
"""Environment variable with the `src` folder of the version to compare to."""

_NET = f"127.{100 + os.getpid() % 100}"
_STORE_ADDRESS = (f"{_NET}.2.1", 8169)
_VM, _PACKETS, _READY = f"{_NET}.3.1", 8172, 8167
_ENDPOINTS = 10
_ROUTES = 115
_STARTS = 20
_POLL_INTERVAL_S = 0.002
_START_TIMEOUT_S = 20.0
_MS_PER_NS = 1e-6
_SETTINGS = f"""\
nodeId=vm-1
zone=a
listenAddrs.datagramAddr={_VM}:{_PACKETS}
listenAddrs.ready={_VM}:{_READY}
listenAddrs.control={_VM}:8166
internalPorts=7720,7735
seedNodes={_VM}:8166
platform.address={_STORE_ADDRESS[0]}:{_STORE_ADDRESS[1]}
"""


@attrs.frozen
class _Start:
    """Measured figures of one start.

    Attributes:
        packet_ms: CPU time until the first packet reached the endpoint.
        ready_ms: CPU time until the program reported that it was ready.
        packet_wall_ms: Wall-clock time until the first packet.
        memory_kb: Peak resident memory.
    """

    packet_ms: float
    ready_ms: float
    packet_wall_ms: float
    memory_kb: int


def run() -> dict:
    """Starts the program repeatedly, alternating with the other version."""
    sources = {"this": str(pathlib.Path("src").resolve())}
    if os.environ.get(BASELINE_ENV):
        sources["before"] = os.environ[BASELINE_ENV]
    starts = anyio.run(_measure, sources)
    return {"starts": [_row(name, each) for name, each in starts.items()]}


def _row(version: str, starts: list[_Start]) -> dict:
    return {
        "version": version,
        "starts": len(starts),
        "cpu to first packet, ms": _median(s.packet_ms for s in starts),
        "cpu to ready, ms": _median(s.ready_ms for s in starts),
        "time to first packet, ms": _median(s.packet_wall_ms for s in starts),
        "peak memory, kB": _median(s.memory_kb for s in starts),
    }


def _median(values) -> float:
    return round(statistics.median(values), 1)


async def _measure(sources: dict[str, str]) -> dict[str, list[_Start]]:
    store = _store()
    starts: dict[str, list[_Start]] = {name: [] for name in sources}
    sock = segments.bind(f"{_NET}.4.1", 8301)
    with tempfile.TemporaryDirectory(prefix="pollenmast-bench-") as folder:
        settings = pathlib.Path(folder) / "vm.conf"
        settings.write_text(_SETTINGS)
        async with anyio.create_task_group() as tasks:
            await tasks.start(http.serve, store, *_STORE_ADDRESS)
            for number in range(_STARTS + 1):
                for name, source in sources.items():
                    start = await _start(source, str(settings), sock)
                    # The first start is dropped, as it compiles the modules.
                    if number:
                        starts[name].append(start)
            tasks.cancel_scope.cancel()
    sock.close()
    return starts


def _store() -> Store:
    """Returns a store with the entries of a small site, all at one address."""
    store = Store()
    routes = [
        {
            "name": f"route-{n}",
            "hostname": f"198.18.0.{n}",
            "prefix": "/443/",
            "routeType": "idempotent",
            "service": "registry",
        }
        for n in range(1, _ROUTES + 1)
    ]
    configuration = {
        "version": 3,
        "routeTable": routes,
        "services": [{"name": "registry", "healthPath": "/health"}],
        "limits": {"idleTimeoutMs": 15000},
    }
    store.put("op/config", configuration)
    for n in range(_ENDPOINTS):
        entry = {
            "service": "registry",
            "address": f"{_NET}.4.1:8301",
            "zone": "a",
            "slots": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "seqNo": 1,
        }
        store.put(f"servers/i-00000000a{n}", entry)
    return store


async def _start(source: str, settings: str, sock) -> _Start:
    environment = {
        "POLLENMAST_CONFIG": settings,
        "PYTHONPATH": f"{source}:{sysconfig.get_path('purelib')}",
    }
    process = subprocess.Popen(
        [sys.executable, "-S", "-m", "pollenmast.platform"],
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    began = anyio.current_time()
    try:
        with anyio.fail_after(_START_TIMEOUT_S):
            await _wait_for_first_packet(sock)
            packet_ms = _cpu_ms(process.pid)
            wall_ms = (anyio.current_time() - began) * 1000.0
            await _wait_until_ready()
            ready_ms = _cpu_ms(process.pid)
        return _Start(packet_ms, ready_ms, wall_ms, _peak_kb(process.pid))
    finally:
        process.kill()
        process.wait()


async def _wait_for_first_packet(sock) -> None:
    """Sends a SYN of a new flow repeatedly until one reaches the endpoint."""
    _drain_socket(sock)
    client = segments.bind(f"{_NET}.1.7", 0)
    port = 1024
    try:
        while not _drain_socket(sock):
            port += 1
            head = segments.Head(
                0, port, "100.64.0.7", 443, "198.18.0.1", 7, 0, segments.SYN
            )
            client.sendto(head.encode(), (_VM, _PACKETS))
            await anyio.sleep(_POLL_INTERVAL_S)
    finally:
        client.close()


def _drain_socket(sock) -> int:
    """Reads all pending datagrams and returns their number."""
    count = 0
    while True:
        try:
            sock.recv(2048)
        except BlockingIOError:
            return count
        count += 1


async def _wait_until_ready() -> None:
    while True:
        connection = http1.Connection(_VM, _READY)
        answer = await connection.get("/readiness", 1.0)
        await connection.aclose()
        if answer.is_ok() and answer.ok_value.status == 200:
            return
        await anyio.sleep(_POLL_INTERVAL_S)


def _cpu_ms(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) * _MS_PER_NS


def _peak_kb(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    return 0
