"""Tests of relay._routing: packets find their flow, and nothing circles."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.decisions._ownership import flow_hash
from pollenmast.fleet import VmState
from pollenmast.peers._envelope import Sealer, standby_name
from pollenmast.peers._kinds import Kind
from pollenmast.peers._records import (
    FlowRecord,
    Forwarded,
    RecordFlag,
    pack_forwarded,
    pack_records,
)
from pollenmast.relay._carrier import Arrival
from standins.memory import (
    KEY,
    REGISTRY,
    Net,
    address_of,
    initial,
    manifest,
    short,
    vm,
)
from tests.relay_crowd import CALLERS, opened, say_all, unlike

_SETTLED_S = 6.0
"""After so long an owner no longer asks before it opens a flow."""


class ChangeTest(TestCase):
    """Flows open while the fleet changes are neither lost nor opened twice."""

    def test_join(self):
        """Flows that open while a VM joins stay where they are."""
        net = opened()
        net.start(4)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))
        self.assertEqual([], net.strangers)

    def test_second_flight(self):
        """A VM joins between the two flights of a handshake.

        The second flight is an Initial as well. Opened anew at another
        endpoint it would be a stranger there, and the handshake would hang.
        """
        net = Net(vms=3)
        for tag in CALLERS:
            net.open(tag)
        net.manifest = manifest(version=2, endpoints=5)
        net.start(4)
        for tag in CALLERS:
            net.open(tag)
        self.assertEqual([], net.strangers)

    def test_partial_knowledge(self):
        """Only some VMs have heard of a join; packets still find their flow."""
        net = opened()
        net.vms[4] = vm(4)
        net.start(4)
        net.publish(only=(1, 4))
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))


class StandbyTest(TestCase):
    """An agent passes on what its relay cannot take."""

    def test_owner_not_known_dead(self):
        """A relay dies, and its agent knows before the other VMs do.

        Another relay that still believes in the dead one would send the
        packet there, and the caller's handshake would wait for a second.
        """
        net = Net(vms=2)
        port = net.relays[1].table.listener(REGISTRY).service.port
        owner = net.relays[1].fleet.owner
        owned = next(
            tag
            for tag in CALLERS
            if owner(flow_hash(port, *address_of(tag))).name == "vm-2"
        )
        net.kill(2)
        sealer = Sealer(standby_name("vm-2"), KEY)
        body = pack_forwarded(
            Forwarded(port, *address_of(owned), 1, initial(owned))
        )
        net.peer(2, sealer.seal(Kind.FORWARD, body), ("127.0.1.1", 0))
        net.deliver()
        self.assertEqual([1], net.holders(owned))
        self.assertIn(owned, net.sessions)


class NotReadyTest(TestCase):
    """An owner that may open no flow leaves nobody waiting."""

    def _stale(self) -> tuple[Net, list[str]]:
        """Returns VMs of which the second has lost its agent, and callers.

        The callers are those whose flows it owns.
        """
        net = Net(vms=3)
        port = net.relays[1].table.listener(REGISTRY).service.port
        owner = net.relays[1].fleet.owner
        owned = [
            tag
            for tag in CALLERS
            if owner(flow_hash(port, *address_of(tag))).name == "vm-2"
        ]
        self.assertGreater(len(owned), 5)
        net.advance(_SETTLED_S)
        for _ in range(8):
            net.advance(0.5, renew=False)
            net.publish(only=(1, 3))
        self.assertFalse(net.relays[2].ready(net.now))
        return net, owned

    @parameterized.expand([("from_fabric", 2), ("by_1", 1), ("by_3", 3)])
    def test_opened_elsewhere(self, _, to):
        """A VM's agent has died or hangs; its relay believes old things.

        It dropped the first packet of each flow that it thinks its own, one
        in nine with three VMs, and of another VM's that does not know yet.
        The next VM opens the flow.
        """
        net, owned = self._stale()
        for tag in owned:
            net.open(tag, to=to)
        self.assertEqual(set(owned), set(net.sessions))
        drops = net.dropped(c.DROPS, c.DropReason.NOT_READY)
        self.assertEqual(0, drops)

    def test_nobody_ready(self):
        """No agent of the fleet lives; a packet does not go round for ever."""
        net, owned = self._stale()
        net.advance(4.0, renew=False)
        net.open(owned[0], to=2)
        self.assertEqual({}, net.sessions)

    def test_second_flight_after_it(self):
        """Its agent is back; a handshake that began elsewhere goes on.

        Its second flight is an Initial as well. Opened anew at the owner it
        would reach another endpoint, and the caller's handshake would hang.
        """
        net, owned = self._stale()
        for tag in owned:
            net.open(tag, to=2)
        net.manifest = manifest(version=2, endpoints=5)
        net.publish()
        self.assertTrue(net.relays[2].ready(net.now))
        for tag in owned:
            net.open(tag, to=2)
        self.assertEqual(set(owned), set(net.sessions))
        self.assertEqual([], net.strangers)
        self.assertEqual({1}, {len(net.holders(tag)) for tag in owned})


class TrustTest(TestCase):
    """Only the fleet can plant or take flows."""

    def test_forged_record(self):
        """A stranger sends a record that would lead a caller elsewhere."""
        net = Net(vms=2)
        record = FlowRecord(REGISTRY, *address_of("c1"), 7, RecordFlag.KEEP)
        body = b"\0\0\0\1" + pack_records([record])
        data = Sealer("vm-2", bytes(32)).seal(Kind.RECORDS, body)
        net.relays[1].on_peer(data, net.now)
        self.assertEqual(0, len(net.relays[1].custody.replicas))
        faults = c.EnvelopeFault
        self.assertEqual(1, net.dropped(c.ENVELOPE_FAULTS, faults.UNKNOWN_KEY))

    def test_hops_bounded(self):
        """Two VMs each believe that the other owns a flow.

        Their packets must not circle and fill the network; after the hops
        allowed they are dropped and counted.
        """
        net = Net(vms=3)
        core = net.relays[1]
        listener = core.table.listener(REGISTRY)
        far = next(
            f"c{n}"
            for n in range(99)
            if not core.fleet.owns(
                Arrival(listener, address_of(f"c{n}"), None, b"").key
            )
        )
        arrival = core.read(
            listener, address_of(far), short(far), hops=3, via=99
        )
        core.on_datagram(arrival, net.now)
        reason = c.DropReason.TOO_MANY_HOPS
        self.assertEqual(1, net.dropped(c.DROPS, reason))

    @parameterized.expand(
        [("leaving", VmState.LEAVING), ("alive", VmState.ALIVE)]
    )
    def test_garbage_body(self, _, state):
        """A genuine envelope with a body of nonsense changes nothing."""
        net = Net(vms=2)
        net.vms[2] = vm(2, state=state)
        net.publish()
        sealer = Sealer("vm-2", KEY)
        for kind in Kind:
            net.relays[1].on_peer(sealer.seal(kind, b"\xff" * 50), net.now)
        self.assertEqual(0, net.relays[1].table.flows)
        self.assertEqual(0, len(net.relays[1].custody.replicas))
