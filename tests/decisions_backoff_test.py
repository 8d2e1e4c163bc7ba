"""Tests of decisions._backoff."""

import random

from testtools import TestCase

from pollenmast.decisions._backoff import MAX_MS, MIN_MS, Backoff


class BackoffTest(TestCase):
    """Callers that are refused together do not return together."""

    def test_spread(self):
        """A thousand callers refused at once get different times.

        With the same retry-after time they would return in one burst and be
        refused again, for as long as they retry.
        """
        backoff = Backoff(random.Random(1))
        times = [backoff.retry_after_ms(0.0) for _ in range(1000)]
        tenth = (max(times) - min(times)) / 10
        first = sum(1 for time in times if time < min(times) + tenth)
        self.assertLess(first, 200)

    def test_grows_with_a_lasting_overload(self):
        """The retry-after times grow while callers are being refused."""
        backoff = Backoff(random.Random(1))
        means = []
        for second in range(8):
            times = [backoff.retry_after_ms(second + n / 50) for n in range(50)]
            means.append(sum(times) / len(times))
        self.assertGreater(means[4], 3 * means[0])
        self.assertLessEqual(max(means), MAX_MS)

    def test_falls_back_after_calm(self):
        """After a period without refusals the times are short again."""
        backoff = Backoff(random.Random(1))
        for step in range(500):
            backoff.retry_after_ms(step / 50)
        times = [backoff.retry_after_ms(60.0) for _ in range(200)]
        self.assertLessEqual(max(times), 3 * MIN_MS)

    def test_bounds(self):
        """All times are between the minimum and the maximum."""
        backoff = Backoff(random.Random(1))
        times = [backoff.retry_after_ms(n / 10) for n in range(2000)]
        self.assertGreaterEqual(min(times), MIN_MS)
        self.assertLessEqual(max(times), MAX_MS)
