"""Tests of relay._custody: flows outlive their relay."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.relay._carrier import Arrival
from standins.memory import (
    REGISTRY,
    Net,
    address_of,
    manifest,
    short,
    vm,
)
from tests.relay_crowd import (
    CALLERS,
    REPLICATED_S,
    not_last,
    opened,
    say_all,
    unlike,
)


class PlannedStopTest(TestCase):
    """A VM that leaves breaks no flow and cuts no answer."""

    def test_handover(self):
        """Every flow goes on by another VM, and the leaving one drains."""
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        net.declare_leaving(1)
        net.advance(2.0)
        say_all(net, "after")
        net.advance(2.0)
        self.assertEqual({}, unlike(net, "before", "after"))
        self.assertEqual([], net.strangers)
        self.assertTrue(net.relays[1].drained())

    def test_young_flows(self):
        """Flows opened a moment before the stop are handed over as well."""
        net = opened()
        net.declare_leaving(2)
        net.advance(1.0)
        net.kill(2)
        net.declare_dead(2)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))

    def test_answers_meanwhile(self):
        """An upstream that still answers by the old path is not cut off.

        It learns the new path only from its caller's next packet; until then
        its alerts arrive at the leaving relay, which passes them on.
        """
        net = opened()
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
        """Sessions that their callers have closed do not hold up a stop.

        Nothing shows that they ended, and their paths would be kept until
        they count as idle; operators would wait minutes for each VM.
        """
        net = opened()
        net.declare_leaving(1)
        net.advance(20.0)
        self.assertTrue(net.relays[1].drained())

    def test_rolling_replacement(self):
        """All VMs are replaced one after the other; no flow breaks."""
        net = opened()
        for old, new in ((1, 4), (2, 5), (3, 6)):
            net.start(new)
            net.advance(1.0)
            net.declare_leaving(old)
            net.advance(1.0)
            say_all(net, f"without {old}")
            net.advance(1.0)
            net.kill(old)
            net.declare_dead(old)
        self.assertEqual(
            {}, unlike(net, *["before", "without 1", "without 2", "without 3"])
        )

    def test_new_flow_without_other_vm(self):
        """The only VM leaves; a new caller is refused and told to come back."""
        net = Net(vms=1)
        net.declare_leaving(1)
        net.open("c1")
        reason = c.RefusalReason.DRAINING
        self.assertEqual(1, net.dropped(c.REFUSALS, reason))
        self.assertNotIn("c1", net.sessions)


class LossTest(TestCase):
    """Flows outlive a VM that dies without a word."""

    @parameterized.expand([("small", 2), ("usual", 3), ("large", 9)])
    def test_killed(self, _, vms):
        """A VM is killed; its flows go on by the VM that has their records.

        Between the kill and its discovery packets are lost; afterwards each
        flow reaches the endpoint that knows it.
        """
        net = opened(vms)
        net.keep_alive(CALLERS, REPLICATED_S)
        net.kill(1)
        net.declare_dead(1)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))
        self.assertEqual([], net.strangers)

    def test_without_records(self):
        """A VM dies though nothing was ever replicated.

        Flows at their default endpoint are found by computation; this is why
        they need no record. Only flows that load had placed elsewhere break.
        """
        net = opened(replicate_after_s=1e9)
        placed_elsewhere = {tag for tag in CALLERS if net.flow(tag).off_default}
        net.kill(1)
        net.declare_dead(1)
        say_all(net, "after")
        broken = set(unlike(net, "before", "after"))
        self.assertEqual(set(), broken - placed_elsewhere)

    def test_zone_lost(self):
        """Two VMs of one availability zone die at once.

        Records are kept in another zone, so no flow loses both its holder
        and its record.
        """
        net = opened(vms=6)
        net.manifest = manifest(version=2, endpoints=4)
        net.publish()
        net.keep_alive(CALLERS, REPLICATED_S)
        for number in (3, 6):
            net.kill(number)
        for number in (3, 6):
            net.declare_dead(number)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))

    def test_half_lost(self):
        """Half of the fleet dies at once, over all zones.

        Only a flow that is off its default endpoint and whose holder and
        keeper are both gone may break; every other one goes on, and none
        runs anything twice.
        """
        net = opened(vms=6)
        net.keep_alive(CALLERS, REPLICATED_S)
        lost = (1, 2, 3)
        numbers = {net.relays[number].fleet.me.number for number in lost}
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
        say_all(net, "after")
        broken = set(unlike(net, "before", "after"))
        self.assertEqual(set(), broken - excused)
        self.assertLess(len(excused), len(CALLERS) / 4)

    def test_joined_then_killed(self):
        """A VM joins, so flows are held off their owner; then a holder dies.

        The owner keeps the record of such a flow, as it is the one that will
        be asked for it.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        net.start(4)
        net.keep_alive(CALLERS, REPLICATED_S)
        say_all(net, "joined")
        net.kill(1)
        net.declare_dead(1)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, *["before", "joined", "after"]))

    def test_relay_restarted(self):
        """A relay crashes and is back before anyone has missed it.

        It still owns its flows but knows none of them. The keepers of their
        records, and of their connection ids, tell it.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        net.kill(1)
        net.start(1)
        say_all(net, "after")
        self.assertEqual({}, unlike(net, "before", "after"))

    def test_guess_yields(self):
        """An owner guessed a flow's endpoint; then its holder reports it.

        The holder knows where the session is. Held against it, the guess
        would leave the caller at an endpoint that has never heard of it.
        """
        net = opened(vms=2)
        net.start(3)
        owner = net.relays[3]
        listener = owner.table.listener(REGISTRY)
        tag = next(
            tag
            for tag in CALLERS
            if owner.fleet.owns(
                Arrival(listener, address_of(tag), None, b"").key
            )
        )
        (holder,) = net.holders(tag)
        caller = address_of(tag)
        arrival = owner.read(listener, caller, short(tag), 0, 0)
        net.silent_upstreams.update(t.address for t in owner.table.targets)
        owner.guess(arrival, net.now)
        flow = net.relays[holder].table.listener(REGISTRY).flows[caller]
        net.relays[holder].custody.replicate(flow, owner.fleet.me.number)
        net.advance(1.0)
        self.assertEqual([holder], net.holders(tag))


class SplitTest(TestCase):
    """Both sides of a cut serve; one owner is left when it heals."""

    def test_cut_and_heal(self):
        """An availability zone is cut off for a while.

        Each side declares the other dead and carries the flows whose packets
        reach it. When the cut heals, each flow is left with one relay, and
        none of them breaks.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
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
        say_all(net, "after")
        self.assertEqual([], net.strangers)
        self.assertEqual([], not_last(net, "after"))
        self.assertEqual({1}, {len(net.holders(tag)) for tag in CALLERS})


class FreezeTest(TestCase):
    """A relay that was frozen wakes with old beliefs."""

    def test_wakes(self):
        """A relay stands still for ten seconds while others take over.

        It opens nothing until its agent has answered it anew, and goes on
        passing what it knows; no flow breaks.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        frozen = net.relays.pop(1)
        net.declare_dead(1)
        say_all(net, "meanwhile")
        net.advance(10.0)
        net.relays[1] = frozen
        frozen.tick(net.now)
        self.assertFalse(frozen.ready(net.now))
        for tag in CALLERS:
            net.say(tag, "woken", to=1)
        net.vms[1] = vm(1)
        net.publish()
        net.advance(6.0)
        say_all(net, "after")
        self.assertEqual([], net.strangers)
        self.assertEqual([], not_last(net, "after"))

    def test_packets_before_the_first_tick(self):
        """A relay wakes with packets in its sockets, and reads those first.

        Its clock has not ticked yet, so it had not noticed that it stood
        still: it opened flows by what it believed before, at endpoints that
        have left meanwhile.
        """
        net = Net(vms=1)
        net.advance(1.0)
        net.now += 2.0
        self.assertFalse(net.relays[1].ready(net.now))
        net.open("c1")
        self.assertEqual({}, net.sessions)

    def test_old_view_after_waking(self):
        """A view that was sent before the freeze is no fresh one.

        It may lie in the link's buffer; taken for fresh, the relay would open
        flows at endpoints that have long gone.
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
