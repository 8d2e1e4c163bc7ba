"""Routers and clients: flows of many requests, and what came of each."""

import itertools
import random
import struct
import zlib

import anyio
import attrs

from soak._vm import PACKETS, Vm
from standins import segments

SERVICES = ("registry", "barcodes")
VIP = "198.18.0.1"
PORTS = {"registry": 443, "barcodes": 8443, "moving": 9443}
"""Ports of the routes; that of `moving` goes to one service, then another."""

PROBE_S = 0.5
MISSES = 2
PAUSE_S = 0.15
REQUESTS = 20
"""Requests on one flow, before its client opens another."""

_SUM = struct.Struct(">I")


@attrs.define
class Asked:
    """One request.

    Attributes:
        name: Unique; the endpoints note it when they run it.
        route: The route asked.
        at: When it was asked.
        opened_at: When its flow's first packet was sent.
        answer: What came back, empty if nothing did.
    """

    name: str
    route: str
    at: float
    opened_at: float
    answer: str = ""


@attrs.define
class OwnReset:
    """A reset by the system of a flow that was open."""

    at: float
    endpoint: str


class Routers:
    """Sends each packet to a VM by a hash over those in rotation."""

    def __init__(self, vms: list[Vm], rng: random.Random):
        self.loss = 0.0
        self._vms = vms
        self._rng = rng
        self._rotation = [vm.host for vm in vms]
        self._misses: dict[str, int] = {}
        self._sock = segments.bind(vms[0].host.rpartition(".")[0] + ".250", 0)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    async def run(self) -> None:
        """Asks for readiness until cancelled."""
        while True:
            await anyio.sleep(PROBE_S)
            async with anyio.create_task_group() as tasks:
                for vm in self._vms:
                    tasks.start_soon(self._ask, vm)
            up = [v.host for v in self._vms if self._in_rotation(v)]
            half = len(self._vms) / 2
            self._rotation = (
                up if len(up) >= half else [v.host for v in self._vms]
            )

    def send(self, head: segments.Head) -> str:
        """Forwards a packet; returns the VM that it went to."""
        end = f"{head.src} {head.sport}".encode()
        chosen = zlib.crc32(end) % len(self._rotation)
        host = self._rotation[chosen]
        if self._rng.random() >= self.loss:
            try:
                self._sock.sendto(head.encode(), (host, PACKETS))
            except OSError:
                # Nobody listens there; to the client the packet is lost.
                return host
        return host

    async def _ask(self, vm: Vm) -> None:
        ready = await vm.ready()
        missed = self._misses.get(vm.host, 0)
        self._misses[vm.host] = 0 if ready else missed + 1

    def _in_rotation(self, vm: Vm) -> bool:
        return self._misses.get(vm.host, 0) < MISSES


class Client(segments.Client):
    """A client's socket; it tells the system's resets from the endpoints'."""

    def __init__(self, host: str, port: int, routers: Routers):
        super().__init__(host, port)
        self.own_resets: set[int] = set()
        self._routers = routers
        self._numbers = itertools.count(1024)
        self._arrived: dict[int, anyio.Event] = {}

    def next_port(self) -> int:
        """Returns a port that no flow has had."""
        return next(self._numbers)

    def send(self, head: segments.Head, vms) -> None:
        """Sends a packet through the routers."""
        self._routers.send(head)

    async def run(self) -> None:
        """Takes packets and hands them to their flows until cancelled."""
        while True:
            packet = await segments.receive(self._sock)
            head = segments.decode(packet)
            if head.flags & segments.RST and not _SUM.unpack_from(packet)[0]:
                self.own_resets.add(head.dport)
            self._inbox.setdefault(head.dport, []).append(head)
            if head.dport in self._arrived:
                self._arrived.pop(head.dport).set()

    async def receive(self, port: int) -> segments.Head:
        """Returns the next packet for one flow; others wait for theirs."""
        while not self._inbox.get(port):
            event = self._arrived.setdefault(port, anyio.Event())
            await event.wait()
        return self._inbox[port].pop(0)


class Callers:
    """Clients that ask until they are told to stop."""

    def __init__(self, client: Client, rng: random.Random):
        self.asked: list[Asked] = []
        self.resets: list[OwnReset] = []
        self.stopping = False
        self._client = client
        self._rng = rng
        self._names = itertools.count()

    async def run(self, route: str) -> None:
        """Opens flow after flow, and asks on each."""
        while not self.stopping:
            port = self._client.next_port()
            flow = segments.Flow(self._client, port, (VIP, PORTS[route]))
            opened_at = anyio.current_time()
            if await flow.open([]):
                await self._ask_on(flow, port, route, opened_at)
            await anyio.sleep(PAUSE_S * self._rng.random())

    async def _ask_on(self, flow, port, route, opened_at) -> None:
        endpoint = ""
        for _ in range(REQUESTS):
            if self.stopping:
                return
            name = f"{route}/{next(self._names)}"
            now = anyio.current_time()
            asked = Asked(name, route, now, opened_at)
            self.asked.append(asked)
            answer = await flow.ask([], name.encode())
            asked.answer = answer.decode()
            if not answer:
                if port in self._client.own_resets and endpoint:
                    at = anyio.current_time()
                    self.resets.append(OwnReset(at, endpoint))
                return
            endpoint = asked.answer.partition(" ")[0]
            await anyio.sleep(PAUSE_S * (0.5 + self._rng.random()))
