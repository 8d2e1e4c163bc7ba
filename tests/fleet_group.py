"""Test fixtures: VMs that follow one store and gossip, without a network."""

import random

import anyio
import trio
import trio.testing
from result import Err, Ok
from testtools import TestCase

from pollenmast import http1
from pollenmast.counters import Counters, Histograms
from pollenmast.entry._follow import Follower
from pollenmast.entry._gossip import Gossip
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._site import HttpHandler
from pollenmast.events import EventLog
from pollenmast.http1 import HttpFault, Response
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._store import StoreDirectory
from pollenmast.steering import Steering
from standins.store import Store
from tests import store_group
from tests.platform_entries_test import CONFIGURATION, ENTRY

STORE = "10.200.0.1"
APPLY_S = 3.0
RESPONSE_TIME_S = 0.004
"""The response time of the store in seconds."""

STARTUP_S = 4.0
"""Seconds until each zone has readers and all VMs have the same state."""


class _PeerConnection:
    """Sends requests to another VM in memory."""

    def __init__(self, site: HttpHandler | None):
        self._site = site

    async def get(self, target: str, timeouts, most=None):
        if self._site is None:
            return Err(HttpFault.UNREACHABLE)
        response = await self._site.answer(http1.Request("GET", target))
        return Ok(Response(response.status, response.body))

    async def aclose(self) -> None:
        """Does nothing, as there is no real connection."""


class _StoreConnection:
    """Sends requests to the store; they time out while the VM is cut off."""

    def __init__(self, store: store_group.Connection, cut_off, host: str):
        self._store = store
        self._cut_off = cut_off
        self._host = host
        self.sent_bytes = 0

    async def get(self, target: str, timeouts, most=None):
        if self._host in self._cut_off:
            await anyio.sleep(timeouts.first_s)
            return Err(HttpFault.TIMEOUT)
        return await self._store.get(target, timeouts, most)

    async def aclose(self) -> None:
        """Does nothing, as there is no real connection."""


class _MemoryGossip(Gossip):
    """Gossip whose datagrams are delivered in memory."""

    def __init__(self, fleet: "Fleet", vm: "FleetVm", peers: PeerReader):
        super().__init__(
            vm.host,
            vm.zone,
            ("127.0.0.1", 0),
            tuple((seed, 1) for seed in fleet.seeds),
            vm.core,
            peers,
            Counters(),
            random.Random(vm.host),
        )
        self._fleet = fleet
        self._host = vm.host
        self._members = type(self._members)(vm.host, vm.zone, fleet.seeds)

    def _send(self, datagram, host):
        vm = self._fleet.vms.get(host)
        if vm is not None and host not in self._fleet.deaf:
            now = anyio.current_time()
            vm.gossip.on_datagram(datagram, self._host, now)


class FleetVm:
    """The state of one VM and the components that keep it up to date."""

    def __init__(self, fleet: "Fleet", host: str, zone: str):
        self.host = host
        self.zone = zone
        self.core = Steering(zone, Counters(), random.Random(host))
        log = EventLog("t", host)
        self.follower = Follower(
            StoreDirectory(f"{STORE} {host}", 1, Counters()),
            self.core,
            Histograms(),
            log,
            APPLY_S,
            random.Random(host),
        )
        seeds = tuple((seed, 1) for seed in fleet.seeds)
        self.peers = PeerReader(
            seeds,
            (host, 1),
            self.core,
            self.follower,
            log,
            PlatformPackets(8172).identify,
        )
        self.gossip = _MemoryGossip(fleet, self, self.peers)
        self.site = HttpHandler("/ready", self.core, Counters(), Histograms())
        self.follower.divide_watching(
            self.gossip.is_reader, self.gossip.schedule_broadcast
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.peers.catch_up)
            tasks.start_soon(self.gossip.send)
            tasks.start_soon(self.gossip.run_broadcasts)
            tasks.start_soon(self._tick)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(0.5)
            self.core.tick(anyio.current_time())


class Fleet:
    """A store and the VMs that follow it.

    Attributes:
        store: The store.
        vms: The VMs by address.
        seeds: The addresses of the seed nodes.
        cut_off: Addresses of VMs that get no response from the store.
        deaf: Addresses of VMs that receive no gossip.
    """

    def __init__(self, test: TestCase, zones: dict[str, int]):
        self.store = Store()
        self.cut_off: set[str] = set()
        self.deaf: set[str] = set()
        hosts = [
            (f"10.{index}.0.{number}", zone)
            for index, (zone, count) in enumerate(zones.items(), 1)
            for number in range(1, count + 1)
        ]
        self.seeds = [host for host, _ in hosts[:3]]
        self.vms: dict[str, FleetVm] = {}
        self._link = store_group.Link()
        test.patch(http1, "Connection", self._connect)
        for host, zone in hosts:
            self.add(test, host, zone)

    def add(self, test: TestCase, host: str, zone: str) -> FleetVm:
        """Adds a VM; if the fleet is running, the caller has to run the VM."""
        vm = self.vms[host] = FleetVm(self, host, zone)
        test.addCleanup(vm.gossip.close)
        return vm

    def _connect(
        self, host: str, port: int, most: int = 0, max_idle_s: float = 0.0
    ):
        store, _, asker = host.partition(" ")
        if store == STORE:
            connection = store_group.Connection(self.store, self._link)
            return _StoreConnection(connection, self.cut_off, asker)
        vm = self.vms.get(host)
        return _PeerConnection(vm.site if vm is not None else None)

    def lacking(self, holds) -> list[str]:
        """Returns the addresses of VMs whose core does not meet a condition."""
        return [host for host, vm in self.vms.items() if not holds(vm.core)]


class FleetCase(TestCase):
    """A test case with two zones, one with more VMs than store readers."""

    def setUp(self):
        """Creates the VMs and a store with two endpoints."""
        super().setUp()
        self.fleet = Fleet(self, {"pos-frederick": 5, "pos-woodbrook": 3})
        self.store = self.fleet.store
        self.store.delay_s = RESPONSE_TIME_S
        self.publish(7)
        for number in (1, 2):
            self.announce(number)

    def publish(self, version: int) -> None:
        """Writes a configuration to the store."""
        entry = {**CONFIGURATION, "version": version}
        self.store.put("op/config", entry)

    def announce(self, number: int, **fields) -> None:
        """Writes an endpoint's entry to the store."""
        self.store.put(name_key(number), {**ENTRY, **fields})

    def play(self, script) -> None:
        """Starts the fleet and runs a script against it with a mock clock."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for vm in self.fleet.vms.values():
                    tasks.start_soon(vm.run)
                await anyio.sleep(STARTUP_S)
                await script(tasks)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)


def name(number: int) -> str:
    """Returns an endpoint's name."""
    return f"i-{number:010x}"


def name_key(number: int) -> str:
    """Returns the key of an endpoint's entry."""
    return f"servers/{name(number)}"
