"""Tests of the soak of relays and agents, and short runs of it."""

import pathlib
import tempfile

from parameterized import parameterized
from testtools import TestCase

from soak import fleet
from soak._programs import (
    LASTING_KINDS,
    QUIET_START_S,
    Kind,
    lasting_fault,
    schedule,
)
from tests.soak_seeds import load_seeds

_VMS = 3
_SECONDS = 16.0


class ScheduleTest(TestCase):
    """The schedule of faults that is drawn from a seed."""

    def test_same_seed_same_faults(self):
        """A seed always draws the same faults; another seed draws others."""
        self.assertEqual(schedule(7, _SECONDS), schedule(7, _SECONDS))
        self.assertNotEqual(schedule(7, _SECONDS), schedule(8, _SECONDS))

    def test_quiet_start_and_latest_end(self):
        """No fault starts in the quiet first seconds, and all end in time."""
        for seed in range(50):
            for fault in schedule(seed, _SECONDS):
                self.assertGreaterEqual(fault.at, QUIET_START_S)
                self.assertLessEqual(
                    fault.at + fault.for_s, QUIET_START_S + _SECONDS
                )

    def test_draws_every_kind(self):
        """Each kind of fault is drawn within a few dozen seeds."""
        drawn = {f.kind for seed in range(50) for f in schedule(seed, _SECONDS)}
        self.assertEqual(set(Kind), drawn)
        self.assertEqual(
            set(LASTING_KINDS), {lasting_fault(seed) for seed in range(50)}
        )


class SoakTest(TestCase):
    """Relays and agents fail in series and at once while callers send requests.

    A violation is a request that is executed twice or by the wrong service, a
    submission that was executed although its caller was told otherwise, or a
    flow that is never answered once everything is restored but one program.
    """

    @parameterized.expand(load_seeds("soak_fleet_seeds.txt"))
    def test_kept_seed(self, _, seed):
        """Runs each seed that once found a fault, and one that did not."""
        with tempfile.TemporaryDirectory(prefix="pollenmast-soak-") as folder:
            result = fleet.run_seed(seed, pathlib.Path(folder), _VMS, _SECONDS)
        self.assertEqual([], result.broken)
        self.assertGreater(result.flows, 0)
