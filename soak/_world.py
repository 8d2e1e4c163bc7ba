"""Runs one seed: starts all parts, injects faults and checks invariants."""

import os
import pathlib
import random
import signal
import tempfile

import anyio
import anyio.abc

from soak import _invariants as invariants
from soak._clients import BULK, SERVICES, Callers, Client, Routers
from soak._endpoints import Endpoint, Endpoints, configuration
from soak._invariants import APPLY_S, Drain, Observations, RouteChange
from soak._plan import Plan, Result
from soak._proxy import Mode, Proxy
from soak._schedule import (
    ENDPOINT_FAULTS,
    FIRST_STORM_SEED,
    UNPLANNED,
    Fault,
    Kind,
    has_load,
    schedule,
)
from soak._vm import DATAGRAM_PORT, Vm
from standins import http
from standins.junk import JunkWriter
from standins.store import Fault as StoreFault
from standins.store import Store

ZONES = ("a", "b", "c")
STORE_PORT = 8169
START_TIMEOUT_S = 20.0
"""The time in seconds within which all VMs must be ready.

It is long enough for a busy machine.
"""

RECOVERY_WINDOW_S = 3.0
"""The length in seconds of the last part of a run, in which requests must be
answered."""

SETTLE_S = 4.0
"""Seconds to wait for pending requests at the end of a run.

Clients retransmit for three seconds.
"""

RESTART_DELAYS_S = (0.1, 0.5, 1.5)
DRAIN_S = APPLY_S + 3.0
"""How long an endpoint keeps serving while it drains, in seconds.

This is some seconds longer than new flows may arrive, so that a late flow is
observed.
"""

ADDRESS_REUSE_DELAY_S = 2.0
ENTRY_RETURN_S = 1.5
"""Seconds between the return of the store and that of the entries it lost."""

STORE_OUTAGE_S = 0.7
"""How long the store is down before it is restored from a copy, in seconds."""

LOST_VERSIONS = 3
"""The number of configurations that the restored copy lacks.

Only the last of them is written again, so that the revision of the store stays
behind the revision that the VMs know.
"""

UNDISTURBED_AFTER_S = 4.5
"""Seconds from an unplanned disturbance until time bounds hold again."""

LEASE_S = 3.6
"""Seconds after which an entry that is not renewed expires."""

STORM_ROUTES = 300
STORM_GAP_S = 0.1
"""The number of additional routes in each configuration of a storm, and the
seconds between two configurations."""

JUNK_GAP_S = 0.05
"""Seconds between two writes of junk."""

JUNK_ENTRY = {
    "service": SERVICES[0],
    "zone": ZONES[0],
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seqNo": 1,
}
"""A complete entry but for its address."""

CLIENT_ADDRESSES = 4
"""The number of client addresses in runs with limited endpoints."""

SPIKE_FACTOR = 8
"""The multiple of the usual clients of the less urgent route during a spike.

Their requests then exceed the slots of the service.
"""

SINGLE_ADDRESS_SHARE = 0.5
"""The share of spikes that come from one client address."""

LOSS_RATES = (0.02, 0.1)
_CUTS = (Mode.SLOW, Mode.RESET, Mode.SILENT, Mode.ONE_WAY)
_STORE_FAULTS = (StoreFault.DOWN, StoreFault.BUSY, StoreFault.SILENT)


class World:
    """The VMs of one run and their environment."""

    def __init__(self, plan: Plan, folder: pathlib.Path):
        net = f"127.{10 + os.getpid() % 200}"
        self._plan = plan
        self._net = net
        self._rng = random.Random(plan.seed)
        self._limited = has_load(plan.seed)
        self._store = Store()
        self._store_address = (f"{net}.2.1", STORE_PORT)
        self._endpoints = Endpoints(
            self._store, net, DATAGRAM_PORT, limited=self._limited
        )
        self._proxies: list[Proxy] = []
        self._vms: list[Vm] = []
        seeds = [f"{net}.3.{n}" for n in range(1, min(plan.vms, 3) + 1)]
        for number in range(1, plan.vms + 1):
            proxy_address = (f"{net}.2.{number + 1}", STORE_PORT)
            self._proxies.append(Proxy(*proxy_address, self._store_address))
            zone = ZONES[number % len(ZONES)]
            host = f"{net}.3.{number}"
            self._vms.append(
                Vm(
                    host,
                    zone,
                    seeds,
                    proxy_address,
                    folder,
                    plan.module,
                    APPLY_S,
                )
            )
        self._routers = Routers(self._vms, self._rng)
        addresses = CLIENT_ADDRESSES if self._limited else 1
        self._clients = [
            Client(f"{net}.1.{7 + n}", DATAGRAM_PORT, self._routers)
            for n in range(addresses)
        ]
        self._callers = Callers(self._clients, self._rng, limited=self._limited)
        self._published: dict[str, object] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._route_changes: list[RouteChange] = []
        self._drains: list[Drain] = []
        self._warms_up = plan.seed >= FIRST_STORM_SEED
        self._disturbances: list[tuple[float, float]] = []
        self._endpoint_faults: list[tuple[float, float]] = []

    async def run(self) -> Result:
        """Executes the run and returns its result."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._start(tasks)
                began = anyio.current_time()
                self._start_callers(tasks)
                faults = schedule(self._plan.seed, self._plan.seconds)
                for fault in faults:
                    tasks.start_soon(self._apply_fault, fault, began)
                await anyio.sleep(self._plan.seconds)
                self._callers.stopping = True
                await anyio.sleep(SETTLE_S)
                for vm in self._vms:
                    await vm.stop()
            finally:
                for vm in self._vms:
                    vm.kill()
                self._routers.close()
                for client in self._clients:
                    client.close()
                tasks.cancel_scope.cancel()
        return self._check(began, len(faults))

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        self._endpoints.set_task_group(tasks)
        await tasks.start(http.serve, self._store, *self._store_address)
        for proxy in self._proxies:
            await tasks.start(proxy.run)
        for service in SERVICES:
            for zone in ZONES:
                self._endpoints.start(service, zone)
        self._publish(SERVICES[0])
        for vm in self._vms:
            vm.start()
        with anyio.fail_after(START_TIMEOUT_S):
            for vm in self._vms:
                while not await vm.ready():
                    await anyio.sleep(0.05)
        tasks.start_soon(self._routers.run)
        for client in self._clients:
            tasks.start_soon(client.run)

    def _start_callers(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the clients of each route.

        Where endpoints are limited, those of the urgent and the less urgent
        route open a flow for each request, since admission control decides on
        new flows.
        """
        short = ("registry", BULK) if self._limited else ()
        long = [r for r in ("registry", "barcodes", "moving") if r not in short]
        for number in range(self._plan.clients):
            for route in short:
                tasks.start_soon(self._callers.run_short, route, number)
        for route in long:
            for number in range(self._plan.clients):
                tasks.start_soon(self._callers.run, route, number)

    def _check(self, began: float, faults: int) -> Result:
        observations = Observations(
            self._callers,
            self._endpoints,
            self._vms,
            self._route_changes,
            self._disturbances,
            began + self._plan.seconds - RECOVERY_WINDOW_S,
            self._drains,
            self._endpoint_faults,
        )
        answered = sum(asked.served for asked in self._callers.requests)
        sent = len(self._callers.requests)
        return Result(
            sent, answered, faults, invariants.find_violations(observations)
        )

    def _publish(self, service: str, extra_routes: int = 0) -> None:
        version = 3 + 7 * len(self._route_changes)
        published = configuration(
            version,
            service,
            extra_routes,
            warms_up=self._warms_up,
            limited=self._limited,
        )
        self._published = published
        self._store.put("op/config", published)
        self._route_changes.append(RouteChange(anyio.current_time(), service))

    async def _apply_fault(self, fault: Fault, began: float) -> None:
        await anyio.sleep_until(began + fault.at)
        start = anyio.current_time()
        disturbance = [start, float("inf")]
        if fault.kind in UNPLANNED:
            self._disturbances.append(disturbance)
        if fault.kind in ENDPOINT_FAULTS:
            self._endpoint_faults.append(disturbance)
        await _ACTIONS[fault.kind](self, fault)
        disturbance[1] = anyio.current_time()

    def _choose_vms(self, fault: Fault) -> list[Vm]:
        count = max(1, round(fault.share * len(self._vms)))
        return random.Random(fault.draw).sample(self._vms, count)

    def _choose_endpoint(self, fault: Fault) -> Endpoint | None:
        """Returns an endpoint whose service has at least one more, or None."""
        service = SERVICES[int(fault.draw * 1000) % len(SERVICES)]
        serving = self._endpoints.serving(service)
        if len(serving) < 2:
            return None
        return serving[int(fault.draw * len(serving))]

    async def _kill(self, fault: Fault) -> None:
        chosen = self._choose_vms(fault)
        for vm in chosen:
            vm.kill()
        await anyio.sleep(
            RESTART_DELAYS_S[int(fault.draw * len(RESTART_DELAYS_S))]
        )
        for vm in chosen:
            vm.start()
        await self._until_ready(chosen)

    async def _until_ready(self, vms: list[Vm]) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            for vm in vms:
                while vm.running and not await vm.ready():
                    await anyio.sleep(0.05)

    async def _freeze(self, fault: Fault) -> None:
        chosen = self._choose_vms(fault)
        for vm in chosen:
            vm.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        for vm in chosen:
            vm.signal(signal.SIGCONT)

    async def _stop(self, fault: Fault) -> None:
        vm = self._choose_vms(fault)[0]
        if not await vm.ready():
            return
        await vm.stop()
        await anyio.sleep(RESTART_DELAYS_S[0])
        vm.start()
        await self._until_ready([vm])

    async def _reload(self, fault: Fault) -> None:
        for vm in self._choose_vms(fault):
            if await vm.ready():
                vm.signal(signal.SIGHUP)

    async def _cut(self, fault: Fault) -> None:
        mode = _CUTS[int(fault.draw * len(_CUTS))]
        chosen = self._choose_vms(fault)
        proxies = [self._proxies[self._vms.index(vm)] for vm in chosen]
        for proxy in proxies:
            await proxy.set_mode(mode)
        await anyio.sleep(fault.for_s)
        for proxy in proxies:
            # Data that was dropped stays lost, so connections that were open
            # then keep their mode.
            await proxy.set_mode(Mode.PASS)

    async def _fail_store(self, fault: Fault) -> None:
        self._store.fault = _STORE_FAULTS[int(fault.draw * len(_STORE_FAULTS))]
        await anyio.sleep(fault.for_s)
        self._store.fault = StoreFault.NONE

    async def _compact(self, fault: Fault) -> None:
        self._store.compact()

    async def _restore(self, fault: Fault) -> None:
        """Restores the store from a copy that lacks the last writes.

        What was written while the fault lasted is lost. Afterwards the last
        configuration, the drains and the endpoints are written again.
        """
        copy = self._store.copy()
        for _ in range(LOST_VERSIONS):
            await self._configure(fault)
        await anyio.sleep(fault.for_s)
        self._store.fault = StoreFault.DOWN
        await anyio.sleep(STORE_OUTAGE_S)
        self._store.restore(copy)
        self._store.fault = StoreFault.NONE
        await anyio.sleep(ENTRY_RETURN_S * fault.draw)
        self._store.renew("op/config", self._published)
        for drain in self._drains:
            self._write_drain(drain)
        self._endpoints.rewrite_entries()
        self._tasks.start_soon(self._change_later, fault)

    async def _change_later(self, fault: Fault) -> None:
        """Changes the restored store when time bounds are checked again."""
        await anyio.sleep(LEASE_S)
        self._endpoints.delete_ended_entries()
        await anyio.sleep(UNDISTURBED_AFTER_S - LEASE_S)
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
            self._endpoints.delete_entry(endpoint)
        await anyio.sleep(fault.for_s / 2)
        self._store.fault = StoreFault.NONE
        await anyio.sleep(ENTRY_RETURN_S)
        for endpoint in lapsed:
            if endpoint.ended_at is None and endpoint.draining_at is None:
                self._endpoints.restore_entry(endpoint)

    async def _lose_packets(self, fault: Fault) -> None:
        self._routers.loss = LOSS_RATES[int(fault.draw * len(LOSS_RATES))]
        await anyio.sleep(fault.for_s)
        self._routers.loss = 0.0

    async def _crash(self, fault: Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if endpoint is None:
            return
        endpoint.disturbed_at = anyio.current_time()
        self._endpoints.end(endpoint, delete_entry=False)
        await anyio.sleep(fault.for_s)
        self._endpoints.delete_entry(endpoint)
        self._endpoints.start(endpoint.service, endpoint.zone)

    async def _hang(self, fault: Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if endpoint is None:
            return
        endpoint.hangs = True
        await anyio.sleep(fault.for_s)
        endpoint.hangs = False
        endpoint.disturbed_at = anyio.current_time()

    async def _leave(self, fault: Fault) -> None:
        endpoint = self._choose_endpoint(fault)
        if endpoint is None:
            return
        self._endpoints.drain(endpoint)
        self._endpoints.start(endpoint.service, endpoint.zone)
        await anyio.sleep(DRAIN_S)
        self._endpoints.end(endpoint, delete_entry=True)
        await anyio.sleep(ADDRESS_REUSE_DELAY_S)
        other = SERVICES[endpoint.service == SERVICES[0]]
        self._endpoints.start(other, endpoint.zone, endpoint.host)

    async def _join(self, fault: Fault) -> None:
        zone = ZONES[int(fault.draw * len(ZONES))]
        self._endpoints.start(SERVICES[int(fault.draw * 2)], zone)

    async def _configure(self, fault: Fault) -> None:
        last = self._route_changes[-1].service
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
                self._endpoints.start_warmup(endpoint)
        drain.until = anyio.current_time()
        self._store.delete(f"op/evacuate/{zone}")

    async def _spike(self, fault: Fault) -> None:
        """Adds clients of the less urgent route, of one or of all addresses."""
        until = anyio.current_time() + fault.for_s
        one_address = fault.draw < SINGLE_ADDRESS_SHARE
        for number in range((SPIKE_FACTOR - 1) * self._plan.clients):
            address = 0 if one_address else number
            self._tasks.start_soon(
                self._callers.run_short, BULK, address, until
            )
        await anyio.sleep(fault.for_s)

    async def _write_junk(self, fault: Fault) -> None:
        """Writes junk entries as fast as some heartbeats."""
        entry = {**JUNK_ENTRY, "address": f"{self._net}.9.9:9"}
        living = {e.name: int(e.name[2:], 16) for e in self._endpoints.up}
        writer = JunkWriter(random.Random(fault.draw), entry, living)
        until = anyio.current_time() + fault.for_s
        while anyio.current_time() < until:
            key, value = writer.draw()
            if value is None:
                self._store.delete(key)
            else:
                self._store.put(key, value)
            await anyio.sleep(JUNK_GAP_S)

    async def _silence_idle(self, fault: Fault) -> None:
        """Silences the open connections of some VMs to the store."""
        for vm in self._choose_vms(fault):
            self._proxies[self._vms.index(vm)].silence_open()

    async def _storm(self, fault: Fault) -> None:
        until = anyio.current_time() + fault.for_s
        while anyio.current_time() < until:
            last = self._route_changes[-1].service
            self._publish(SERVICES[last == SERVICES[0]], STORM_ROUTES)
            await anyio.sleep(STORM_GAP_S)


_ACTIONS = {
    Kind.KILL: World._kill,
    Kind.FREEZE: World._freeze,
    Kind.STOP: World._stop,
    Kind.RELOAD: World._reload,
    Kind.CUT: World._cut,
    Kind.STORE: World._fail_store,
    Kind.COMPACT: World._compact,
    Kind.LAPSE: World._lapse,
    Kind.LOSS: World._lose_packets,
    Kind.CRASH: World._crash,
    Kind.HANG: World._hang,
    Kind.LEAVE: World._leave,
    Kind.JOIN: World._join,
    Kind.CONFIGURE: World._configure,
    Kind.DRAIN_ZONE: World._drain_zone,
    Kind.STORM: World._storm,
    Kind.RESTORE: World._restore,
    Kind.SPIKE: World._spike,
    Kind.JUNK: World._write_junk,
    Kind.IDLE: World._silence_idle,
}


def run_plan(plan: Plan) -> Result:
    """Executes one run; its files are deleted afterwards."""
    with tempfile.TemporaryDirectory(prefix="pollenmast-soak-") as folder:
        return anyio.run(World(plan, pathlib.Path(folder)).run)
