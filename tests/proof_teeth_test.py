"""The proof has teeth: it fails when the code that keeps a line is out."""

import testtools
from parameterized import parameterized

from tests.proof._mutations import MUTATIONS
from tests.proof._oracle import ViolationError

_CASES = [(each.name.replace("-", "_"), each) for each in MUTATIONS]


class TeethTest(testtools.TestCase):
    """Every scenario passes with its code and fails without it."""

    @parameterized.expand(_CASES)
    def test_holds(self, _, mutation):
        """With the code in place the line holds."""
        mutation.scenario()

    @parameterized.expand(_CASES)
    def test_fails_without(self, _, mutation):
        """With the code taken out the scenario shows a line broken."""
        with mutation.patch(), testtools.ExpectedException(ViolationError):
            mutation.scenario()
