"""Tests of decisions._fairness, _usage and _holding."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions import _holding as holding
from pollenmast.decisions._fairness import FairQueue, HeldFlow, network_of
from pollenmast.decisions._outcomes import FlowRequest
from pollenmast.decisions._usage import MOST_NETWORKS, Usage
from pollenmast.manifest import Limits


def _held(ticket: int, caller: str, until: float = 1.0) -> HeldFlow:
    return HeldFlow(FlowRequest(ticket, 1, caller, ticket), until)


def _push(queue: FairQueue, *flows: tuple[int, str]) -> None:
    for ticket, caller in flows:
        queue.push(_held(ticket, caller))


def _order(queue: FairQueue) -> list[int]:
    return [queue.pop(0.0).request.ticket for _ in range(len(queue))]


class FairQueueTest(TestCase):
    """No caller and no network crowds out the others."""

    @parameterized.expand(
        [
            ("ipv4", "10.1.2.3", "10.1.2.200", True),
            ("ipv4_other", "10.1.2.3", "10.1.3.3", False),
            ("ipv6", "2001:db8:0:1::1", "2001:db8:0:1:ff::", True),
            ("ipv6_other", "2001:db8:0:1::1", "2001:db8:0:2::1", False),
            ("ipv4_mapped", "::ffff:10.1.2.3", "10.1.2.9", True),
            ("ipv4_mapped_other", "::ffff:10.1.2.3", "::ffff:9.9.9.9", False),
            ("ipv6_scope", "fe80::1%eth0", "fe80::2", True),
        ]
    )
    def test_network(self, _, one, other, same):
        """A /24 and a /64 count as one network."""
        self.assertEqual(same, network_of(one) == network_of(other))

    def test_in_order_of_arrival(self):
        """Callers that were served alike are served as they came."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.2.1"), (3, "10.0.3.1"))
        self.assertEqual([1, 2, 3], _order(queue))

    def test_callers_of_a_network_take_turns(self):
        """One caller of a site does not block the others behind its NAT."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.1.1"), (3, "10.0.1.2"))
        self.assertEqual([1, 3, 2], _order(queue))

    def test_lately_served_goes_last(self):
        """One caller asks all the time and another for the first time.

        In turns by network the heavy one would get half of all slots against
        any number of light ones, which then are refused.
        """
        queue = FairQueue()
        for _ in range(50):
            queue.on_placed("10.0.1.1", 0.0)
        _push(queue, (1, "10.0.1.1"), (2, "10.0.2.1"), (3, "10.0.3.1"))
        self.assertEqual([2, 3, 1], _order(queue))

    def test_the_greatest_gives_up(self):
        """A full queue refuses the newest of the one who holds most."""
        queue = FairQueue()
        _push(queue, *[(n, "10.0.1.1") for n in range(8)])
        newcomer = _held(9, "10.0.2.1")
        queue.push(newcomer)
        self.assertEqual(7, queue.give_up(newcomer, 0.0).request.ticket)

    def test_equals_do_not_push_each_other_out(self):
        """Many callers hold one flow each and one more comes.

        Were another's flow given up for it, that caller had been held for
        nothing, and the newcomer is next.
        """
        queue = FairQueue()
        _push(queue, *[(n, f"10.0.{n}.1") for n in range(8)])
        newcomer = _held(9, "10.0.9.1")
        queue.push(newcomer)
        self.assertIs(newcomer, queue.give_up(newcomer, 0.0))

    def test_network_may_hold_half(self):
        """A heavy network leaves half the places to newcomers."""
        queue = FairQueue()
        queue.on_placed("10.0.1.1", 0.0)
        queue.on_placed("10.0.2.1", 0.0)
        _push(queue, *[(n, f"10.0.1.{n}") for n in range(4)])
        self.assertFalse(queue.may_hold("10.0.1.9", 8))
        self.assertTrue(queue.may_hold("10.0.2.9", 8))

    def test_empties(self):
        """What was popped, removed or expired leaves nothing behind."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.1.2"), (3, "10.0.2.1"))
        queue.pop(0.0)
        queue.remove(2)
        self.assertEqual(
            [3], [flow.request.ticket for flow in queue.expired(1.0)]
        )
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(0.0))


class UsageTest(TestCase):
    """What networks were served is kept in bounded memory."""

    def test_hostile_number_of_networks(self):
        """Someone calls from a hundred thousand networks.

        Memory must stay bounded, and a heavy network must stay known.
        """
        usage = Usage()
        for n in range(100_000):
            usage.add(str(n), n * 1e-6)
            usage.add("heavy", n * 1e-6)
        self.assertLessEqual(len(usage), MOST_NETWORKS)
        self.assertGreater(usage.of("heavy", 0.1), 1000)

    def test_forgiven(self):
        """A caller that stopped asking counts as new after a while."""
        usage = Usage()
        for _ in range(100):
            usage.add("a", 0.0)
        self.assertLess(usage.of("a", 40.0), 0.1)


class HoldingTest(TestCase):
    """Only those are held that can be served in time."""

    @parameterized.expand(
        [
            ("by_rate", 100.0, 20),
            ("by_limit", 1e6, 512),
            ("a_single_one", 3.0, 1),
            ("too_slow", 2.0, 0),
        ]
    )
    def test_most_held(self, _, rate, most):
        """The bound follows the rate at which flows are placed."""
        self.assertEqual(most, holding.most_held(Limits(), rate))
