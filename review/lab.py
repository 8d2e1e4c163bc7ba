"""A small deployment on loopback for the scripts of the review's cases.

The VMs are the project's own program, started with the command of the deploy
file. The store, the endpoints and the client are the project's stand-ins.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator

import anyio
import anyio.abc
import attrs

from standins import http, segments
from standins.store import Store

ROOT = pathlib.Path(__file__).parent.parent
PACKETS, READY, CONTROL, GOSSIP, LAST_PORT = 8172, 8167, 8166, 7720, 7735
STORE_PORT, ENDPOINT_PORT = 8169, 8301
RESTART_DELAY_S = 0.5
"""The platform starts a process that ended again after a short delay."""

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Writes one line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")

    def raw(self, text: str) -> None:
        """Writes one line without the time."""
        self._file.write(f"{text}\n")


def free_net() -> str:
    """Returns the first two numbers of loopback addresses that are unused."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}"
        try:
            with contextlib.ExitStack() as stack:
                for host, port in ((f"{net}.2.1", STORE_PORT),):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
                for number in range(1, 10):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((f"{net}.3.{number}", READY))
            return net
        except OSError:
            continue
    raise CannotRunError("no free loopback addresses")


@attrs.define(eq=False)
class Vm:
    """One process of the program, as the platform runs it."""

    name: str
    host: str
    zone: str
    settings: pathlib.Path
    log: pathlib.Path
    command: list[str]
    process: subprocess.Popen | None = None
    own_ends: list[float] = attrs.field(factory=list)
    stopped: bool = False

    @property
    def packets(self) -> tuple[str, int]:
        """The address of clients' packets."""
        return self.host, PACKETS

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        names = ("PATH", "HOME", "LANG")
        kept = {n: os.environ[n] for n in names if n in os.environ}
        environment = {
            **kept,
            "POLLENMAST_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self.stopped = False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and leaves it down."""
        self.stopped = True
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the VM answers its readiness check with 200."""
        answer = await http.fetch(self.host, READY, "/readiness", timeout_s=0.5)
        return answer.status == 200


class Client(segments.Client):
    """A client whose flows may wait for packets at the same time."""

    def __init__(self, host: str, port: int):
        super().__init__(host, port)
        self._arrived: dict[int, asyncio.Event] = {}

    async def pump(self) -> None:
        """Sorts the packets by flow until cancelled."""
        while True:
            head = segments.decode(await segments.receive(self._sock))
            self._inbox.setdefault(head.dport, []).append(head)
            self._arrived.setdefault(head.dport, asyncio.Event()).set()

    async def receive(self, port: int) -> segments.Head:
        """Returns the next packet for one flow."""
        while not self._inbox.get(port):
            arrived = self._arrived.setdefault(port, asyncio.Event())
            arrived.clear()
            await arrived.wait()
        return self._inbox[port].pop(0)


class Flow(segments.Flow):
    """A flow of the client."""

    @property
    def port(self) -> int:
        """The client's port."""
        return self._port

    def send_syn(self, vms: list[tuple[str, int]]) -> None:
        """Sends one SYN and waits for nothing."""
        self._send(segments.SYN, vms, 0)


@attrs.frozen
class Opening:
    """A SYN that an endpoint took.

    Attributes:
        at: When it arrived.
        port: The client's port.
        service: The address and port that the client asked for.
    """

    at: float
    port: int
    service: str


class StoreProxy:
    """Forwards one VM's connections to the store; can silence open ones."""

    def __init__(self, address: tuple[str, int], store: tuple[str, int]):
        self._address = address
        self._store = store
        self._connections: list[asyncio.Event] = []
        self.requested_at = time.monotonic()

    @property
    def address(self) -> tuple[str, int]:
        """The address that the VM uses for the store."""
        return self._address

    @property
    def idle_s(self) -> float:
        """Seconds since the VM last sent something to the store."""
        return time.monotonic() - self.requested_at

    def open_connections(self) -> int:
        """Returns how many connections are open and not silent."""
        return sum(not silent.is_set() for silent in self._connections)

    def silence(self) -> int:
        """Makes the open connections silent for good, without a reset."""
        count = self.open_connections()
        for silent in self._connections:
            silent.set()
        return count

    async def run(self) -> None:
        """Serves until cancelled."""
        server = await asyncio.start_server(self._serve, *self._address)
        async with server:
            await server.serve_forever()

    async def _serve(self, reader, writer) -> None:
        silent = asyncio.Event()
        self._connections.append(silent)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                *self._store
            )
            await asyncio.gather(
                self._pump(reader, store_writer, silent, True),
                self._pump(store_reader, writer, silent, False),
            )
        except OSError:
            pass
        finally:
            if silent in self._connections:
                self._connections.remove(silent)
            writer.close()

    async def _pump(self, reader, writer, silent, from_vm: bool) -> None:
        while data := await reader.read(65_536):
            if from_vm:
                self.requested_at = time.monotonic()
            if silent.is_set():
                continue
            writer.write(data)
            await writer.drain()
        writer.close()


class Endpoint(segments.Endpoint):
    """An endpoint that names itself in its health checks' answers."""

    def __init__(self, name: str, host: str, port: int, client_port: int):
        super().__init__(name, host, port, client_port)
        self.opened: list[Opening] = []
        self.resets = 0

    async def handle(self, request: http.Request) -> http.Response:
        """Answers a health check."""
        return http.Response(200, b"ok", {"X-Endpoint-Id": self.name})

    def _take(self, sock: socket.socket, datagram: bytes) -> None:
        head = segments.decode(datagram[8:])
        mine = int.from_bytes(datagram[:8], "big") in (0, self._number)
        if mine and head.flags & segments.SYN:
            service = f"{head.dst}:{head.dport}"
            self.opened.append(Opening(time.monotonic(), head.sport, service))
        known = head.src, head.sport
        if mine and not head.flags & segments.SYN and known not in self._flows:
            self.resets += 1
        super()._take(sock, datagram)


def settings_text(
    vm: Vm, net: str, region: str, zones: list[str], store: tuple
) -> str:
    """Returns a settings file like that of a small deployment."""
    seeds = ",".join(f"{net}.3.{n}:{CONTROL}" for n in (1, 2, 3))
    listed = "".join(f"zones.{each}={region}\n" for each in zones)
    return (
        f"nodeId={vm.name}\nrole=entry\nmachineClass=frontend\n"
        f"serves=frontend,control_plane\nip={vm.host}\nzone={vm.zone}\nregion={region}\n"
        f"{listed}listenAddrs.datagramAddr={vm.host}:{PACKETS}\n"
        f"listenAddrs.ready={vm.host}:{READY}\n"
        f"listenAddrs.control={vm.host}:{CONTROL}\n"
        f"internalPorts={GOSSIP},{LAST_PORT}\nseedNodes={seeds}\n"
        "bootstrap=true\nlossCounted=false\nlimits.cpuShare=0.537\n"
        "limits.cores=2\nlimits.memoryMb=300\nlimits.maxFds=4100\n"
        "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
        "entry=announce\nheartbeatMs=1200\n"
        "contracts=base,drain,config,cost,recover,flows,platform\n"
        "faultTolerance.machines=1\nfaultTolerance.zones=1\n"
        "faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
        "bounds.stableMs=4000\nbounds.ackMs=5000\nbounds.catchupS=4\n"
        "bounds.drainMs=3000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
        "bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n"
        "bounds.maxStretchMs=12000\nbounds.recoveryS=12\n"
        "bounds.flowMs=2000\nbounds.flowMaxS=60\nhash=mod\n"
        f"forwardingMode=echo\nplatform.address={store[0]}:{store[1]}\n"
        "platform.forwardingMode=read\nplatform.writesPerS=400\n"
        "platform.readsPerS=2000\nplatform.historyS=20\n"
        "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
    )


def configuration(version: int, routes: dict[str, str]) -> dict:
    """Returns a configuration.

    Args:
        version: Its version.
        routes: The service of each route, by the route's address and port.
    """
    table = []
    for number, (address, service) in enumerate(routes.items()):
        host, _, port = address.partition(":")
        table.append(
            {
                "name": f"r-{number}",
                "hostname": host,
                "prefix": f"/{port}/",
                "routeType": "non_idempotent",
                "timeoutMs": 2000,
                "targetLatencyMs": 200,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
        )
    services = sorted(set(routes.values()) | {"registry", "barcodes"})
    return {
        "version": version,
        "routeTable": table,
        "services": [
            {
                "name": each,
                "healthPath": "/health",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for each in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Lab:
    """A store, endpoints, VMs and a client."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        zones: list[str],
        region: str,
    ):
        """Makes a deployment; nothing runs yet.

        Args:
            record: Where to write what happens.
            folder: A temporary folder.
            zones: The availability zone of each VM.
            region: The region of all zones.
        """
        self._region = region
        self.record = record
        self.net = free_net()
        self.store = Store()
        self.store.epoch = None
        self.store_address = f"{self.net}.2.1", STORE_PORT
        self.endpoints: dict[str, Endpoint] = {}
        self._entries: dict[str, dict] = {}
        self._port = 20_000
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        self.vms: list[Vm] = []
        names = sorted(set(zones))
        for index, zone in enumerate(zones):
            host = f"{self.net}.3.{index + 1}"
            name = f"frontend-{zone}-{index + 1}"
            self.vms.append(
                Vm(
                    name,
                    host,
                    zone,
                    folder / f"{name}.conf",
                    folder / f"{name}.log",
                    command,
                )
            )
        self._zones = names
        self.client = Client(f"{self.net}.1.7", PACKETS)

    async def start_services(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the store and the client."""
        await tasks.start(http.serve, self.store, *self.store_address)
        tasks.start_soon(self.client.pump)

    def write_settings(self, stores: Callable[[Vm], tuple] | None) -> None:
        """Writes the settings files.

        Args:
            stores: Returns the address at which a VM reaches the store.
        """
        for vm in self.vms:
            store = stores(vm) if stores is not None else self.store_address
            vm.settings.write_text(
                settings_text(vm, self.net, self._region, self._zones, store)
            )

    def put(self, key: str, value: object, what: str) -> float:
        """Writes to the store; returns when the store acknowledged it."""
        revision = self.store.put(key, value)
        self.record.write(f"store: {what}: {key} at revision {revision}")
        return time.monotonic()

    def delete(self, key: str, what: str) -> float:
        """Deletes from the store; returns when the store acknowledged it."""
        revision = self.store.delete(key)
        self.record.write(f"store: {what}: {key} at revision {revision}")
        return time.monotonic()

    def register(self, name: str, state: str = "ready") -> float:
        """Writes an endpoint's entry."""
        entry = {**self._entries[name], "state": state}
        return self.put(f"servers/{name}", entry, f"endpoint {state}")

    def add_endpoint(
        self, tasks: anyio.abc.TaskGroup, name: str, service: str, zone: str
    ) -> Endpoint:
        """Starts an endpoint, which is not in the store yet."""
        host = f"{self.net}.4.{len(self.endpoints) + 1}"
        endpoint = Endpoint(name, host, ENDPOINT_PORT, PACKETS)
        self.endpoints[name] = endpoint
        self._entries[name] = endpoint.entry(service, zone)
        tasks.start_soon(endpoint.run)
        return endpoint

    def flow(self, address: str) -> Flow:
        """Returns a new flow to a route's address and port."""
        host, _, port = address.partition(":")
        self._port += 1
        return Flow(self.client, self._port, (host, int(port)))

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Waits until all VMs are ready."""
        with anyio.move_on_after(limit_s):
            while not all([await vm.is_ready() for vm in self.vms]):
                await anyio.sleep(0.1)
            return
        raise CannotRunError("the VMs did not become ready")

    async def supervise(self) -> None:
        """Starts processes that end by themselves again, as the platform."""
        while True:
            for vm in self.vms:
                if vm.stopped or vm.process is None:
                    continue
                code = vm.process.poll()
                if code is None:
                    continue
                vm.own_ends.append(self.record.now())
                self.record.write(f"{vm.name} ended by itself, exit {code}")
                vm.process = None
                asyncio.get_running_loop().call_later(RESTART_DELAY_S, vm.start)
            await anyio.sleep(0.02)

    def close(self) -> None:
        """Ends all processes."""
        for vm in self.vms:
            vm.kill()
        self.client.close()


@contextlib.contextmanager
def temporary_lab(
    record: Record, zones: list[str], region: str = "pos"
) -> Iterator[Lab]:
    """Makes a deployment in a temporary folder and ends it."""
    with tempfile.TemporaryDirectory(prefix="pollenmast-review-") as folder:
        lab = Lab(record, pathlib.Path(folder), zones, region)
        try:
            yield lab
        finally:
            lab.close()


def run(case: Callable, file: str) -> int:
    """Runs a case; returns the exit code of its script.

    Args:
        case: Takes the record and whether there is trouble; returns whether
            the rule held.
        file: The path of the case's program; the record lies beside it.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = pathlib.Path(file).parent / "record.txt"
    record = Record(path)
    record.raw(f"disruption: {'yes' if trouble else 'no'}")
    if not (ROOT / "target" / "deps" / "pollenmast").is_dir():
        record.raw("cannot run: target/deps is missing, build first")
        return NOT_RUN
    try:
        held = anyio.run(case, record, trouble)
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        return NOT_RUN
    except Exception as error:
        record.write(f"cannot run: {error!r}")
        print(repr(error), file=sys.stderr)
        return NOT_RUN
    record.raw("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
