"""Seeds of the longer search that had a finding, kept as they are."""

from parameterized import parameterized
from testtools import TestCase

from tests.proof.__main__ import run_seed
from tests.proof._machine import FleetMachine


class SeedsTest(TestCase):
    """What one seed has found does not come back."""

    @parameterized.expand([(2059,), (2088,), (5016,)])
    def test_seed(self, seed):
        """All cases of a seed hold that once had a finding."""
        self.assertEqual("", run_seed((FleetMachine, seed, False)).text)
