"""Tests of the soak of VMs and endpoints, and short runs of it."""

from parameterized import parameterized
from testtools import TestCase

from soak._schedule import (
    FIRST_JUNK_SEED,
    FIRST_LOAD_SEED,
    FIRST_RESTORE_SEED,
    FIRST_STORM_SEED,
    QUIET_END_S,
    QUIET_START_S,
    Kind,
    kinds_for_seed,
    schedule,
)
from soak._world import Plan, run_plan
from tests.soak_seeds import load_seeds

_LATEST = {Kind.SPIKE, Kind.JUNK, Kind.IDLE}


class ScheduleTest(TestCase):
    """The schedule of faults that is drawn from a seed."""

    def test_same_seed_same_faults(self):
        """A seed always draws the same faults; another seed draws others."""
        self.assertEqual(schedule(7, 30.0), schedule(7, 30.0))
        self.assertNotEqual(schedule(7, 30.0), schedule(8, 30.0))

    def test_quiet_start_and_end(self):
        """No fault falls into the quiet start or end of a run."""
        for seed in range(50):
            for fault in schedule(seed, 30.0):
                self.assertGreaterEqual(fault.at, QUIET_START_S)
                self.assertLessEqual(fault.at + fault.for_s, 30.0 - QUIET_END_S)

    @parameterized.expand(
        [
            ("first", 0, {Kind.DRAIN_ZONE, Kind.STORM, Kind.RESTORE, *_LATEST}),
            ("later", FIRST_STORM_SEED, {Kind.RESTORE, *_LATEST}),
            ("restore", FIRST_RESTORE_SEED, _LATEST),
            ("load", FIRST_LOAD_SEED, {Kind.JUNK, Kind.IDLE}),
            ("junk", FIRST_JUNK_SEED, {Kind.SPIKE}),
        ]
    )
    def test_draws_every_kind(self, _, first, without):
        """Each kind of fault is drawn within a few dozen seeds."""
        expected = set(Kind) - without
        self.assertEqual(expected, set(kinds_for_seed(first)))
        seeds = range(first, first + 50)
        drawn = {f.kind for seed in seeds for f in schedule(seed, 30.0)}
        self.assertEqual(expected, drawn)


class SoakTest(TestCase):
    """VMs and endpoints fail in series and at once while clients send requests.

    A violation is a response that belongs to another request, a request that is
    executed twice or by the wrong service, or a session reset without cause.
    """

    @parameterized.expand(load_seeds("soak_seeds.txt"))
    def test_kept_seed(self, _, seed):
        """Runs each seed that once found a fault, and one that did not."""
        result = run_plan(Plan(seed))
        self.assertEqual([], result.broken)
        self.assertGreater(result.answered, 0)
