"""Tests of entry._gossip among many VMs, on a network kept in memory."""

import collections
import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._gossip import REPORT_INTERVAL_S, SOLE_VM_ROUNDS, Gossip
from pollenmast.steering import CheckResult, EndpointAnnounced, Update
from pollenmast.steering._load import REPORT_LIFE_S
from tests import steering_group as group

ENDPOINTS = [group.endpoint(n) for n in range(1, 11)]
FIRST_REVISION = 10


class _Peers:
    """Takes changes in as the program does, and notes what it cannot."""

    def __init__(self, core):
        self._core = core
        self.peers_ahead = []

    def on_update(self, body, host):
        self._core.apply(snapshot.decode(body).ok_value, 0.0)

    def on_peer_ahead(self, host, revision):
        self.peers_ahead.append(host)


class _Vm(Gossip):
    """A VM whose messages go through memory."""

    def __init__(self, network, host, zone, seeds):
        self.core = group.steering(*ENDPOINTS, zone=zone)
        self.peers = _Peers(self.core)
        self.network = network
        self.name = host
        address = ("127.0.0.1", 0)
        rng = random.Random(host)
        seed_addresses = tuple((seed, 0) for seed in seeds)
        super().__init__(
            f"vm {host}",
            zone,
            address,
            seed_addresses,
            self.core,
            self.peers,
            Counters(),
            rng,
        )
        self._host = host
        self._members = type(self._members)(host, zone, seeds)

    def _send(self, datagram, host):
        self.network.send(self.name, host, datagram)


class _Network:
    """Some VMs, the messages under way, and how many each one sent."""

    def __init__(self, zones: dict[str, int]):
        self.now = 0.0
        self.sent = collections.Counter()
        self.down = set()
        self.queue = []
        names = [
            (f"{zone}.{n}", zone) for zone in zones for n in range(zones[zone])
        ]
        seeds = [name for name, _ in names[:3]]
        self.vms = {name: _Vm(self, name, zone, seeds) for name, zone in names}

    def close(self):
        for vm in self.vms.values():
            vm.close()

    def send(self, sender, host, datagram):
        self.sent[sender] += 1
        if host in self.vms and host not in self.down:
            self.queue.append((sender, host, datagram))

    def deliver(self):
        while self.queue:
            sender, host, datagram = self.queue.pop(0)
            self.vms[host].take(datagram, sender, self.now)

    def round(self, count: int = 1):
        for _ in range(count):
            self.now += REPORT_INTERVAL_S
            for name, vm in self.vms.items():
                if name not in self.down:
                    vm.send_reports(self.now)
                    self.deliver()

    def up(self):
        return [vm for name, vm in self.vms.items() if name not in self.down]

    def readers(self, zone: str):
        found = []
        for vm in self.up():
            if vm.name.startswith(zone) and vm._members.is_reader(self.now):
                found.append(vm.name)
        return found


class SharersTest(TestCase):
    """Which VMs each one shares a cold endpoint's allowance with."""

    @parameterized.expand([("small", 6), ("usual", 62), ("great", 150)])
    def test_start(self, _, vms):
        """All VMs of a zone start at once and learn of each other by and by.

        One that knows only some of them would take a part that is too large.
        """
        network = _Network({"pos-frederick": vms, "pos-woodbrook": 3})
        self.addCleanup(network.close)
        shares = 0
        for _ in range(30):
            network.round()
            for name, vm in network.vms.items():
                sharers = vm.sharers_at(network.now)
                if sharers is None or not name.startswith("pos-frederick"):
                    continue
                shares += 1
                self.assertEqual(vms, len(sharers[1]) + 1)
        self.assertGreater(shares, 0)

    def test_alone(self):
        """The only VM of a fleet has the whole allowance, after a while."""
        network = _Network({"pos-frederick": 1})
        self.addCleanup(network.close)
        vm = network.vms["pos-frederick.0"]
        network.round()
        self.assertIsNone(vm.sharers_at(network.now))
        network.round(SOLE_VM_ROUNDS)
        self.assertEqual(("pos-frederick.0", []), vm.sharers_at(network.now))


class FleetTest(TestCase):
    """What every VM comes to know, and what it costs."""

    def _network(self, **zones: int) -> _Network:
        network = _Network(zones)
        self.addCleanup(network.close)
        return network

    def _work(self, network: _Network, rounds: int = 12) -> None:
        """Each VM sends two requests a second to each endpoint."""
        for _ in range(rounds):
            for vm in network.up():
                for endpoint in ENDPOINTS:
                    vm.core.load.on_work(endpoint.number, network.now)
            network.round()

    def _assert_known(self, network: _Network, vms: int) -> None:
        """Each VM knows the work of so many, but for the latest tenths."""
        self.assertGreaterEqual(self._least_known(network), 0.7 * 2.0 * vms)

    def _least_known(self, network: _Network) -> float:
        """Returns the least load that any VM believes of any endpoint."""
        return min(
            vm.core.load.rate(each.number, network.now)
            for vm in network.up()
            for each in ENDPOINTS
        )

    @parameterized.expand(
        [("one_zone", {"a": 2}), ("many", {"a": 9, "b": 7, "c": 1})]
    )
    def test_total(self, _, zones):
        """Each VM knows the load that all of them send together.

        By its own part alone it would send all its flows to an endpoint
        that the others have filled.
        """
        network = self._network(**zones)
        network.round(6)
        self._work(network)
        self._assert_known(network, len(network.vms))

    def test_cost_does_not_grow(self):
        """Four times as many VMs: each still sends two messages a second."""
        sent = {}
        for count in (10, 40):
            network = self._network(a=count)
            network.round(12)
            network.sent.clear()
            network.round(4)
            readers = network.readers("a")
            plain = [n for n in network.vms if n not in readers]
            sent[count] = max(network.sent[name] for name in plain)
        self.assertEqual(sent[10], sent[40])
        self.assertLessEqual(sent[40], 5)

    def test_agreed_readers(self):
        """Two VMs of a zone watch the directory, and all know which."""
        network = self._network(a=20, b=3)
        network.round(12)
        self.assertEqual(2, len(network.readers("a")))
        self.assertEqual(1, len(network.readers("b")))

    def test_readers_die(self):
        """Both readers of a zone lose power at the same moment.

        The others notice that nobody answers, choose two anew, and know the
        load again a few seconds later.
        """
        network = self._network(a=12)
        network.round(12)
        lost = network.readers("a")
        network.down.update(lost)
        network.round(16)
        readers = network.readers("a")
        self.assertEqual(2, len(readers))
        self.assertFalse(set(lost) & set(readers))
        self._work(network)
        self._assert_known(network, 10)

    def test_cut_heals(self):
        """Two zones were cut from each other for ten seconds.

        They find each other again without the settings' seeds, which are
        all in one of them.
        """
        network = self._network(a=6, b=6)
        network.round(12)
        cut = {name for name in network.vms if name.startswith("b")}
        inner = network.send

        def send(sender, host, datagram):
            if (sender in cut) == (host in cut):
                inner(sender, host, datagram)

        network.send = send
        network.round(int(10 / REPORT_INTERVAL_S))
        network.send = inner
        network.round(int(8 / REPORT_INTERVAL_S))
        self._work(network)
        self._assert_known(network, 12)

    def test_news(self):
        """An endpoint is announced; each VM knows it from one message.

        Asked for over a connection by each VM, a release would cost more
        than the requests that it serves.
        """
        network = self._network(a=9)
        network.round(12)
        for vm in network.vms.values():
            vm.broadcast_changes(network.now)
        news = EndpointAnnounced(group.endpoint(11), 11)
        for name in network.readers("a"):
            core = network.vms[name].core
            core.apply(Update((news,), 11), network.now)
        network.sent.clear()
        for vm in network.vms.values():
            vm.broadcast_changes(network.now)
        network.deliver()
        self.assertEqual(9 - 2, network.sent.total())
        revisions = {vm.core.revision for vm in network.vms.values()}
        self.assertEqual({11}, revisions)

    def test_lost_news(self):
        """The message with the news was lost; the next answer has it."""
        network = self._network(a=3)
        network.round(12)
        reader = network.readers("a")[0]
        news = EndpointAnnounced(group.endpoint(11), 11)
        network.vms[reader].core.apply(Update((news,), 11), network.now)
        network.round()
        for vm in network.vms.values():
            self.assertEqual(11, vm.core.revision)
            self.assertEqual([], vm.peers.peers_ahead)

    def _checking(self, network: _Network) -> list[str]:
        return [
            vm.name for vm in network.up() if vm.core.due_checks(network.now)
        ]

    def test_false_report(self):
        """A slow VM takes ten living endpoints for dead and reports them.

        If all VMs asked at once, the endpoints' machines could not take the
        connections, more checks would fail, and more would be reported.
        """
        network = self._network(a=12)
        network.round(12)
        readers = network.readers("a")
        slow = next(vm for n, vm in network.vms.items() if n not in readers)
        for endpoint in ENDPOINTS:
            record = slow.core.catalog.get(endpoint.name)
            record.health.on_check(CheckResult.REFUSED, network.now)
        network.round(2)
        asking = set(self._checking(network)) - {slow.name}
        self.assertEqual(set(readers), asking)

    def test_dead_endpoint(self):
        """A reader finds an endpoint dead; a VM with flows there asks too.

        Its idle clients have to be told; the others only keep away.
        """
        network = self._network(a=12)
        network.round(12)
        readers = network.readers("a")
        dead = ENDPOINTS[0]
        for name in readers:
            record = network.vms[name].core.catalog.get(dead.name)
            record.health.on_check(CheckResult.REFUSED, network.now)
        plain = [vm for n, vm in network.vms.items() if n not in readers]
        opened = group.segment(group.flow(1), dead.token)
        plain[0].core.on_segment(opened, network.now)
        network.round(2)
        asking = set(self._checking(network)) - set(readers)
        self.assertEqual({plain[0].name}, asking)
        health = plain[1].core.catalog.get(dead.name).health
        self.assertFalse(health.is_sure(network.now))

    def test_load_is_forgotten(self):
        """A VM dies with its load; the total follows within seconds."""
        network = self._network(a=5)
        network.round(12)
        self._work(network)
        network.now += REPORT_LIFE_S
        network.round(4)
        self.assertEqual(0.0, self._least_known(network))
