"""One run: starts everything, lets the faults happen, and judges."""

import os
import pathlib
import random
import signal
import tempfile

import anyio
import anyio.abc

from soak import _promises as promises
from soak._clients import SERVICES, Callers, Client, Routers
from soak._endpoints import Endpoint, Endpoints, configuration
from soak._plan import Plan, Result
from soak._promises import APPLY_S, Drain, Flip, Seen
from soak._proxy import Mode, Proxy
from soak._schedule import (
    FIRST_LATER_SEED,
    UNPLANNED,
    Fault,
    Kind,
    schedule,
)
from soak._vm import PACKETS, Vm
from standins import http
from standins.store import Fault as StoreFault
from standins.store import Store

ZONES = ("a", "b", "c")
STORE_PORT = 8169
START_S = 20.0
"""Within which every VM must be ready, on a busy machine too."""

JUDGE_S = 3.0
"""The last part of a run, in which requests must be answered."""

SETTLE_S = 4.0
"""For requests under way at the end; a client repeats for three seconds."""

RESTART_S = (0.1, 0.5, 1.5)
DRAIN_S = APPLY_S + 3.0
"""How long an endpoint serves after it said that it leaves: some seconds longer
than new flows may come, so that a late one is seen."""

REUSE_S = 2.0
BACK_S = 1.5
"""Entries that lapsed are back so soon after the store."""

AWAY_S = 0.7
"""How long the store is away before it is back from a copy."""

LOST_VERSIONS = 3
"""Configurations that the copy lacks. Only the last is written again, so that
the store's revision stays behind what the VMs know."""

CALM_S = 4.5
"""After an unplanned disturbance, until rules with a bound hold again."""

LEASE_S = 3.6
"""An entry that nobody writes again vanishes after so long."""

STORM_ROUTES = 300
STORM_GAP_S = 0.1
"""Routes of a storm's configurations, and the pause between two of them."""

LOSS = (0.02, 0.1)
_CUTS = (Mode.SLOW, Mode.RESET, Mode.SILENT, Mode.ONE_WAY)
_STORE_FAULTS = (StoreFault.DOWN, StoreFault.BUSY, StoreFault.SILENT)


class World:
    """Everything around the VMs of one run."""

    def __init__(self, plan: Plan, folder: pathlib.Path):
        net = f"127.{10 + os.getpid() % 200}"
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._store = Store()
        self._store_address = (f"{net}.2.1", STORE_PORT)
        self._endpoints = Endpoints(self._store, net, PACKETS)
        self._proxies: list[Proxy] = []
        self._vms: list[Vm] = []
        seeds = [f"{net}.3.{n}" for n in range(1, min(plan.vms, 3) + 1)]
        for number in range(1, plan.vms + 1):
            way = (f"{net}.2.{number + 1}", STORE_PORT)
            self._proxies.append(Proxy(*way, self._store_address))
            zone = ZONES[number % len(ZONES)]
            host = f"{net}.3.{number}"
            self._vms.append(
                Vm(host, zone, seeds, way, folder, plan.module, APPLY_S)
            )
        self._routers = Routers(self._vms, self._rng)
        self._client = Client(f"{net}.1.7", PACKETS, self._routers)
        self._callers = Callers(self._client, self._rng)
        self._published: dict[str, object] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._flips: list[Flip] = []
        self._drains: list[Drain] = []
        self._warms_up = plan.seed >= FIRST_LATER_SEED
        self._troubles: list[tuple[float, float]] = []

    async def run(self) -> Result:
        """Plays the run."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._start(tasks)
                began = anyio.current_time()
                for route in ("registry", "barcodes", "moving"):
                    for _ in range(self._plan.clients):
                        tasks.start_soon(self._callers.run, route)
                faults = schedule(self._plan.seed, self._plan.seconds)
                for fault in faults:
                    tasks.start_soon(self._play, fault, began)
                await anyio.sleep(self._plan.seconds)
                self._callers.stopping = True
                await anyio.sleep(SETTLE_S)
                for vm in self._vms:
                    await vm.stop()
            finally:
                for vm in self._vms:
                    vm.kill()
                self._routers.close()
                self._client.close()
                tasks.cancel_scope.cancel()
        return self._judge(began, len(faults))

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        self._endpoints.join(tasks)
        await tasks.start(http.serve, self._store, *self._store_address)
        for proxy in self._proxies:
            await tasks.start(proxy.run)
        for service in SERVICES:
            for zone in ZONES:
                self._endpoints.start(service, zone)
        self._publish(SERVICES[0])
        for vm in self._vms:
            vm.start()
        with anyio.fail_after(START_S):
            for vm in self._vms:
                while not await vm.ready():
                    await anyio.sleep(0.05)
        tasks.start_soon(self._routers.run)
        tasks.start_soon(self._client.run)

    def _judge(self, began: float, faults: int) -> Result:
        seen = Seen(
            self._callers,
            self._endpoints,
            self._vms,
            self._flips,
            self._troubles,
            began + self._plan.seconds - JUDGE_S,
            self._drains,
        )
        answered = sum(bool(asked.answer) for asked in self._callers.asked)
        asked = len(self._callers.asked)
        return Result(asked, answered, faults, promises.broken(seen))

    def _publish(self, service: str, more: int = 0) -> None:
        version = 3 + 7 * len(self._flips)
        published = configuration(
            version, service, more, warms_up=self._warms_up
        )
        self._published = published
        self._store.put("op/config", published)
        self._flips.append(Flip(anyio.current_time(), service))

    async def _play(self, fault: Fault, began: float) -> None:
        await anyio.sleep_until(began + fault.at)
        start = anyio.current_time()
        trouble = [start, float("inf")]
        if fault.kind in UNPLANNED:
            self._troubles.append(trouble)
        await _ACTIONS[fault.kind](self, fault)
        trouble[1] = anyio.current_time()

    def _chosen(self, fault: Fault) -> list[Vm]:
        count = max(1, round(fault.share * len(self._vms)))
        return random.Random(fault.draw).sample(self._vms, count)

    def _endpoint(self, fault: Fault) -> Endpoint | None:
        """Returns an endpoint whose loss leaves its service another one."""
        service = SERVICES[int(fault.draw * 1000) % len(SERVICES)]
        serving = self._endpoints.serving(service)
        if len(serving) < 2:
            return None
        return serving[int(fault.draw * len(serving))]

    async def _kill(self, fault: Fault) -> None:
        chosen = self._chosen(fault)
        for vm in chosen:
            vm.kill()
        await anyio.sleep(RESTART_S[int(fault.draw * len(RESTART_S))])
        for vm in chosen:
            vm.start()
        await self._until_ready(chosen)

    async def _until_ready(self, vms: list[Vm]) -> None:
        with anyio.move_on_after(START_S):
            for vm in vms:
                while vm.running and not await vm.ready():
                    await anyio.sleep(0.05)

    async def _freeze(self, fault: Fault) -> None:
        chosen = self._chosen(fault)
        for vm in chosen:
            vm.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        for vm in chosen:
            vm.signal(signal.SIGCONT)

    async def _stop(self, fault: Fault) -> None:
        vm = self._chosen(fault)[0]
        if not await vm.ready():
            return
        await vm.stop()
        await anyio.sleep(RESTART_S[0])
        vm.start()
        await self._until_ready([vm])

    async def _reload(self, fault: Fault) -> None:
        for vm in self._chosen(fault):
            if await vm.ready():
                vm.signal(signal.SIGHUP)

    async def _cut(self, fault: Fault) -> None:
        mode = _CUTS[int(fault.draw * len(_CUTS))]
        chosen = self._chosen(fault)
        ways = [self._proxies[self._vms.index(vm)] for vm in chosen]
        for way in ways:
            await way.set(mode)
        await anyio.sleep(fault.for_s)
        for way in ways:
            # What was swallowed stays lost on the connections of before.
            await way.set(Mode.PASS)

    async def _misbehave(self, fault: Fault) -> None:
        self._store.fault = _STORE_FAULTS[int(fault.draw * len(_STORE_FAULTS))]
        await anyio.sleep(fault.for_s)
        self._store.fault = StoreFault.NONE

    async def _compact(self, fault: Fault) -> None:
        self._store.compact()

    async def _restore(self, fault: Fault) -> None:
        """What is written while the fault lasts is lost, and written again."""
        copy = self._store.copy()
        for _ in range(LOST_VERSIONS):
            await self._configure(fault)
        await anyio.sleep(fault.for_s)
        self._store.fault = StoreFault.DOWN
        await anyio.sleep(AWAY_S)
        self._store.restore(copy)
        self._store.fault = StoreFault.NONE
        await anyio.sleep(BACK_S * fault.draw)
        self._store.renew("op/config", self._published)
        for drain in self._drains:
            self._write_drain(drain)
        self._endpoints.write_again()
        self._tasks.start_soon(self._change_later, fault)

    async def _change_later(self, fault: Fault) -> None:
        """The restored store is written to once its return is no excuse."""
        await anyio.sleep(LEASE_S)
        self._endpoints.lapse_ended()
        await anyio.sleep(CALM_S - LEASE_S)
        await self._configure(fault)

    def _write_drain(self, drain: Drain) -> None:
        key = f"op/evacuate/{drain.zone}"
        if drain.until == float("inf"):
            self._store.renew(key, {})
        else:
            self._store.delete(key)

    async def _lapse(self, fault: Fault) -> None:
        self._store.fault = StoreFault.DOWN
        await anyio.sleep(fault.for_s / 2)
        lapsed = [e for e in self._endpoints.up if e.draining_at is None]
        for endpoint in lapsed:
            self._endpoints.lapse(endpoint)
        await anyio.sleep(fault.for_s / 2)
        self._store.fault = StoreFault.NONE
        await anyio.sleep(BACK_S)
        for endpoint in lapsed:
            if endpoint.ended_at is None and endpoint.draining_at is None:
                self._endpoints.back(endpoint)

    async def _lose(self, fault: Fault) -> None:
        self._routers.loss = LOSS[int(fault.draw * len(LOSS))]
        await anyio.sleep(fault.for_s)
        self._routers.loss = 0.0

    async def _crash(self, fault: Fault) -> None:
        endpoint = self._endpoint(fault)
        if endpoint is None:
            return
        endpoint.disturbed_at = anyio.current_time()
        self._endpoints.end(endpoint, tell=False)
        await anyio.sleep(fault.for_s)
        self._endpoints.lapse(endpoint)
        self._endpoints.start(endpoint.service, endpoint.zone)

    async def _hang(self, fault: Fault) -> None:
        endpoint = self._endpoint(fault)
        if endpoint is None:
            return
        endpoint.hangs = True
        await anyio.sleep(fault.for_s)
        endpoint.hangs = False
        endpoint.disturbed_at = anyio.current_time()

    async def _leave(self, fault: Fault) -> None:
        endpoint = self._endpoint(fault)
        if endpoint is None:
            return
        self._endpoints.drain(endpoint)
        self._endpoints.start(endpoint.service, endpoint.zone)
        await anyio.sleep(DRAIN_S)
        self._endpoints.end(endpoint, tell=True)
        await anyio.sleep(REUSE_S)
        other = SERVICES[endpoint.service == SERVICES[0]]
        self._endpoints.start(other, endpoint.zone, endpoint.host)

    async def _join(self, fault: Fault) -> None:
        zone = ZONES[int(fault.draw * len(ZONES))]
        self._endpoints.start(SERVICES[int(fault.draw * 2)], zone)

    async def _configure(self, fault: Fault) -> None:
        last = self._flips[-1].service
        self._publish(SERVICES[last == SERVICES[0]])

    async def _drain_zone(self, fault: Fault) -> None:
        zone = ZONES[int(fault.draw * len(ZONES))]
        if any(
            d.zone == zone and d.until == float("inf") for d in self._drains
        ):
            return
        self._store.put(f"op/evacuate/{zone}", {})
        drain = Drain(zone, anyio.current_time())
        self._drains.append(drain)
        await anyio.sleep(fault.for_s)
        for endpoint in self._endpoints.up:
            if endpoint.zone == zone:
                self._endpoints.cool(endpoint)
        drain.until = anyio.current_time()
        self._store.delete(f"op/evacuate/{zone}")

    async def _storm(self, fault: Fault) -> None:
        until = anyio.current_time() + fault.for_s
        while anyio.current_time() < until:
            last = self._flips[-1].service
            self._publish(SERVICES[last == SERVICES[0]], STORM_ROUTES)
            await anyio.sleep(STORM_GAP_S)


_ACTIONS = {
    Kind.KILL: World._kill,
    Kind.FREEZE: World._freeze,
    Kind.STOP: World._stop,
    Kind.RELOAD: World._reload,
    Kind.CUT: World._cut,
    Kind.STORE: World._misbehave,
    Kind.COMPACT: World._compact,
    Kind.LAPSE: World._lapse,
    Kind.LOSS: World._lose,
    Kind.CRASH: World._crash,
    Kind.HANG: World._hang,
    Kind.LEAVE: World._leave,
    Kind.JOIN: World._join,
    Kind.CONFIGURE: World._configure,
    Kind.DRAIN_ZONE: World._drain_zone,
    Kind.STORM: World._storm,
    Kind.RESTORE: World._restore,
}


def play(plan: Plan) -> Result:
    """Plays one run; its files are gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="pollenmast-soak-") as folder:
        return anyio.run(World(plan, pathlib.Path(folder)).run)
