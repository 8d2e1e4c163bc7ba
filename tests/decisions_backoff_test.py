"""Tests of decisions._backoff."""

import random

from testtools import TestCase

from pollenmast.decisions._backoff import LEAST_MS, MOST_MS, Backoff


class BackoffTest(TestCase):
    """Callers refused together do not return together."""

    def test_spread(self):
        """A thousand callers are refused in the same moment.

        Told the same time they would all return in one burst and be refused
        again, for as long as they ask.
        """
        backoff = Backoff(random.Random(1))
        times = [backoff.retry_after_ms(0.0) for _ in range(1000)]
        tenth = (max(times) - min(times)) / 10
        first = sum(1 for time in times if time < min(times) + tenth)
        self.assertLess(first, 200)

    def test_grows_with_a_lasting_overload(self):
        """The longer callers are refused, the later they are asked back."""
        backoff = Backoff(random.Random(1))
        means = []
        for second in range(8):
            times = [backoff.retry_after_ms(second + n / 50) for n in range(50)]
            means.append(sum(times) / len(times))
        self.assertGreater(means[4], 3 * means[0])
        self.assertLessEqual(max(means), MOST_MS)

    def test_falls_back_after_calm(self):
        """A new overload after calm begins with short times again."""
        backoff = Backoff(random.Random(1))
        for step in range(500):
            backoff.retry_after_ms(step / 50)
        times = [backoff.retry_after_ms(60.0) for _ in range(200)]
        self.assertLessEqual(max(times), 3 * LEAST_MS)

    def test_bounds(self):
        """No caller is told less than the least or more than the most."""
        backoff = Backoff(random.Random(1))
        times = [backoff.retry_after_ms(n / 10) for n in range(2000)]
        self.assertGreaterEqual(min(times), LEAST_MS)
        self.assertLessEqual(max(times), MOST_MS)
