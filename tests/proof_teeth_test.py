"""The invariant checks fail when the mechanism they guard is disabled."""

import testtools
from parameterized import parameterized

from tests.proof._mutations import MUTATIONS
from tests.proof._oracle import ViolationError

_CASES = [(each.name.replace("-", "_"), each) for each in MUTATIONS]


class MutationsTest(testtools.TestCase):
    """Every scenario passes without its mutation and fails with it."""

    @parameterized.expand(_CASES)
    def test_holds(self, _, mutation):
        """Without the mutation the scenario passes."""
        mutation.scenario()

    @parameterized.expand(_CASES)
    def test_fails_without(self, _, mutation):
        """With the mutation the scenario shows a violated invariant."""
        with mutation.patch(), testtools.ExpectedException(ViolationError):
            mutation.scenario()
