"""Tests of admission._retries."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission._retries import MAX_REFUSED, MEMORY_S, Retries
from pollenmast.admission._retry import MAX_TOKENS, RETRIES_PER_FLOW

_CALLER = "10.0.1.1"
_ROUTE = ("10.9.0.1", 80)


class RetriesTest(TestCase):
    """Retries of refused attempts are recognised and limited."""

    @parameterized.expand(
        [
            ("same", _CALLER, _ROUTE, 0.02, True),
            ("at_the_end", _CALLER, _ROUTE, MEMORY_S, True),
            ("too_late", _CALLER, _ROUTE, MEMORY_S + 0.001, False),
            ("time_goes_back", _CALLER, _ROUTE, -1.0, True),
            ("other_account", "10.0.1.2", _ROUTE, 0.02, False),
            ("other_port", _CALLER, ("10.9.0.1", 81), 0.02, False),
            ("no_route", _CALLER, None, 0.02, False),
        ]
    )
    def test_recognised(self, _, caller, route, at, expected):
        """Only the same account on the same route retries, and in time."""
        retries = Retries()
        retries.on_refused(_CALLER, _ROUTE, 0.0)
        self.assertEqual(expected, retries.is_retry(caller, route, at))

    def test_each_refusal_explains_one_retry(self):
        """A first attempt after all retries of an account is not a retry."""
        retries = Retries()
        retries.on_refused(_CALLER, _ROUTE, 0.0)
        retries.on_refused(_CALLER, _ROUTE, 0.0)
        found = [retries.is_retry(_CALLER, _ROUTE, 0.1) for _ in range(3)]
        self.assertEqual([True, True, False], found)

    def test_retried_attempts_expire_alone(self):
        """An attempt that was retried takes no later one with it.

        If its expiry removed another attempt of the account, the retry of that
        one would count as a first attempt and add to the retry budget.
        """
        retries = Retries()
        retries.on_refused(_CALLER, _ROUTE, 0.0)
        self.assertTrue(retries.is_retry(_CALLER, _ROUTE, 0.02))
        retries.on_refused(_CALLER, _ROUTE, 1.0)
        self.assertTrue(retries.is_retry(_CALLER, _ROUTE, MEMORY_S + 0.5))

    def test_sustained_refusals(self):
        """Every retry within the memory is recognised at a constant load."""
        retries, missed = Retries(), 0
        for n in range(1000):
            retries.on_refused(_CALLER, _ROUTE, n * 0.1)
            missed += not retries.is_retry(_CALLER, _ROUTE, n * 0.1 + 0.09)
        self.assertEqual(0, missed)

    def test_memory_is_bounded(self):
        """A flood from changing accounts cannot exhaust the memory."""
        retries = Retries()
        for n in range(3 * MAX_REFUSED):
            retries.on_refused(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 0, 0.0)
        self.assertEqual(MAX_REFUSED, len(retries._refused))
        self.assertEqual(MAX_REFUSED, len(retries._open))

    def test_expired_attempts_use_no_memory(self):
        """Nothing is left of attempts that are older than the memory."""
        retries, rng, now = Retries(), random.Random(1), 0.0
        for _ in range(2000):
            now += rng.expovariate(100)
            caller = f"10.0.{rng.randrange(20)}.1"
            if rng.random() < 0.5:
                retries.on_refused(caller, _ROUTE, now)
            else:
                retries.is_retry(caller, _ROUTE, now)
        self.assertFalse(retries.is_retry(_CALLER, None, now + 10.0))
        self.assertEqual(0, len(retries._refused))
        self.assertEqual({}, retries._open)

    def test_budget(self):
        """Retries are held up to a tenth of the first attempts.

        Without the limit the retries of all refused clients fill the queue,
        and the episode outlasts its cause.
        """
        retries = Retries()
        at_start = sum(retries.spend() for _ in range(100))
        self.assertEqual(int(MAX_TOKENS), at_start)
        spent = 0
        for _ in range(1000):
            retries.on_first_attempt()
            spent += retries.spend()
        self.assertLessEqual(spent, 1000 * RETRIES_PER_FLOW + 1)
        self.assertGreaterEqual(spent, 1000 * RETRIES_PER_FLOW - 1)

    def test_budget_is_not_saved_without_limit(self):
        """A long calm period does not allow a burst of retries."""
        retries = Retries()
        for _ in range(10_000):
            retries.on_first_attempt()
        spent = sum(retries.spend() for _ in range(100))
        self.assertEqual(int(MAX_TOKENS), spent)
