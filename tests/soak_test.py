"""A short soak: real programs, faults from outside, and the promises."""

from parameterized import parameterized
from testtools import TestCase

from soak._schedule import (
    FIRST_LATER_SEED,
    FIRST_S,
    LAST_S,
    LATER_KINDS,
    Kind,
    schedule,
)
from soak._world import Plan, play
from tests.soak_seeds import kept


class ScheduleTest(TestCase):
    """A seed decides a run."""

    def test_repeats(self):
        """The same seed draws the same faults, another one others."""
        self.assertEqual(schedule(7, 30.0), schedule(7, 30.0))
        self.assertNotEqual(schedule(7, 30.0), schedule(8, 30.0))

    def test_bounds(self):
        """Faults leave the start and the end of a run alone."""
        for seed in range(50):
            for fault in schedule(seed, 30.0):
                self.assertGreaterEqual(fault.at, FIRST_S)
                self.assertLessEqual(fault.at + fault.for_s, 30.0 - LAST_S)

    def test_every_kind(self):
        """Each kind of fault comes up within a few dozen seeds."""
        earlier, later = range(50), range(FIRST_LATER_SEED, 1051)
        drawn = {f.kind for seed in earlier for f in schedule(seed, 30.0)}
        self.assertEqual(set(Kind) - set(LATER_KINDS), drawn)
        drawn = {f.kind for seed in later for f in schedule(seed, 30.0)}
        self.assertEqual(set(Kind), drawn)


class SoakTest(TestCase):
    """VMs and endpoints fail in series and at once; callers keep asking.

    A caller notices a broken promise as an answer that is another's, a
    request run twice or by the wrong service, or a session cut for nothing.
    """

    @parameterized.expand(kept("soak_seeds.txt"))
    def test_kept_seed(self, _, seed):
        """Each seed that once showed a fault, and one that did not."""
        result = play(Plan(seed))
        self.assertEqual([], result.broken)
        self.assertGreater(result.answered, 0)
