"""Tests of decisions._dissemination."""

from testtools import TestCase

from pollenmast.decisions._dissemination import ByteBudget, Dissemination


class DisseminationTest(TestCase):
    """Updates are transmitted a limited number of times."""

    def test_sends_are_bounded(self):
        """An update is sent three times log2 of the fleet's size."""
        updates = Dissemination()
        updates.add("a", 1, 50)
        sends = sum(len(updates.pick(100, 7)) for _ in range(100))
        self.assertEqual(9, sends)

    def test_least_transmitted_first(self):
        """A burst of updates is distributed evenly over the messages."""
        updates = Dissemination()
        for key in range(6):
            updates.add(key, key, 50)
        picked = [updates.pick(100, 7) for _ in range(3)]
        self.assertEqual(set(range(6)), {key for two in picked for key in two})

    def test_budget_is_kept(self):
        """An update that does not fit waits; a smaller one is still sent."""
        updates = Dissemination()
        updates.add("large", "large", 90)
        updates.add("small", "small", 20)
        self.assertEqual(("small",), updates.pick(50, 7))

    def test_newer_replaces_older(self):
        """A newer update replaces an older one and is sent the full count."""
        updates = Dissemination()
        updates.add("a", 1, 50)
        for _ in range(5):
            updates.pick(100, 7)
        updates.add("a", 2, 50)
        sends = [updates.pick(100, 7) for _ in range(20)]
        self.assertEqual([(2,)] * 9, [each for each in sends if each])


class ByteBudgetTest(TestCase):
    """Bytes per second, with a burst."""

    def test_rate_and_burst(self):
        """Unused budget accumulates up to the burst."""
        budget = ByteBudget(100, 250, 0.0)
        budget.spend(250)
        self.assertEqual(0, budget.left(0.0))
        self.assertEqual(100, budget.left(1.0))
        self.assertEqual(250, budget.left(60.0))

    def test_overdraft(self):
        """Heartbeats may overdraw the budget; the refill repays it first."""
        budget = ByteBudget(100, 250, 0.0)
        budget.spend(400)
        self.assertEqual(0, budget.left(1.0))
        self.assertEqual(50, budget.left(2.0))
