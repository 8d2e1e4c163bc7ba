"""Simulated routers and clients, and a record of each request's outcome."""

import itertools
import random
import struct
import zlib

import anyio
import attrs

from soak._vm import DATAGRAM_PORT, Vm
from standins import segments

SERVICES = ("registry", "barcodes")
VIP = "198.18.0.1"
BULK = "registry-bulk"
"""A less urgent route to the service `registry`, whose own route is urgent."""

PORTS = {"registry": 443, "barcodes": 8443, "moving": 9443, BULK: 10443}
"""The port of each route.

The route `moving` is reassigned from one service to the other during a run.
"""

PROBE_INTERVAL_S = 0.5
MAX_MISSED_PROBES = 2
PAUSE_S = 0.15
REQUESTS_PER_FLOW = 20
"""The number of requests on a flow before the client opens another one."""

REJECTED = "503 X-Not-Executed"
"""The response of an endpoint whose queue is full, after the endpoint's name.

The segment header carries no HTTP, so that this stands for status and header.
"""

MAX_ATTEMPTS = 3
RETRY_PAUSE_S = 0.05
"""Attempts for a request that no endpoint has executed, and the mean pause
between them in seconds."""

_CHECKSUM = struct.Struct(">I")


@attrs.define
class RequestRecord:
    """A request and its response.

    Attributes:
        name: A unique name, which the endpoint that executes it records.
        route: The route that the request was sent to.
        at: The time at which the request was sent.
        opened_at: The time at which the first packet of its flow was sent.
        answer: The response, or an empty string if none arrived.
        client: The address of the client.
        refused_at: When a SYN of it was reset by the load balancer.
    """

    name: str
    route: str
    at: float
    opened_at: float
    answer: str = ""
    client: str = ""
    refused_at: list[float] = attrs.field(factory=list)

    @property
    def rejected(self) -> bool:
        """Whether the endpoint was full and did not execute the request."""
        return self.answer.endswith(f" {REJECTED}")

    @property
    def served(self) -> bool:
        """Whether the request was executed and answered."""
        return bool(self.answer) and not self.rejected


@attrs.define
class BalancerReset:
    """A reset of an open flow that the load balancer itself sent."""

    at: float
    endpoint: str


class Routers:
    """Forwards each packet to one of the VMs in rotation, chosen by a hash."""

    def __init__(self, vms: list[Vm], rng: random.Random):
        self.loss = 0.0
        self._vms = vms
        self._rng = rng
        self._rotation = [vm.host for vm in vms]
        self._missed_probes: dict[str, int] = {}
        self._sock = segments.bind(vms[0].host.rpartition(".")[0] + ".250", 0)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    async def run(self) -> None:
        """Probes the readiness of all VMs until cancelled."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for vm in self._vms:
                    tasks.start_soon(self._probe, vm)
            up = [v.host for v in self._vms if self._in_rotation(v)]
            half = len(self._vms) / 2
            self._rotation = (
                up if len(up) >= half else [v.host for v in self._vms]
            )

    def send(self, head: segments.Head) -> str:
        """Forwards a packet and returns the address of the VM chosen for it."""
        end = f"{head.src} {head.sport}".encode()
        chosen = zlib.crc32(end) % len(self._rotation)
        host = self._rotation[chosen]
        if self._rng.random() >= self.loss:
            try:
                self._sock.sendto(head.encode(), (host, DATAGRAM_PORT))
            except OSError:
                # Nothing listens on that address: the packet is lost.
                return host
        return host

    async def _probe(self, vm: Vm) -> None:
        ready = await vm.ready()
        missed = self._missed_probes.get(vm.host, 0)
        self._missed_probes[vm.host] = 0 if ready else missed + 1

    def _in_rotation(self, vm: Vm) -> bool:
        return self._missed_probes.get(vm.host, 0) < MAX_MISSED_PROBES


class Client(segments.Client):
    """A client's socket.

    It distinguishes resets sent by the load balancer from those of endpoints.
    """

    def __init__(self, host: str, port: int, routers: Routers):
        super().__init__(host, port)
        self.balancer_resets: set[int] = set()
        self._routers = routers
        self._numbers = itertools.count(1024)
        self._arrived: dict[int, anyio.Event] = {}

    def next_port(self) -> int:
        """Returns a port that no flow has used yet."""
        return next(self._numbers)

    def send(self, head: segments.Head, vms) -> None:
        """Sends a packet through the routers."""
        self._routers.send(head)

    async def run(self) -> None:
        """Receives packets and queues them by flow until cancelled."""
        while True:
            packet = await segments.receive(self._sock)
            head = segments.decode(packet)
            if (
                head.flags & segments.RST
                and not _CHECKSUM.unpack_from(packet)[0]
            ):
                self.balancer_resets.add(head.dport)
            self._inbox.setdefault(head.dport, []).append(head)
            if head.dport in self._arrived:
                self._arrived.pop(head.dport).set()

    async def receive(self, port: int) -> segments.Head:
        """Returns the next packet of one flow, leaving those of other flows."""
        while not self._inbox.get(port):
            event = self._arrived.setdefault(port, anyio.Event())
            await event.wait()
        return self._inbox[port].pop(0)


class _EndingFlow(segments.Flow):
    """A flow whose client acknowledges each response and ends the flow.

    The load balancer counts requests in progress by these packets.
    """

    async def ask(self, vms: list[tuple[str, int]], data: bytes) -> bytes:
        """Sends a request and acknowledges its response."""
        answer = await super().ask(vms, data)
        if answer:
            self._send(segments.ACK, vms, self._acknowledged)
        return answer

    def end(self) -> None:
        """Ends the flow."""
        self._send(segments.FIN | segments.ACK, [], self._acknowledged)


class Callers:
    """Clients that send requests until `stopping` is set.

    Args:
        clients: The sockets, one for each client address.
        rng: Determines the pauses.
        limited: Whether endpoints have slots; flows are then ended in order.
    """

    def __init__(
        self,
        clients: list[Client],
        rng: random.Random,
        *,
        limited: bool = False,
    ):
        self.requests: list[RequestRecord] = []
        self.resets: list[BalancerReset] = []
        self.stopping = False
        self._clients = clients
        self._flow_type = _EndingFlow if limited else segments.Flow
        self._rng = rng
        self._names = itertools.count()

    async def run(self, route: str, number: int = 0) -> None:
        """Opens one flow after another and sends requests on each.

        Args:
            route: The route.
            number: Chooses the client address.
        """
        client = self._clients[number % len(self._clients)]
        while not self.stopping:
            port = client.next_port()
            flow = self._flow_type(client, port, (VIP, PORTS[route]))
            opened_at = anyio.current_time()
            if await flow.open([]):
                await self._send_requests(client, flow, port, route, opened_at)
                if isinstance(flow, _EndingFlow) and not flow.reset:
                    flow.end()
            await anyio.sleep(PAUSE_S * self._rng.random())

    async def run_short(
        self, route: str, number: int, until: float = float("inf")
    ) -> None:
        """Sends each request on a flow of its own.

        A request that no endpoint has executed is sent again, as clients do
        that are refused or rejected.

        Args:
            route: The route.
            number: Chooses the client address.
            until: When to stop, by the runtime's clock.
        """
        client = self._clients[number % len(self._clients)]
        while not self.stopping and anyio.current_time() < until:
            name = f"{route}/{next(self._names)}"
            now = anyio.current_time()
            request = RequestRecord(name, route, now, now, client=client.host)
            self.requests.append(request)
            for _ in range(MAX_ATTEMPTS):
                if not await self._attempt(client, request):
                    break
                await anyio.sleep(2.0 * RETRY_PAUSE_S * self._rng.random())
            await anyio.sleep(PAUSE_S * self._rng.random())

    async def _attempt(self, client: Client, request: RequestRecord) -> bool:
        """Sends a request once; returns whether it may be sent again."""
        port = client.next_port()
        flow = _EndingFlow(client, port, (VIP, PORTS[request.route]))
        request.opened_at = anyio.current_time()
        if not await flow.open([]):
            if port in client.balancer_resets:
                request.refused_at.append(anyio.current_time())
            return True
        request.answer = (await flow.ask([], request.name.encode())).decode()
        if not flow.reset:
            flow.end()
        return request.rejected

    async def _send_requests(
        self, client, flow, port, route, opened_at
    ) -> None:
        endpoint = ""
        for _ in range(REQUESTS_PER_FLOW):
            if self.stopping:
                return
            name = f"{route}/{next(self._names)}"
            now = anyio.current_time()
            request = RequestRecord(
                name, route, now, opened_at, client=client.host
            )
            self.requests.append(request)
            answer = await flow.ask([], name.encode())
            request.answer = answer.decode()
            if not answer:
                if port in client.balancer_resets and endpoint:
                    at = anyio.current_time()
                    self.resets.append(BalancerReset(at, endpoint))
                return
            if request.rejected:
                return
            endpoint = request.answer.partition(" ")[0]
            await anyio.sleep(PAUSE_S * (0.5 + self._rng.random()))
