"""Tests of relay._custody: flows survive the loss of their relay."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.relay._forwarder import IncomingDatagram
from standins.memory import (
    REGISTRY,
    Net,
    address_of,
    manifest,
    short,
    vm,
)
from tests.relay_sessions import (
    CALLERS,
    REPLICATION_WAIT_S,
    net_with_sessions,
    send_from_all,
    unexpected_last,
    unexpected_runs,
)


class PlannedStopTest(TestCase):
    """A planned stop of a VM breaks no flow and loses no answer."""

    def test_handover(self):
        """Every flow continues on another VM, and the leaving one drains."""
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.declare_leaving(1)
        net.advance(2.0)
        send_from_all(net, "after")
        net.advance(2.0)
        self.assertEqual({}, unexpected_runs(net, "before", "after"))
        self.assertEqual([], net.strangers)
        self.assertTrue(net.relays[1].drained())

    def test_young_flows(self):
        """Flows opened just before the stop are handed over as well."""
        net = net_with_sessions()
        net.declare_leaving(2)
        net.advance(1.0)
        net.kill(2)
        net.declare_dead(2)
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))

    def test_answers_meanwhile(self):
        """Answers on the old path still reach the caller after a hand-over.

        An upstream learns the new path only from its caller's next packet.
        Until then its alerts arrive at the leaving relay, which forwards them.
        """
        net = net_with_sessions()
        net.declare_leaving(1)
        net.advance(1.0)
        moved = [t for t in CALLERS if net.sessions[t].path.number == 1]
        before = {tag: len(net.answers_to(tag)) for tag in moved}
        for tag in moved:
            net.answer(tag, "alert")
        told = [len(net.answers_to(tag)) - before[tag] for tag in moved]
        self.assertGreater(len(moved), 0)
        self.assertEqual([1] * len(moved), told)
        self.assertFalse(net.relays[1].drained())

    def test_closed_sessions(self):
        """Sessions that their callers have closed do not delay a stop.

        The relay cannot see that they ended. If it kept their paths until they
        count as idle, operators would wait minutes for each VM.
        """
        net = net_with_sessions()
        net.declare_leaving(1)
        net.advance(20.0)
        self.assertTrue(net.relays[1].drained())

    def test_rolling_replacement(self):
        """Replacing all VMs one after the other breaks no flow."""
        net = net_with_sessions()
        for old, new in ((1, 4), (2, 5), (3, 6)):
            net.start(new)
            net.advance(1.0)
            net.declare_leaving(old)
            net.advance(1.0)
            send_from_all(net, f"without {old}")
            net.advance(1.0)
            net.kill(old)
            net.declare_dead(old)
        self.assertEqual(
            {},
            unexpected_runs(
                net, *["before", "without 1", "without 2", "without 3"]
            ),
        )

    def test_new_flow_without_other_vm(self):
        """If the only VM leaves, a new caller is refused with a retry delay."""
        net = Net(vms=1)
        net.declare_leaving(1)
        net.open("c1")
        reason = c.RefusalReason.DRAINING
        self.assertEqual(1, net.dropped(c.REFUSALS, reason))
        self.assertNotIn("c1", net.sessions)


class LossTest(TestCase):
    """Flows survive the sudden death of a VM."""

    @parameterized.expand([("small", 2), ("usual", 3), ("large", 9)])
    def test_killed(self, _, vms):
        """Flows of a killed VM continue on the VM that has their records.

        Packets are lost until the death is detected. After that, each flow
        reaches the endpoint that knows it.
        """
        net = net_with_sessions(vms)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.kill(1)
        net.declare_dead(1)
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))
        self.assertEqual([], net.strangers)

    def test_without_records(self):
        """Flows at their default endpoint survive without any records.

        Their endpoint can be computed, which is why they need no record. Only
        flows that were placed elsewhere because of load break.
        """
        net = net_with_sessions(replicate_after_s=1e9)
        placed_elsewhere = {tag for tag in CALLERS if net.flow(tag).off_default}
        net.kill(1)
        net.declare_dead(1)
        send_from_all(net, "after")
        broken = set(unexpected_runs(net, "before", "after"))
        self.assertEqual(set(), broken - placed_elsewhere)

    def test_zone_lost(self):
        """Flows survive the loss of two VMs of one availability zone.

        Records are stored in another zone, so no flow loses both its holder
        and its record.
        """
        net = net_with_sessions(vms=6)
        net.manifest = manifest(version=2, endpoints=4)
        net.publish()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        for number in (3, 6):
            net.kill(number)
        for number in (3, 6):
            net.declare_dead(number)
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))

    def test_half_of_fleet_lost(self):
        """Half of the fleet, in all zones, is lost at once.

        Only a flow that is off its default endpoint and has lost both its
        holder and its backup may break. All others continue, and none runs
        anything twice.
        """
        net = net_with_sessions(vms=6)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        lost = (1, 2, 3)
        numbers = {net.relays[number].fleet.local.number for number in lost}
        excused = {
            tag
            for tag in CALLERS
            if net.holders(tag)[0] in lost
            and net.flow(tag).off_default
            and net.flow(tag).backup in numbers
        }
        for number in lost:
            net.kill(number)
        for number in lost:
            net.declare_dead(number)
        send_from_all(net, "after")
        broken = set(unexpected_runs(net, "before", "after"))
        self.assertEqual(set(), broken - excused)
        self.assertLess(len(excused), len(CALLERS) / 4)

    def test_joined_then_killed(self):
        """A join moves the ownership of flows; then one of the holders dies.

        The owner must store the record of a flow held by another VM, as it is
        the one that will be queried.
        """
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.start(4)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        send_from_all(net, "joined")
        net.kill(1)
        net.declare_dead(1)
        send_from_all(net, "after")
        self.assertEqual(
            {}, unexpected_runs(net, *["before", "joined", "after"])
        )

    def test_relay_restarted(self):
        """A relay crashes and restarts before its death is detected.

        It still owns its flows but knows none of them. It learns them from the
        VMs that store their records and connection ids.
        """
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.kill(1)
        net.start(1)
        send_from_all(net, "after")
        self.assertEqual({}, unexpected_runs(net, "before", "after"))

    def test_record_replaces_guess(self):
        """A guessed flow is dropped when its holder sends a record.

        The holder knows the session's endpoint. If the guess took precedence,
        the caller would stay at an endpoint that does not know its session.
        """
        net = net_with_sessions(vms=2)
        net.start(3)
        owner = net.relays[3]
        listener = owner.table.listener(REGISTRY)
        tag = next(
            tag
            for tag in CALLERS
            if owner.fleet.owns(
                IncomingDatagram(listener, address_of(tag), None, b"").key
            )
        )
        (holder,) = net.holders(tag)
        caller = address_of(tag)
        datagram = owner.read(listener, caller, short(tag), 0, 0)
        net.silent_upstreams.update(t.address for t in owner.table.targets)
        owner.forward_to_default(datagram, net.now)
        flow = net.relays[holder].table.listener(REGISTRY).flows[caller]
        net.relays[holder].record_exchange.replicate(
            flow, owner.fleet.local.number
        )
        net.advance(1.0)
        self.assertEqual([holder], net.holders(tag))


class PartitionTest(TestCase):
    """Both sides of a partition serve; one holder is left once it heals."""

    def test_cut_and_heal(self):
        """An availability zone is partitioned from the rest for a while.

        Each side declares the other dead and forwards the flows whose packets
        reach it. Once the partition heals, each flow is left with one relay,
        and none of them breaks.
        """
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        everybody = dict(net.vms)
        net.cut = lambda source, target: (source == 1) != (target == 1)
        for number, core in net.relays.items():
            net.vms = {
                each: place
                for each, place in everybody.items()
                if (each == 1) == (number == 1)
            }
            core.on_view(net.view(core), net.now)
        for number in (1, 2, 1, 3):
            for tag in CALLERS:
                net.say(tag, f"by {number}", to=number)
        net.cut = lambda source, target: False
        net.vms = everybody
        net.publish()
        net.advance(6.0)
        send_from_all(net, "after")
        self.assertEqual([], net.strangers)
        self.assertEqual([], unexpected_last(net, "after"))
        self.assertEqual({1}, {len(net.holders(tag)) for tag in CALLERS})


class FreezeTest(TestCase):
    """A relay that was frozen resumes with a stale view of the fleet."""

    def test_resumed(self):
        """A relay is frozen for ten seconds while others take over.

        It opens no flows until its agent has sent a new view, and still
        forwards known flows. No flow breaks.
        """
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        frozen = net.relays.pop(1)
        net.declare_dead(1)
        send_from_all(net, "meanwhile")
        net.advance(10.0)
        net.relays[1] = frozen
        frozen.tick(net.now)
        self.assertFalse(frozen.ready(net.now))
        for tag in CALLERS:
            net.say(tag, "woken", to=1)
        net.vms[1] = vm(1)
        net.publish()
        net.advance(6.0)
        send_from_all(net, "after")
        self.assertEqual([], net.strangers)
        self.assertEqual([], unexpected_last(net, "after"))

    def test_packets_before_the_first_tick(self):
        """Packets read between a freeze and the first tick open no flows.

        A relay that wakes reads its sockets before its clock ticks. It did not
        detect the freeze and opened flows by its stale view, at endpoints that
        had left in the meantime.
        """
        net = Net(vms=1)
        net.advance(1.0)
        net.now += 2.0
        self.assertFalse(net.relays[1].ready(net.now))
        net.open("c1")
        self.assertEqual({}, net.sessions)

    def test_old_view_after_waking(self):
        """A view that was sent before the freeze does not count as fresh.

        It may still be in the link's buffer. If it counted, the relay would
        open flows at endpoints that left long ago.
        """
        net = Net(vms=2)
        core = net.relays[1]
        old = net.view(core)
        net.now += 30.0
        core.tick(net.now)
        core.on_view(old, net.now)
        self.assertFalse(core.ready(net.now))
        core.on_view(net.view(core), net.now)
        self.assertTrue(core.ready(net.now))
