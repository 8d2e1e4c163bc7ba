"""Tests of entry._gossip with many VMs on an in-memory network."""

import collections
import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._gossip import REPORT_INTERVAL_S, SOLE_VM_ROUNDS, Gossip
from pollenmast.steering import CheckResult, EndpointAnnounced, Update
from pollenmast.steering._load import REPORT_MAX_AGE_S
from tests import steering_group as group

ENDPOINTS = [group.endpoint(n) for n in range(1, 11)]
FIRST_REVISION = 10


class _Peers:
    """Applies updates as the program does, and records peers that are ahead."""

    def __init__(self, core):
        self._core = core
        self.peers_ahead = []

    def on_update(self, body, host):
        self._core.apply(snapshot.decode(body).ok_value, 0.0)

    def on_peer_ahead(self, host, revision):
        self.peers_ahead.append(host)


class _Vm(Gossip):
    """A VM that sends its messages over the in-memory network."""

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
    """VMs, the messages in transit, and the number that each VM has sent."""

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
            self.vms[host].on_datagram(datagram, sender, self.now)

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
    """Which VMs share the allowance of an endpoint that is warming up."""

    @parameterized.expand([("small", 6), ("usual", 62), ("great", 150)])
    def test_start(self, _, vms):
        """All VMs of a zone start at once and discover each other gradually.

        A VM that knows only some of them would claim too large a share.
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

    def test_sole_vm(self):
        """The only VM of a fleet gets the whole allowance after some rounds."""
        network = _Network({"pos-frederick": 1})
        self.addCleanup(network.close)
        vm = network.vms["pos-frederick.0"]
        network.round()
        self.assertIsNone(vm.sharers_at(network.now))
        network.round(SOLE_VM_ROUNDS)
        self.assertEqual(("pos-frederick.0", []), vm.sharers_at(network.now))


class FleetTest(TestCase):
    """How information spreads to all VMs, and how many messages it takes."""

    def _network(self, **zones: int) -> _Network:
        network = _Network(zones)
        self.addCleanup(network.close)
        return network

    def _send_load(self, network: _Network, rounds: int = 12) -> None:
        """Simulates two requests per second from each VM to each endpoint."""
        for _ in range(rounds):
            for vm in network.up():
                for endpoint in ENDPOINTS:
                    vm.core.load.on_request(endpoint.number, network.now)
            network.round()

    def _assert_load_known(self, network: _Network, vms: int) -> None:
        """Asserts that each VM knows the load that so many VMs send.

        A tolerance of 30 % allows for the load of the last tenths of a second.
        """
        self.assertGreaterEqual(
            self._lowest_known_load(network), 0.7 * 2.0 * vms
        )

    def _lowest_known_load(self, network: _Network) -> float:
        """Returns the lowest load that any VM assumes for any endpoint."""
        return min(
            vm.core.load.rate(each.number, network.now)
            for vm in network.up()
            for each in ENDPOINTS
        )

    @parameterized.expand(
        [("one_zone", {"a": 2}), ("many", {"a": 9, "b": 7, "c": 1})]
    )
    def test_total(self, _, zones):
        """Each VM knows the total load that all VMs send.

        Knowing only its own part, it would send all its flows to an endpoint
        that the others have filled.
        """
        network = self._network(**zones)
        network.round(6)
        self._send_load(network)
        self._assert_load_known(network, len(network.vms))

    def test_message_rate_is_constant(self):
        """With four times the VMs, each still sends two messages per second."""
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
        """Two VMs of a zone watch the directory, and all agree which."""
        network = self._network(a=20, b=3)
        network.round(12)
        self.assertEqual(2, len(network.readers("a")))
        self.assertEqual(1, len(network.readers("b")))

    def test_readers_die(self):
        """Both readers of a zone lose power at the same moment.

        The other VMs notice the missing answers, choose two new readers, and
        know the total load again a few seconds later.
        """
        network = self._network(a=12)
        network.round(12)
        lost = network.readers("a")
        network.down.update(lost)
        network.round(16)
        readers = network.readers("a")
        self.assertEqual(2, len(readers))
        self.assertFalse(set(lost) & set(readers))
        self._send_load(network)
        self._assert_load_known(network, 10)

    def test_partition_ends(self):
        """Two zones are partitioned from each other for ten seconds.

        They find each other again without relying on the configured seeds,
        which are all in one of the zones.
        """
        network = self._network(a=6, b=6)
        network.round(12)
        isolated = {name for name in network.vms if name.startswith("b")}
        inner = network.send

        def send(sender, host, datagram):
            if (sender in isolated) == (host in isolated):
                inner(sender, host, datagram)

        network.send = send
        network.round(int(10 / REPORT_INTERVAL_S))
        network.send = inner
        network.round(int(8 / REPORT_INTERVAL_S))
        self._send_load(network)
        self._assert_load_known(network, 12)

    def test_announced_endpoint(self):
        """An announced endpoint reaches each VM by one message.

        If each VM fetched it over a connection, a release would cost more than
        the requests that are served.
        """
        network = self._network(a=9)
        network.round(12)
        for vm in network.vms.values():
            vm.broadcast_changes(network.now)
        announced = EndpointAnnounced(group.endpoint(11), 11)
        for name in network.readers("a"):
            core = network.vms[name].core
            core.apply(Update((announced,), 11), network.now)
        network.sent.clear()
        for vm in network.vms.values():
            vm.broadcast_changes(network.now)
        network.deliver()
        self.assertEqual(9 - 2, network.sent.total())
        revisions = {vm.core.revision for vm in network.vms.values()}
        self.assertEqual({11}, revisions)

    def test_lost_change(self):
        """If the message with a change is lost, the next answer contains it."""
        network = self._network(a=3)
        network.round(12)
        reader = network.readers("a")[0]
        announced = EndpointAnnounced(group.endpoint(11), 11)
        network.vms[reader].core.apply(Update((announced,), 11), network.now)
        network.round()
        for vm in network.vms.values():
            self.assertEqual(11, vm.core.revision)
            self.assertEqual([], vm.peers.peers_ahead)

    def _checking_vms(self, network: _Network) -> list[str]:
        return [
            vm.name for vm in network.up() if vm.core.due_checks(network.now)
        ]

    def test_false_report(self):
        """A slow VM wrongly reports ten healthy endpoints as dead.

        Only readers check them. If all VMs checked at once, the endpoints'
        machines could not take the connections, more checks would fail, and
        more endpoints would be reported.
        """
        network = self._network(a=12)
        network.round(12)
        readers = network.readers("a")
        slow = next(vm for n, vm in network.vms.items() if n not in readers)
        for endpoint in ENDPOINTS:
            record = slow.core.catalog.get(endpoint.name)
            record.health.on_check(CheckResult.REFUSED, network.now)
        network.round(2)
        asking = set(self._checking_vms(network)) - {slow.name}
        self.assertEqual(set(readers), asking)

    def test_dead_endpoint(self):
        """VMs with flows to an endpoint that a reader found dead check it too.

        They have to reset the flows of idle clients. The other VMs only stop
        sending new flows there.
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
        asking = set(self._checking_vms(network)) - set(readers)
        self.assertEqual({plain[0].name}, asking)
        health = plain[1].core.catalog.get(dead.name).health
        self.assertFalse(health.accepts_new_flows(network.now))

    def test_load_expires(self):
        """The load of VMs that died leaves the total within seconds."""
        network = self._network(a=5)
        network.round(12)
        self._send_load(network)
        network.now += REPORT_MAX_AGE_S
        network.round(4)
        self.assertEqual(0.0, self._lowest_known_load(network))
