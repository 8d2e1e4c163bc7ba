"""Tests of relay._routing: packets reach their flow without loops."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.decisions._ownership import flow_hash
from pollenmast.fleet import VmState
from pollenmast.peers._envelope import Sealer, standby_name
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    FlowRecord,
    Forwarded,
    RecordAction,
    pack_forwarded,
    pack_records,
)
from pollenmast.relay._forwarder import IncomingDatagram
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
from tests.relay_sessions import (
    CALLERS,
    net_with_sessions,
    send_from_all,
    unexpected_runs,
)

_SETTLED_S = 6.0
"""Time after a change until owners open flows without a query, in seconds."""


class ChangeTest(TestCase):
    """Flows opened during fleet changes are neither lost nor opened twice."""

    def test_join(self):
        """Flows that are open while a VM joins stay at their endpoint."""
        net = net_with_sessions()
        net.start(4)
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))
        self.assertEqual([], net.strangers)

    def test_second_flight(self):
        """A VM joins between the two flights of a handshake.

        The second flight is an Initial as well. If it opened a second flow,
        it could reach an endpoint that does not know the handshake, which
        would hang.
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
        """Packets reach their flow while only some VMs know of a join."""
        net = net_with_sessions()
        net.vms[4] = vm(4)
        net.start(4)
        net.publish(only=(1, 4))
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))


class StandbyTest(TestCase):
    """An agent forwards packets in place of a dead relay."""

    def test_owner_not_known_dead(self):
        """A relay dies, and its agent knows before the other VMs do.

        Another relay that still takes the dead one for the owner would send
        the packet back there, and the caller's handshake would be delayed by
        a second.
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
        net.peer(2, sealer.seal(MessageType.FORWARD, body), ("127.0.1.1", 0))
        net.deliver()
        self.assertEqual([1], net.holders(owned))
        self.assertIn(owned, net.sessions)


class NotReadyTest(TestCase):
    """An owner that may not open flows delays no caller."""

    def _stale(self) -> tuple[Net, list[str]]:
        """Returns a fleet whose second VM has lost its agent, and callers.

        The callers are those whose flows the second VM owns.
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
        """New flows of an owner without an agent are opened by the next VM.

        If a VM's agent has died or hangs, its relay's view is stale. It used to
        drop the first packet of each flow that it took for its own, one in nine
        with three VMs, and of those that a VM unaware of this forwarded to it.
        """
        net, owned = self._stale()
        for tag in owned:
            net.open(tag, to=to)
        self.assertEqual(set(owned), set(net.sessions))
        drops = net.dropped(c.DROPS, c.DropReason.NOT_READY)
        self.assertEqual(0, drops)

    def test_nobody_ready(self):
        """With no agent alive in the fleet, a packet does not loop forever."""
        net, owned = self._stale()
        net.advance(4.0, renew=False)
        net.open(owned[0], to=2)
        self.assertEqual({}, net.sessions)

    def test_second_flight_after_recovery(self):
        """A handshake begun on another VM continues once the agent is back.

        Its second flight is an Initial as well. If the owner opened a second
        flow for it, it would reach another endpoint and the caller's handshake
        would hang.
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
    """Only VMs of the fleet can add or take over flows."""

    def test_forged_record(self):
        """A forged record, sealed with an unknown key, is rejected.

        It could otherwise lead a caller to another endpoint.
        """
        net = Net(vms=2)
        record = FlowRecord(
            REGISTRY, *address_of("c1"), 7, RecordAction.REPLICATE
        )
        body = b"\0\0\0\1" + pack_records([record])
        data = Sealer("vm-2", bytes(32)).seal(MessageType.RECORDS, body)
        net.relays[1].on_peer(data, net.now)
        self.assertEqual(0, len(net.relays[1].record_exchange.replicas))
        faults = c.EnvelopeFault
        self.assertEqual(1, net.dropped(c.ENVELOPE_FAULTS, faults.UNKNOWN_KEY))

    def test_hops_bounded(self):
        """Packets do not loop when two VMs take each other for the owner.

        Looping packets would saturate the network. Beyond the hop limit they
        are dropped and counted.
        """
        net = Net(vms=3)
        core = net.relays[1]
        listener = core.table.listener(REGISTRY)
        far = next(
            f"c{n}"
            for n in range(99)
            if not core.fleet.owns(
                IncomingDatagram(listener, address_of(f"c{n}"), None, b"").key
            )
        )
        datagram = core.read(
            listener, address_of(far), short(far), hops=3, previous_hop=99
        )
        core.on_datagram(datagram, net.now)
        reason = c.DropReason.TOO_MANY_HOPS
        self.assertEqual(1, net.dropped(c.DROPS, reason))

    @parameterized.expand(
        [("leaving", VmState.LEAVING), ("alive", VmState.ALIVE)]
    )
    def test_garbage_body(self, _, state):
        """A valid envelope with a garbage body changes nothing."""
        net = Net(vms=2)
        net.vms[2] = vm(2, state=state)
        net.publish()
        sealer = Sealer("vm-2", KEY)
        for kind in MessageType:
            net.relays[1].on_peer(sealer.seal(kind, b"\xff" * 50), net.now)
        self.assertEqual(0, net.relays[1].table.flows)
        self.assertEqual(0, len(net.relays[1].record_exchange.replicas))
