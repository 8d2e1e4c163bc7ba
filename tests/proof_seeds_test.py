"""Regression tests: seeds of the long search that once failed."""

from parameterized import parameterized
from testtools import TestCase

from tests.proof.__main__ import run_seed
from tests.proof._machine import FleetMachine


class SeedsTest(TestCase):
    """Faults that a seed of the search once showed do not recur."""

    @parameterized.expand([(2059,), (2088,), (5016,)])
    def test_seed(self, seed):
        """All cases of a seed that once failed now pass."""
        self.assertEqual("", run_seed((FleetMachine, seed, False)).text)
