"""Simulated endpoints that start, drain, crash, hang and reuse addresses."""

import random

import anyio
import anyio.abc
import attrs

from soak._clients import BULK, PORTS, REJECTED, SERVICES, VIP
from soak._slots import MEAN_WORK_S, SLOTS, Slots
from standins import segments
from standins.store import Store

WARMUP_S = 2.0
WARMUP_PER_S = 1.0
"""The warm-up period of an endpoint in seconds, and its rate limit meanwhile.

The limit is in new flows per second.
"""

_ROUTE_ATTRIBUTES = {
    route: {
        "priority": priority,
        "targetLatencyMs": target_ms,
        "timeoutMs": 8 * target_ms,
    }
    for route, priority, target_ms in (
        ("registry", 0, 400),
        ("barcodes", 0, 400),
        ("moving", 1, 600),
        (BULK, 2, 800),
    )
}
"""The attributes of each route in runs with limited endpoints."""


@attrs.define
class ExecutedRequest:
    """A request that an endpoint executed."""

    name: str
    at: float


class Endpoint(segments.Endpoint):
    """One instance of an endpoint, and the traffic that reached it.

    Attributes:
        service: The service that it belongs to.
        zone: Its availability zone.
        requests: The requests that it executed.
        opened_at: The arrival times of packets with the SYN flag.
        draining_at: When it began to drain, or None.
        ended_at: When it ended, or None while it runs.
        disturbed_at: The time of the last fault that may reset its flows.
        warmups: Start and end of each warm-up period.
        hangs: Whether it ignores all packets.
        scope: Cancelled to end it.
        started_at: When it started.
        slots: Its slots, or None if it answers every request immediately.
    """

    def __init__(
        self, name, host, port, client_port, service, zone, slots=None
    ):
        super().__init__(name, host, port, client_port)
        self.service = service
        self.zone = zone
        self.requests: list[ExecutedRequest] = []
        self.opened_at: list[float] = []
        self.draining_at: float | None = None
        self.ended_at: float | None = None
        self.disturbed_at = float("-inf")
        self.warmups: list[tuple[float, float]] = []
        self.hangs = False
        self.scope = anyio.CancelScope()
        self.started_at = anyio.current_time()
        self.slots: Slots | None = slots
        self._work = random.Random(name)
        self._accepted: set[tuple[str, int, int]] = set()
        self._rejected: set[bytes] = set()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serves until cancelled; requests in progress are lost then."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await super().run()

    def _take(self, sock, datagram: bytes) -> None:
        if self.hangs:
            return
        head = segments.decode(datagram[8:])
        if head.flags & segments.SYN:
            self.opened_at.append(anyio.current_time())
        token = int.from_bytes(datagram[:8], "big")
        addressed = token in (0, self._number)
        if self.slots is None or not addressed or not self._is_new(head):
            super()._take(sock, datagram)
            return
        key = (head.src, head.sport, head.sequence)
        if key in self._accepted:
            return
        now = anyio.current_time()
        work_s = self._work.expovariate(1.0 / MEAN_WORK_S)
        end = self.slots.offer(now, work_s)
        if end is None:
            self._rejected.add(head.data)
            super()._take(sock, datagram)
            return
        self._accepted.add(key)
        self._tasks.start_soon(self._finish, sock, datagram, key, end)

    def _is_new(self, head: segments.Head) -> bool:
        """Whether this is a request on an open flow without an answer yet."""
        return (
            bool(head.data)
            and not head.flags & segments.SYN
            and (head.src, head.sport) in self._flows
            and (head.src, head.sport, head.sequence) not in self._answers
        )

    async def _finish(self, sock, datagram, key, end: float) -> None:
        await anyio.sleep_until(end)
        self._accepted.discard(key)
        if not self.hangs:
            super()._take(sock, datagram)

    def reply(self, request: bytes) -> bytes:
        """Returns a response made of the endpoint's and the request's names.

        A request that met a full queue is rejected instead.
        """
        name = request.decode()
        if request in self._rejected:
            self._rejected.discard(request)
            return f"{self.name} {REJECTED}".encode()
        self.requests.append(ExecutedRequest(name, anyio.current_time()))
        return f"{self.name} {name}".encode()


class Endpoints:
    """All endpoints of a run, ended ones included, and their store entries."""

    def __init__(
        self, store: Store, net: str, client_port: int, *, limited: bool = False
    ):
        self._limited = limited
        self.all: list[Endpoint] = []
        self._store = store
        self._net = net
        self._client_port = client_port
        self._hosts = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def up(self) -> list[Endpoint]:
        """The endpoints that have not ended."""
        return [each for each in self.all if each.ended_at is None]

    def serving(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new flows."""
        return [
            each
            for each in self.up
            if each.service == service and each.draining_at is None
        ]

    def set_task_group(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets the task group that endpoints run in."""
        self._tasks = tasks

    def start(self, service: str, zone: str, host: str = "") -> Endpoint:
        """Starts an endpoint and writes its entry to the store.

        Args:
            service: The service that it belongs to.
            zone: Its availability zone.
            host: An address that is free again; a new one if empty.

        Returns:
            The endpoint.
        """
        if not host:
            self._hosts += 1
            host = f"{self._net}.4.{self._hosts}"
        name = f"i-{len(self.all) + 0xA00000001:x}"
        endpoint = Endpoint(
            name,
            host,
            8301,
            self._client_port,
            service,
            zone,
            Slots() if self._limited else None,
        )
        self.all.append(endpoint)
        self._tasks.start_soon(self._run, endpoint)
        self._put_entry(endpoint, "ready")
        return endpoint

    def drain(self, endpoint: Endpoint) -> None:
        """Marks an endpoint as draining in the store."""
        self._put_entry(endpoint, "draining")
        endpoint.draining_at = anyio.current_time()

    def end(self, endpoint: Endpoint, *, delete_entry: bool) -> None:
        """Ends an endpoint.

        Args:
            endpoint: The endpoint.
            delete_entry: Whether its store entry is deleted, as on an orderly
                shutdown; a crashed endpoint leaves its entry behind.
        """
        endpoint.ended_at = anyio.current_time()
        endpoint.scope.cancel()
        if delete_entry:
            self.delete_entry(endpoint)

    def delete_entry(self, endpoint: Endpoint) -> None:
        """Deletes an endpoint's entry from the store."""
        self._store.delete(f"servers/{endpoint.name}")

    def start_warmup(self, endpoint: Endpoint) -> None:
        """Starts a warm-up period; published unless the endpoint drains."""
        now = anyio.current_time()
        endpoint.warmups.append((now, now + WARMUP_S))
        if endpoint.draining_at is None:
            self._put_entry(endpoint, "ready")

    def restore_entry(self, endpoint: Endpoint) -> None:
        """Writes the entry of an endpoint again after it was deleted."""
        self._put_entry(endpoint, "ready")

    def rewrite_entries(self) -> None:
        """Writes all running endpoints to a store that lost their entries."""
        for endpoint in self.up:
            leaving = endpoint.draining_at is not None
            state = "draining" if leaving else "ready"
            self._store.renew(*self._entry(endpoint, state))

    def delete_ended_entries(self) -> None:
        """Deletes the entries of ended endpoints, whose leases have expired."""
        for endpoint in self.all:
            if endpoint.ended_at is not None:
                self.delete_entry(endpoint)

    def _put_entry(self, endpoint: Endpoint, state: str) -> None:
        self._store.put(*self._entry(endpoint, state))

    def _entry(
        self, endpoint: Endpoint, state: str
    ) -> tuple[str, dict[str, object]]:
        """Returns the key and the value of an endpoint's store entry."""
        entry = endpoint.entry(endpoint.service, endpoint.zone, state)
        entry["slots"] = SLOTS
        if endpoint.warmups:
            left_s = endpoint.warmups[-1][1] - anyio.current_time()
            entry["warmupLeftMs"] = max(0, round(1000 * left_s))
        return f"servers/{endpoint.name}", entry

    async def _run(self, endpoint: Endpoint) -> None:
        with endpoint.scope:
            await endpoint.run()


def configuration(
    version: int,
    moving: str,
    extra_routes: int = 0,
    *,
    warms_up: bool = False,
    limited: bool = False,
) -> dict[str, object]:
    """Returns a configuration as the operator publishes it.

    Args:
        version: The version number, which grows with each change.
        moving: The service that the route `moving` leads to.
        extra_routes: The number of additional routes, which no client uses.
        warms_up: Whether services declare a warm-up period and its flow rate.
        limited: Whether endpoints have slots; routes then state their
            priority and times, and a less urgent route is added.
    """
    warmup = {"warmupS": WARMUP_S, "warmupPerS": WARMUP_PER_S}
    targets = {**{name: name for name in SERVICES}, "moving": moving}
    if limited:
        targets[BULK] = SERVICES[0]
    return {
        "version": version,
        "routeTable": [
            {
                "name": route,
                "hostname": VIP,
                "prefix": f"/{PORTS[route]}/",
                "routeType": "non_idempotent",
                "service": service,
                **(_ROUTE_ATTRIBUTES[route] if limited else {}),
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
            for number in range(extra_routes)
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
