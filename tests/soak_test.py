"""A short soak: real programs, faults from outside, and the promises."""

from parameterized import parameterized
from testtools import TestCase

from soak._schedule import (
    FIRST_LATER_SEED,
    FIRST_RESTORE_SEED,
    FIRST_S,
    LAST_S,
    Kind,
    kinds_of,
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

    @parameterized.expand(
        [
            ("first", 0, {Kind.DRAIN_ZONE, Kind.STORM, Kind.RESTORE}),
            ("later", FIRST_LATER_SEED, {Kind.RESTORE}),
            ("restore", FIRST_RESTORE_SEED, set()),
        ]
    )
    def test_every_kind(self, _, first, without):
        """Each kind of fault comes up within a few dozen seeds."""
        expected = set(Kind) - without
        self.assertEqual(expected, set(kinds_of(first)))
        seeds = range(first, first + 50)
        drawn = {f.kind for seed in seeds for f in schedule(seed, 30.0)}
        self.assertEqual(expected, drawn)


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
