"""Tests of admission._hold_queue."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import FlowArrival
from pollenmast.admission._hold_queue import HoldQueue

_HEAVY = "10.0.0.1"


def _arrival(ticket: int, caller: str = "10.0.1.1") -> FlowArrival:
    return FlowArrival(("key", ticket), ticket, "tickets", caller, 0, 0.5)


def _push(queue: HoldQueue, *flows: tuple[int, str, int]) -> None:
    """Holds flows of `(ticket, caller, level)` until 1 s."""
    for ticket, caller, level in flows:
        queue.push(_arrival(ticket, caller), level, 1.0, 0.0)


def _drain(queue: HoldQueue) -> list[int]:
    tickets = []
    while (popped := queue.pop(0.0)) is not None:
        tickets.append(popped[0].ticket)
    return tickets


class HoldQueueOrderTest(TestCase):
    """Urgent flows go first, then accounts with few served flows."""

    @parameterized.expand(
        [
            ("arrival", [(1, "10.0.1.1", 0), (2, "10.0.2.1", 0)], [1, 2]),
            ("level", [(1, "10.0.1.1", 2), (2, "10.0.1.1", 0)], [2, 1]),
            ("retry", [(1, "10.0.1.1", 1), (2, "10.0.2.1", 0)], [2, 1]),
            ("retry_urgent", [(1, "10.0.1.1", 2), (2, "10.0.2.1", 1)], [2, 1]),
            ("served_last", [(1, _HEAVY, 0), (2, "10.0.2.1", 0)], [2, 1]),
            ("served_urgent", [(1, "10.0.2.1", 2), (2, _HEAVY, 0)], [2, 1]),
        ]
    )
    def test_order(self, _, flows, expected):
        """The level decides before the account's served flows do."""
        queue = HoldQueue()
        for ticket in range(20):
            queue.on_admitted(_arrival(100 + ticket, _HEAVY), 0.0)
        _push(queue, *flows)
        self.assertEqual(expected, _drain(queue))

    def test_random_order_by_level(self):
        """No flow is popped before one of a lower level."""
        rng, queue = random.Random(1), HoldQueue()
        levels = {n: rng.randrange(8) for n in range(200)}
        for ticket, level in levels.items():
            _push(queue, (ticket, f"10.0.{rng.randrange(9)}.1", level))
        popped = [levels[ticket] for ticket in _drain(queue)]
        self.assertEqual(sorted(levels.values()), popped)

    def test_pop_returns_the_time_of_the_push(self):
        """The caller computes from it how long a flow was held."""
        queue = HoldQueue()
        queue.push(_arrival(1), 0, 1.0, 0.25)
        self.assertEqual((_arrival(1), 0.25), queue.pop(0.75))
        self.assertIsNone(queue.pop(0.75))

    @parameterized.expand(
        [
            ("urgent", "10.0.2.1", 0, 1),
            ("light", "10.0.2.1", 2, 2),
            ("heavy", _HEAVY, 2, 12),
            ("new_level", "10.0.2.1", 4, 12),
        ]
    )
    def test_ahead(self, _, caller, level, expected):
        """Only flows that go first are ahead.

        If held flows of a heavy account counted for all, flows of other
        accounts would be refused although they would be served before them.
        """
        queue = HoldQueue()
        for ticket in range(20):
            queue.on_admitted(_arrival(100 + ticket, _HEAVY), 0.0)
        _push(queue, (50, "10.0.1.1", 0), (51, "10.0.3.1", 2))
        _push(queue, *[(n, _HEAVY, 2) for n in range(10)])
        self.assertEqual(expected, queue.ahead(level, caller, 0.0))

    def test_ahead_within_a_network(self):
        """Callers of one network take turns, so each waits for its turn."""
        queue = HoldQueue()
        _push(queue, *[(n, _HEAVY, 0) for n in range(10)])
        self.assertEqual(10, queue.ahead(0, _HEAVY, 0.0))
        self.assertEqual(1, queue.ahead(0, "10.0.0.2", 0.0))


class HoldQueueFairnessTest(TestCase):
    """One account that asks ten times its share costs the others little."""

    @parameterized.expand([("two", 2), ("five", 5), ("twenty", 20)])
    def test_heavy_account(self, _, light):
        """Others lose at most a tenth to an account with ten times its share.

        The light accounts ask for 70 % of the capacity and the heavy one for
        ten times what each of them does, so they can be served in full.
        """
        rng, queue = random.Random(2), HoldQueue()
        callers = [f"10.0.{n + 1}.1" for n in range(light)]
        ticket = asked = served = 0
        for step in range(5000):
            now = step * 0.02
            for caller in [*callers, *[_HEAVY] * 10]:
                if rng.random() < 0.7 / light:
                    ticket += 1
                    asked += caller != _HEAVY
                    queue.push(_arrival(ticket, caller), 0, now + 0.3, now)
            queue.pop_expired(now)
            popped = queue.pop(now)
            if popped is not None:
                queue.on_admitted(popped[0], now)
                served += popped[0].caller != _HEAVY
        self.assertGreaterEqual(served, 0.9 * asked)


class HoldQueueEndsTest(TestCase):
    """Each held flow leaves the queue exactly once."""

    def test_expiry(self):
        """Expired flows of all levels are returned, the others stay."""
        queue = HoldQueue()
        for ticket, until in enumerate([0.3, 0.1, 0.2, 0.4]):
            queue.push(_arrival(ticket), ticket, until, 0.0)
        self.assertEqual(0.1, queue.next_expiry())
        expired = [a.ticket for a, _ in queue.pop_expired(0.3)]
        self.assertEqual([0, 1, 2], sorted(expired))
        self.assertEqual(0.4, queue.next_expiry())
        self.assertEqual([3], _drain(queue))
        self.assertIsNone(queue.next_expiry())
        self.assertEqual([], queue.pop_expired(9.0))

    def test_cancel(self):
        """A flow that its client has abandoned is not placed."""
        queue = HoldQueue()
        _push(queue, (1, "10.0.1.1", 0), (2, "10.0.1.1", 2))
        queue.remove(1)
        queue.remove(1)
        queue.remove(99)
        self.assertEqual(1, len(queue))
        self.assertEqual([2], _drain(queue))
        queue.remove(2)
        self.assertEqual(0, len(queue))

    @parameterized.expand([("same_level", 0), ("other_level", 2)])
    def test_a_ticket_pushed_twice(self, _, level):
        """A flow that is pushed again is held once, at its first level.

        The counts of the queue were wrong afterwards and the next pop of the
        other level raised a KeyError.
        """
        queue = HoldQueue()
        _push(queue, (1, "10.0.1.1", 0), (1, "10.0.1.1", level))
        self.assertEqual(1, len(queue))
        self.assertEqual(1, queue.count(9))
        self.assertEqual([1], _drain(queue))
        self.assertEqual(0, queue.count(9))

    def test_random_operations(self):
        """Lengths and counts agree after any sequence of operations."""
        rng, queue, held = random.Random(3), HoldQueue(), set()
        for step in range(3000):
            ticket, now = rng.randrange(50), step * 0.01
            action = rng.randrange(4)
            if action < 2:
                caller = f"10.0.{ticket % 5}.{ticket % 3}"
                queue.push(_arrival(ticket, caller), ticket % 4, now + 0.2, now)
                held.add(ticket)
            elif action == 2:
                queue.remove(ticket)
                held.discard(ticket)
            elif (popped := queue.pop(now)) is not None:
                held.remove(popped[0].ticket)
            held -= {a.ticket for a, _ in queue.pop_expired(now)}
            self.assertEqual(len(held), len(queue))
            self.assertEqual(len(held), queue.count(9))
