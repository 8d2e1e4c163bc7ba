"""Tests of admission._fairness, admission._usage and decisions._holding."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission._fairness import FairQueue, HeldFlow, network_of
from pollenmast.admission._usage import MAX_NETWORKS, RecentUsage
from pollenmast.decisions import _holding as holding
from pollenmast.decisions._outcomes import FlowRequest
from pollenmast.manifest import Limits


def _held(ticket: int, caller: str, until: float = 1.0) -> HeldFlow:
    return HeldFlow(FlowRequest(ticket, 1, caller, ticket), until)


def _push(queue: FairQueue, *flows: tuple[int, str]) -> None:
    for ticket, caller in flows:
        queue.push(_held(ticket, caller))


def _order(queue: FairQueue) -> list[int]:
    return [queue.pop(0.0).request.ticket for _ in range(len(queue))]


class FairQueueTest(TestCase):
    """No caller and no network can crowd out the others."""

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
        """Addresses in the same /24 or /64 belong to one network."""
        self.assertEqual(same, network_of(one) == network_of(other))

    def test_in_order_of_arrival(self):
        """Networks with equal recent usage are served in order of arrival."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.2.1"), (3, "10.0.3.1"))
        self.assertEqual([1, 2, 3], _order(queue))

    def test_callers_of_a_network_take_turns(self):
        """One caller of a site does not block others behind the same NAT."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.1.1"), (3, "10.0.1.2"))
        self.assertEqual([1, 3, 2], _order(queue))

    def test_recently_served_goes_last(self):
        """A heavy caller is served after callers that are new.

        With round robin by network the heavy one would get half of all slots
        against any number of light ones, which would then be refused.
        """
        queue = FairQueue()
        for _ in range(50):
            queue.on_placed("10.0.1.1", 0.0)
        _push(queue, (1, "10.0.1.1"), (2, "10.0.2.1"), (3, "10.0.3.1"))
        self.assertEqual([2, 3, 1], _order(queue))

    def test_largest_network_loses_a_flow(self):
        """A full queue drops the newest flow of the network with the most."""
        queue = FairQueue()
        _push(queue, *[(n, "10.0.1.1") for n in range(8)])
        newcomer = _held(9, "10.0.2.1")
        queue.push(newcomer)
        self.assertEqual(7, queue.drop_one(newcomer, 0.0).request.ticket)

    def test_newcomer_among_equals_is_dropped(self):
        """With one held flow for each caller, the newcomer is dropped.

        If another caller's flow were dropped instead, it would have been held
        in vain, and the newcomer would be displaced next.
        """
        queue = FairQueue()
        _push(queue, *[(n, f"10.0.{n}.1") for n in range(8)])
        newcomer = _held(9, "10.0.9.1")
        queue.push(newcomer)
        self.assertIs(newcomer, queue.drop_one(newcomer, 0.0))

    def test_network_may_hold_half(self):
        """A heavy network leaves half of the queue to other networks."""
        queue = FairQueue()
        queue.on_placed("10.0.1.1", 0.0)
        queue.on_placed("10.0.2.1", 0.0)
        _push(queue, *[(n, f"10.0.1.{n}") for n in range(4)])
        self.assertFalse(queue.may_hold("10.0.1.9", 8))
        self.assertTrue(queue.may_hold("10.0.2.9", 8))

    def test_no_state_is_left(self):
        """Popped, removed and expired flows leave no state behind."""
        queue = FairQueue()
        _push(queue, (1, "10.0.1.1"), (2, "10.0.1.2"), (3, "10.0.2.1"))
        queue.pop(0.0)
        queue.remove(2)
        self.assertEqual(
            [3], [flow.request.ticket for flow in queue.expired(1.0)]
        )
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(0.0))


class RecentUsageTest(TestCase):
    """Recent usage of networks is kept in bounded memory."""

    def test_many_networks_stay_bounded(self):
        """Callers from a hundred thousand networks cannot exhaust memory.

        A heavy network stays known meanwhile.
        """
        usage = RecentUsage()
        for n in range(100_000):
            usage.add(str(n), n * 1e-6)
            usage.add("heavy", n * 1e-6)
        self.assertLessEqual(len(usage), MAX_NETWORKS)
        self.assertGreater(usage.of("heavy", 0.1), 1000)

    def test_usage_decays(self):
        """A network that stopped opening flows counts as new after a while."""
        usage = RecentUsage()
        for _ in range(100):
            usage.add("a", 0.0)
        self.assertLess(usage.of("a", 40.0), 0.1)


class HoldingTest(TestCase):
    """Only flows that can be served in time are held."""

    @parameterized.expand(
        [
            ("by_rate", 100.0, 20),
            ("by_limit", 1e6, 512),
            ("a_single_one", 3.0, 1),
            ("too_slow", 2.0, 0),
        ]
    )
    def test_most_held(self, _, rate, most):
        """The maximum follows the rate at which flows are placed."""
        self.assertEqual(most, holding.max_held(Limits(), rate))
