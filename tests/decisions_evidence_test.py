"""Tests of decisions._evidence, _retry and _slow_start."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions import _retry as retry
from pollenmast.decisions import _slow_start as slow_start
from pollenmast.decisions._evidence import (
    FIRST_EJECTION_S,
    LONGEST_EJECTION_S,
    RETURN_S,
    UNANSWERED_IN_A_ROW,
    Evidence,
)


def _ejected(now: float = 0.0) -> Evidence:
    evidence = Evidence()
    for _ in range(UNANSWERED_IN_A_ROW):
        evidence.on_unanswered(now)
    return evidence


class EvidenceTest(TestCase):
    """Own evidence ejects an endpoint, and lets it return."""

    def test_silent_endpoint(self):
        """An endpoint died and its reports still call it healthy.

        Without ejection each new flow placed there waits out a retry time.
        """
        self.assertEqual(0.0, _ejected().share(0.1))

    def test_one_answer_clears(self):
        """Lost first packets between answers eject nobody."""
        evidence = Evidence()
        for _ in range(20):
            evidence.on_unanswered(0.0)
            evidence.on_unanswered(0.0)
            evidence.on_answered(0.0)
        self.assertEqual(1.0, evidence.share(0.0))

    def test_returns_gradually(self):
        """After the ejection the share grows back and does not jump."""
        evidence = _ejected()
        shares = [
            evidence.share(FIRST_EJECTION_S + part * RETURN_S)
            for part in (0.0, 0.5, 1.0)
        ]
        self.assertEqual(sorted(shares), shares)
        self.assertLess(shares[0], 0.2)
        self.assertEqual(1.0, shares[2])

    def test_fails_again_on_return(self):
        """It returns and is still dead; one flow is enough to find out."""
        evidence = _ejected()
        back = FIRST_EJECTION_S + 0.1
        evidence.on_unanswered(back)
        self.assertEqual(0.0, evidence.share(back + 1.5 * FIRST_EJECTION_S))

    def test_longest(self):
        """However often it failed, it is tried again within the bound."""
        evidence = _ejected()
        now = 0.0
        for _ in range(50):
            now += LONGEST_EJECTION_S
            evidence.on_unanswered(now)
        self.assertGreater(evidence.share(now + LONGEST_EJECTION_S), 0.0)


class RetryBudgetTest(TestCase):
    """Retries never become a load of their own."""

    def test_bounded_by_new_flows(self):
        """All endpoints are silent and every flow asks for a retry.

        Without a budget the retries would double the load just then.
        """
        budget = retry.RetryBudget()
        spent = 0
        for _ in range(10_000):
            budget.on_new_flow()
            spent += budget.spend()
        self.assertLessEqual(spent, 10_000 * retry.SHARE + retry.MOST)


class SlowStartTest(TestCase):
    """A cold endpoint's share grows with its uptime."""

    @parameterized.expand(
        [("begin", 0.0, 0.1), ("half", 5.0, 0.55), ("warm", 10.0, 1.0)]
    )
    def test_share(self, _, uptime, share):
        """The ramp goes from a tenth to the whole in its time."""
        self.assertAlmostEqual(share, slow_start.share(uptime))
