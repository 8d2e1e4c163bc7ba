"""Endpoints that come, leave, die, hang, and give their addresses on."""

import anyio
import anyio.abc
import attrs

from soak._clients import PORTS, SERVICES, VIP
from standins import segments
from standins.store import Store

WARMUP_S = 2.0
WARMUP_PER_S = 1.0
"""Seconds for which endpoints are cold, and new flows a second they bear."""


@attrs.define
class Ran:
    """A request that an endpoint ran."""

    name: str
    at: float


class Endpoint(segments.Endpoint):
    """One start of an endpoint, and what reached it."""

    def __init__(self, name, host, port, client_port, service, zone):
        super().__init__(name, host, port, client_port)
        self.service = service
        self.zone = zone
        self.requests: list[Ran] = []
        self.opened_at: list[float] = []
        self.draining_at: float | None = None
        self.ended_at: float | None = None
        self.disturbed_at = float("-inf")
        self.cold: list[tuple[float, float]] = []
        self.hangs = False
        self.scope = anyio.CancelScope()

    def _take(self, sock, datagram: bytes) -> None:
        if self.hangs:
            return
        head = segments.decode(datagram[8:])
        if head.flags & segments.SYN:
            self.opened_at.append(anyio.current_time())
        super()._take(sock, datagram)

    def reply(self, request: bytes) -> bytes:
        """Returns the endpoint's name and the request's."""
        name = request.decode()
        self.requests.append(Ran(name, anyio.current_time()))
        return f"{self.name} {name}".encode()


class Endpoints:
    """All endpoints there ever were, and what they tell the store."""

    def __init__(self, store: Store, net: str, client_port: int):
        self.all: list[Endpoint] = []
        self._store = store
        self._net = net
        self._client_port = client_port
        self._hosts = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def up(self) -> list[Endpoint]:
        """Those whose process runs."""
        return [each for each in self.all if each.ended_at is None]

    def serving(self, service: str) -> list[Endpoint]:
        """Those of a service that take new flows."""
        return [
            each
            for each in self.up
            if each.service == service and each.draining_at is None
        ]

    def join(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets where the endpoints run."""
        self._tasks = tasks

    def start(self, service: str, zone: str, host: str = "") -> Endpoint:
        """Starts one, at a new address or at one that is free again."""
        if not host:
            self._hosts += 1
            host = f"{self._net}.4.{self._hosts}"
        name = f"i-{len(self.all) + 0xA00000001:x}"
        endpoint = Endpoint(name, host, 8301, self._client_port, service, zone)
        self.all.append(endpoint)
        self._tasks.start_soon(self._run, endpoint)
        self._announce(endpoint, "ready")
        return endpoint

    def drain(self, endpoint: Endpoint) -> None:
        """Tells the store that one is leaving."""
        self._announce(endpoint, "draining")
        endpoint.draining_at = anyio.current_time()

    def end(self, endpoint: Endpoint, *, tell: bool) -> None:
        """Ends one, in order or without a word."""
        endpoint.ended_at = anyio.current_time()
        endpoint.scope.cancel()
        if tell:
            self.lapse(endpoint)

    def lapse(self, endpoint: Endpoint) -> None:
        """Its entry vanishes."""
        self._store.delete(f"servers/{endpoint.name}")

    def cool(self, endpoint: Endpoint) -> None:
        """One is cold from now on, and says so."""
        now = anyio.current_time()
        endpoint.cold.append((now, now + WARMUP_S))
        if endpoint.draining_at is None:
            self._announce(endpoint, "ready")

    def back(self, endpoint: Endpoint) -> None:
        """Its entry is there again."""
        self._announce(endpoint, "ready")

    def write_again(self) -> None:
        """All tell a store that has lost what they wrote."""
        for endpoint in self.up:
            leaving = endpoint.draining_at is not None
            state = "draining" if leaving else "ready"
            self._store.renew(*self._entry(endpoint, state))

    def lapse_ended(self) -> None:
        """Entries vanish of which nobody renews the lease."""
        for endpoint in self.all:
            if endpoint.ended_at is not None:
                self.lapse(endpoint)

    def _announce(self, endpoint: Endpoint, state: str) -> None:
        self._store.put(*self._entry(endpoint, state))

    def _entry(
        self, endpoint: Endpoint, state: str
    ) -> tuple[str, dict[str, object]]:
        """Returns the key and the value that one writes."""
        entry = endpoint.entry(endpoint.service, endpoint.zone, state)
        if endpoint.cold:
            left_s = endpoint.cold[-1][1] - anyio.current_time()
            entry["warmupLeftMs"] = max(0, round(1000 * left_s))
        return f"servers/{endpoint.name}", entry

    async def _run(self, endpoint: Endpoint) -> None:
        with endpoint.scope:
            await endpoint.run()


def configuration(
    version: int, moving: str, more: int = 0, *, warms_up: bool = False
) -> dict[str, object]:
    """Returns what the operator publishes.

    Args:
        version: Grows with each change.
        moving: The service that the route `moving` goes to.
        more: Routes that nobody asks for.
        warms_up: Whether endpoints state what they bear while they are cold.
    """
    warmup = {"warmupS": WARMUP_S, "warmupPerS": WARMUP_PER_S}
    targets = {**{name: name for name in SERVICES}, "moving": moving}
    return {
        "version": version,
        "routeTable": [
            {
                "name": route,
                "hostname": VIP,
                "prefix": f"/{PORTS[route]}/",
                "routeType": "non_idempotent",
                "service": service,
            }
            for route, service in targets.items()
        ]
        + [
            {
                "name": f"more-{number}",
                "hostname": "198.18.9.9",
                "prefix": f"/{1000 + number}/",
                "routeType": "download",
                "service": SERVICES[0],
            }
            for number in range(more)
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                **(warmup if warms_up else {}),
            }
            for name in SERVICES
        ],
        "limits": {"idleTimeoutMs": 15000},
    }
