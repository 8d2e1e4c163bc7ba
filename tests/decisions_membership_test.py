"""Tests of decisions._membership, by members that pass messages."""

import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers._gossip import Act, Gossip
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
    """How VMs come to know each other."""

    def test_all_know_all(self):
        """Members that the platform lists know each other, and are fresh."""
        group = Group(SIZE)
        self.assertTrue(_all_alive(group))
        self.assertTrue(
            all(node.membership.fresh for node in group.nodes.values())
        )

    def test_one_seed_is_enough(self):
        """The platform is down while a VM starts.

        Without another way in it would stand alone, and operators would see
        a VM that takes flows which others own. One seed that answers tells
        it of all the others.
        """
        group = Group(SIZE)
        new = group.start(vm(20), seeds=[("127.0.1.3", 7003)], listed=False)
        group.run(2.0)
        self.assertEqual(SIZE, len(new.states()))
        self.assertTrue(new.membership.fresh)
        told = [node.states() for node in group.nodes.values()]
        self.assertEqual(SIZE, sum("vm-20" in states for states in told))

    def test_first_of_a_fleet(self):
        """A VM that nobody answers counts as fresh after the refresh time."""
        group = Group(1)
        node = group.nodes["vm-0"]
        self.assertTrue(node.membership.fresh)
        self.assertTrue(node.membership.alone)

    def test_constant_cost(self):
        """A member sends about as much among 36 as among 9."""

        def sent(size: int) -> float:
            group = Group(size)
            group.run(40.0)  # The news of the joins has been told.
            before = sum(node.sent for node in group.nodes.values())
            group.run(10.0)
            after = sum(node.sent for node in group.nodes.values())
            return (after - before) / size / 10

        self.assertLess(sent(36), 1.1 * sent(9))


class DeathTest(TestCase):
    """How a dead VM is found out, and a live one is not."""

    @parameterized.expand([(str(seed), seed) for seed in range(12)])
    def test_killed(self, _, seed):
        """A VM is killed.

        Until the others know it, they forward packets to nobody, and its
        callers hear nothing; so all must know within about two seconds.
        """
        group = Group(SIZE, seed)
        group.run(random.Random(seed).uniform(0, 1))
        group.nodes["vm-4"].ended = True
        spent = group.until(
            lambda: all("vm-4" not in n.states() for n in _live(group)), 4.0
        )
        self.assertLess(spent, 3.0)
        self.assertTrue(all(len(n.states()) == 7 for n in _live(group)))

    def test_lossy_network(self):
        """A tenth of all messages is lost, others come late or twice.

        Were that taken for a death, flows would change their owner without
        need; the indirect pings and the refutation prevent it.
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

    def test_half_the_fleet(self):
        """Four of nine VMs end at once; the others agree on who is left."""
        group = Group(SIZE)
        for number in (0, 2, 4, 6):
            group.nodes[f"vm-{number}"].ended = True
        group.until(
            lambda: all(_others_alive(node, 5) for node in _live(group)), 8.0
        )

    def test_restart_under_the_same_name(self):
        """A killed VM comes back; its greater incarnation is believed."""
        group = Group(SIZE)
        group.nodes["vm-4"].ended = True
        group.run(4.0)
        group.start(vm(4, incarnation=200))
        group.until(lambda: _all_alive(group), 1.0)

    def test_stale_list(self):
        """The platform still lists a dead VM, and no longer lists a live one.

        Did the list override heartbeats, flows would go to the dead one.
        """
        group = Group(SIZE)
        group.nodes["vm-4"].ended = True
        group.run(4.0)
        node = group.nodes["vm-0"]
        listed = [vm(number) for number in range(8)]
        group.send(node, node.membership.introduce(listed, group.now))
        group.run(3.0)
        self.assertNotIn("vm-4", node.states())
        self.assertIn("vm-8", node.states())

    def test_forgotten(self):
        """A dead VM that the platform no longer lists is forgotten."""
        group = Group(3)
        group.nodes["vm-2"].ended = True
        node = group.nodes["vm-0"]
        group.send(node, node.membership.introduce([vm(0), vm(1)], group.now))
        group.run(70.0)
        self.assertEqual(2, len(node.membership.known()))


class LeaveTest(TestCase):
    """A planned stop."""

    def test_leaving_is_told_at_once(self):
        """All know of a leaving VM within a tenth of a second."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.leave()
        group.send(node, node.membership.tick(group.now))
        group.run(0.1)
        told = [n.states().get("vm-3") for n in _live(group) if n is not node]
        self.assertEqual([VmState.LEAVING] * 8, told)

    def test_leaving_and_slow(self):
        """A leaving VM misses heartbeats while it hands over its flows.

        Were it shown as merely suspect, it would own new flows again.
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

    def test_farewell(self):
        """A VM that ends says so; nobody has to find out."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.leave()
        group.send(node, node.membership.gone())
        node.ended = True
        group.until(
            lambda: all("vm-3" not in n.states() for n in _live(group)), 0.3
        )

    def test_relay_down(self):
        """A VM whose relay is silent says so to all at once."""
        group = Group(SIZE)
        node = group.nodes["vm-3"]
        node.membership.set_relay_up(False)
        group.send(node, node.membership.tick(group.now))
        group.run(0.1)
        for other in _live(group):
            if other is not node:
                known = {each.name: each for each in other.membership.vms()}
                self.assertFalse(known["vm-3"].relay_up)


class FreezeTest(TestCase):
    """A process is paused and wakes with old beliefs."""

    def test_short_pause_blames_nobody(self):
        """A process pauses for a second; its timers are all over.

        Its socket is full of unread acks. It must not declare the others
        dead for a pause that was its own.
        """
        group = Group(SIZE)
        node = group.nodes["vm-5"]
        group.pause(node, 1.0)
        group.run(3.0)
        self.assertTrue(_all_alive(group))

    @parameterized.expand([("seconds", 5.0), ("minutes", 300.0)])
    def test_long_pause(self, _, pause_s):
        """A VM freezes, the others go on without it, two of them change.

        When it wakes it is stale at once, opens no flows, and is fresh again
        only with what it missed.
        """
        group = Group(SIZE)
        node = group.nodes["vm-5"]
        group.nodes["vm-1"].ended = True
        node.paused = True
        group.run(pause_s)
        node.paused = False
        group.send(node, node.membership.look(group.now))
        self.assertFalse(node.membership.fresh)
        group.until(lambda: node.membership.fresh, 1.5)
        self.assertFalse(node.membership.alone)
        group.run(2.0)
        self.assertEqual(7, len(node.states()))
        self.assertNotIn("vm-1", node.states())
        for other in _live(group):
            if other is not node:
                self.assertEqual(VmState.ALIVE, other.states()["vm-5"])

    def test_fresh_only_with_the_manifest(self):
        """A new manifest came into force while a VM was frozen.

        Fresh by its members alone, it would open flows under the old one.
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

    def test_declared_dead_without_noticing(self):
        """A VM's clock stood still with it, so that it saw no pause.

        That it learns of its own death makes it doubt its beliefs.
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


class CutTest(TestCase):
    """The fleet is split, and the cut heals."""

    def test_cut_and_heal(self):
        """Availability zones are cut off from each other for a minute.

        Each side goes on with those that it reaches; after the heal all are
        one group again within seconds.
        """
        group = Group(SIZE)
        ours = {"vm-0", "vm-3", "vm-6"}
        group.lost = lambda source, to: (source in ours) != (to in ours)
        group.run(60.0)
        for node in group.nodes.values():
            side = 3 if node.name in ours else 6
            self.assertTrue(_others_alive(node, side), node.name)
        group.lost = lambda source, to: False
        spent = group.until(lambda: _all_alive(group), 20.0)
        self.assertLess(spent, 5.0)

    def test_alone(self):
        """One VM is cut off from all others, and must serve what it can."""
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
    return Gossip(Act.NEWS, 0, node.membership.own, members=members)
