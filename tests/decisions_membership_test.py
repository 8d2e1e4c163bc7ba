"""Tests of decisions._membership with members that exchange messages."""

import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers._gossip import Gossip, GossipType
from tests.membership_group import Group, Node, vm

SIZE = 9


def _others_alive(node: Node, size: int = SIZE) -> bool:
    states = list(node.states().values())
    return len(states) == size - 1 and set(states) == {VmState.ALIVE}


def _all_alive(group: Group) -> bool:
    return all(_others_alive(node) for node in group.nodes.values())


def _live(group: Group) -> list[Node]:
    return [node for node in group.nodes.values() if not node.ended]


class JoinTest(TestCase):
    """VMs join the fleet."""

    def test_listed_members_know_each_other(self):
        """Members that the platform lists know each other and are fresh."""
        group = Group(SIZE)
        self.assertTrue(_all_alive(group))
        self.assertTrue(
            all(node.membership.fresh for node in group.nodes.values())
        )

    def test_one_seed_is_enough(self):
        """A VM starts while the platform is down.

        Without another way to join, it would be isolated and would open flows
        that other VMs own. One seed that answers is enough to learn of all
        other VMs.
        """
        group = Group(SIZE)
        new = group.start(vm(20), seeds=[("127.0.1.3", 7003)], listed=False)
        group.run(2.0)
        self.assertEqual(SIZE, len(new.states()))
        self.assertTrue(new.membership.fresh)
        views = [node.states() for node in group.nodes.values()]
        self.assertEqual(SIZE, sum("vm-20" in states for states in views))

    def test_first_vm_of_a_fleet(self):
        """A VM that gets no answer is fresh after the refresh time-out."""
        group = Group(1)
        node = group.nodes["vm-0"]
        self.assertTrue(node.membership.fresh)
        self.assertTrue(node.membership.alone)

    def test_cost_independent_of_fleet_size(self):
        """A member sends about as many bytes in a fleet of 36 VMs as of 9."""

        def sent(size: int) -> float:
            group = Group(size)
            group.run(40.0)  # The joins have been disseminated.
            before = sum(node.sent for node in group.nodes.values())
            group.run(10.0)
            after = sum(node.sent for node in group.nodes.values())
            return (after - before) / size / 10

        self.assertLess(sent(36), 1.1 * sent(9))


class DeathTest(TestCase):
    """Dead VMs are detected, and live VMs are not declared dead."""

    @parameterized.expand([(str(seed), seed) for seed in range(12)])
    def test_killed(self, _, seed):
        """A VM is killed.

        Until the other VMs detect it, they forward packets to the dead VM,
        and its callers get no answers. All must know within about two seconds.
        """
        group = Group(SIZE, seed)
        group.run(random.Random(seed).uniform(0, 1))
        group.nodes["vm-4"].ended = True
        elapsed = group.until(
            lambda: all("vm-4" not in n.states() for n in _live(group)), 4.0
        )
        self.assertLess(elapsed, 3.0)
        self.assertTrue(all(len(n.states()) == 7 for n in _live(group)))

    def test_lossy_network(self):
        """A tenth of all messages is lost, others are delayed or duplicated.

        If a live VM were declared dead, flows would change their owner
        needlessly. Indirect pings and refutations prevent it.
        """
        group = Group(SIZE)
        rng = random.Random(7)
        group.lost = lambda source, to: rng.random() < 0.1
        group.late_s = lambda: rng.uniform(0, 0.05)
        group.twice = True
        for _ in range(60):
            group.run(1.0)
            for node in group.nodes.values():
                self.assertEqual(SIZE - 1, len(node.states()))

    def test_four_of_nine_fail(self):
        """Four of nine VMs fail at once; the others agree on the live ones."""
        group = Group(SIZE)
        for number in (0, 2, 4, 6):
            group.nodes[f"vm-{number}"].ended = True
        group.until(
            lambda: all(_others_alive(node, 5) for node in _live(group)), 8.0
        )

    def test_restart_with_the_same_name(self):
        """A killed VM returns, and its greater incarnation is accepted."""
        group = Group(SIZE)
        group.nodes["vm-4"].ended = True
        group.run(4.0)
        group.start(vm(4, incarnation=200))
        group.until(lambda: _all_alive(group), 1.0)

    def test_platform_list_does_not_override(self):
        """The platform still lists a dead VM, and no longer lists a live one.

        If the list overrode heartbeats, flows would be sent to the dead VM.
        """
        group = Group(SIZE)
        group.nodes["vm-4"].ended = True
        group.run(4.0)
        node = group.nodes["vm-0"]
        listed = [vm(number) for number in range(8)]
        group.send(node, node.membership.update_listed(listed, group.now))
        group.run(3.0)
        self.assertNotIn("vm-4", node.states())
        self.assertIn("vm-8", node.states())

    def test_unlisted_dead_member_is_removed(self):
        """A dead VM that the platform no longer lists is removed."""
        group = Group(3)
        group.nodes["vm-2"].ended = True
        node = group.nodes["vm-0"]
        group.send(
            node, node.membership.update_listed([vm(0), vm(1)], group.now)
        )
        group.run(70.0)
        self.assertEqual(2, len(node.membership.known()))


class LeaveTest(TestCase):
    """Planned shutdowns."""

    def test_leaving_spreads_immediately(self):
        """All members know of a leaving VM within a tenth of a second."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.leave()
        group.send(node, node.membership.tick(group.now))
        group.run(0.1)
        states = [n.states().get("vm-3") for n in _live(group) if n is not node]
        self.assertEqual([VmState.LEAVING] * 8, states)

    def test_leaving_while_suspect(self):
        """A leaving VM misses heartbeats while it hands over its flows.

        If it were reported as suspect only, it would own new flows again.
        """
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.leave()
        group.send(node, node.membership.tick(group.now))
        group.run(0.5)
        node.paused = True
        seen = set()
        for _ in range(300):
            group.run(0.01)
            seen |= {
                n.states().get("vm-3") for n in _live(group) if n is not node
            }
        self.assertEqual({VmState.LEAVING, None}, seen)

    def test_announced_stop(self):
        """A VM announces that it stops, so its failure need not be detected."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.leave()
        group.send(node, node.membership.announce_stop())
        node.ended = True
        group.until(
            lambda: all("vm-3" not in n.states() for n in _live(group)), 0.3
        )

    def test_relay_down(self):
        """A VM whose relay does not answer announces it immediately."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.set_relay_up(False)
        group.send(node, node.membership.tick(group.now))
        group.run(0.1)
        for other in _live(group):
            if other is not node:
                known = {each.name: each for each in other.membership.vms()}
                self.assertFalse(known["vm-3"].relay_up)


class PauseTest(TestCase):
    """A process is paused and resumes with a stale view."""

    def test_short_pause_declares_nobody_dead(self):
        """A process is paused for a second, and all its timers expire.

        The acks are still unread in its socket buffer. It must not declare the
        other members dead because of its own pause.
        """
        group = Group(SIZE)
        node = group.nodes["vm-5"]
        group.pause(node, 1.0)
        group.run(3.0)
        self.assertTrue(_all_alive(group))

    @parameterized.expand([("seconds", 5.0), ("minutes", 300.0)])
    def test_long_pause(self, _, pause_s):
        """A VM is paused, and another one dies in the meantime.

        After the pause the VM must be stale immediately, so that it opens no
        flows, and fresh again only after it has learned what it missed.
        """
        group = Group(SIZE)
        node = group.nodes["vm-5"]
        group.nodes["vm-1"].ended = True
        node.paused = True
        group.run(pause_s)
        node.paused = False
        group.send(node, node.membership.check_for_pause(group.now))
        self.assertFalse(node.membership.fresh)
        group.until(lambda: node.membership.fresh, 1.5)
        self.assertFalse(node.membership.alone)
        group.run(2.0)
        self.assertEqual(7, len(node.states()))
        self.assertNotIn("vm-1", node.states())
        for other in _live(group):
            if other is not node:
                self.assertEqual(VmState.ALIVE, other.states()["vm-5"])

    def test_stale_until_manifest_is_in_force(self):
        """A new manifest comes into force while a VM is paused.

        If its members alone made the view fresh, the VM would open flows under
        the old manifest.
        """
        group = Group(3)
        node = group.nodes["vm-0"]
        for other in ("vm-1", "vm-2"):
            group.nodes[other].key = ManifestKey(7, "ab" * 16)
        node.paused = True
        group.run(5.0)
        node.paused = False
        group.run(0.3)
        self.assertFalse(node.membership.fresh)
        node.membership.set_in_force(ManifestKey(7, "ab" * 16))
        group.run(0.6)
        self.assertTrue(node.membership.fresh)

    def test_pause_with_stopped_clock(self):
        """A VM's clock stops during a pause, so the VM does not detect it.

        When the VM learns that it was declared dead, its view must be stale.
        """
        group = Group(3)
        node = group.nodes["vm-0"]
        own = node.membership.own
        dead = attrs.evolve(own, state=VmState.DEAD)
        message = _message_from(group.nodes["vm-1"], (dead,))
        source = ("127.0.1.2", 7003)
        node.membership.receive(message, source, group.now)
        self.assertFalse(node.membership.fresh)
        self.assertGreater(node.membership.own.incarnation, own.incarnation)


class PartitionTest(TestCase):
    """The network is partitioned, and the partition heals."""

    def test_partition_heals(self):
        """Availability zones are cut off from each other for a minute.

        Each side continues with the VMs that it reaches. After the partition
        has healed, all VMs form one group again within seconds.
        """
        group = Group(SIZE)
        one_side = {"vm-0", "vm-3", "vm-6"}
        group.lost = lambda source, to: (source in one_side) != (to in one_side)
        group.run(60.0)
        for node in group.nodes.values():
            side = 3 if node.name in one_side else 6
            self.assertTrue(_others_alive(node, side), node.name)
        group.lost = lambda source, to: False
        elapsed = group.until(lambda: _all_alive(group), 20.0)
        self.assertLess(elapsed, 5.0)

    def test_isolated_vm(self):
        """A VM cut off from all others is fresh, to serve what it can."""
        group = Group(SIZE)
        node = group.nodes["vm-0"]
        group.lost = lambda source, to: "vm-0" in (source, to)
        group.run(10.0)
        self.assertEqual({}, node.states())
        self.assertTrue(node.membership.fresh)
        self.assertTrue(node.membership.alone)
        group.lost = lambda source, to: False
        group.until(lambda: _all_alive(group), 20.0)
        group.run(1.5)
        self.assertFalse(node.membership.alone)
        self.assertTrue(node.membership.fresh)


def _message_from(node: Node, members: tuple[Vm, ...]) -> Gossip:
    return Gossip(GossipType.UPDATE, 0, node.membership.own, members=members)
