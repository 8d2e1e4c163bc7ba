"""Tests of decisions._evidence, _retry and _slow_start."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import _retry as retry
from pollenmast.decisions import _slow_start as slow_start
from pollenmast.decisions._evidence import (
    BASE_EJECTION_S,
    MAX_CONSECUTIVE_UNANSWERED,
    MAX_EJECTION_S,
    RECOVERY_S,
    PassiveHealthCheck,
)


def _ejected(now: float = 0.0) -> PassiveHealthCheck:
    health_check = PassiveHealthCheck()
    for _ in range(MAX_CONSECUTIVE_UNANSWERED):
        health_check.on_unanswered(now)
    return health_check


class PassiveHealthCheckTest(TestCase):
    """Unanswered flows eject an endpoint, and it returns by itself."""

    def test_silent_endpoint_is_ejected(self):
        """An endpoint that does not answer is ejected.

        It may be dead while its reports still say that it is healthy. Without
        ejection each new flow placed there would wait for a retry time.
        """
        self.assertEqual(0.0, _ejected().share(0.1))

    def test_one_answer_resets_the_count(self):
        """Lost first packets with answers in between do not eject."""
        health_check = PassiveHealthCheck()
        for _ in range(20):
            health_check.on_unanswered(0.0)
            health_check.on_unanswered(0.0)
            health_check.on_answered(0.0)
        self.assertEqual(1.0, health_check.share(0.0))

    def test_returns_gradually(self):
        """After an ejection the share grows back gradually."""
        health_check = _ejected()
        shares = [
            health_check.share(BASE_EJECTION_S + part * RECOVERY_S)
            for part in (0.0, 0.5, 1.0)
        ]
        self.assertEqual(sorted(shares), shares)
        self.assertLess(shares[0], 0.2)
        self.assertEqual(1.0, shares[2])

    def test_unanswered_in_recovery_ejects_again(self):
        """A returned endpoint is ejected again by one unanswered flow."""
        health_check = _ejected()
        back = BASE_EJECTION_S + 0.1
        health_check.on_unanswered(back)
        self.assertEqual(0.0, health_check.share(back + 1.5 * BASE_EJECTION_S))

    def test_ejection_time_is_bounded(self):
        """An endpoint that failed often is still retried within the maximum."""
        health_check = _ejected()
        now = 0.0
        for _ in range(50):
            now += MAX_EJECTION_S
            health_check.on_unanswered(now)
        self.assertGreater(health_check.share(now + MAX_EJECTION_S), 0.0)


class RetryBudgetTest(TestCase):
    """Retries never become a significant load."""

    def test_bounded_by_new_flows(self):
        """Retries are limited to a fraction of the new flows.

        When no endpoint answers, every flow asks for a retry. Without a
        budget the retries would then double the load.
        """
        budget = retry.RetryBudget()
        spent = 0
        for _ in range(10_000):
            budget.on_new_flow()
            spent += budget.spend()
        self.assertLessEqual(
            spent, 10_000 * retry.RETRIES_PER_FLOW + retry.MAX_TOKENS
        )


class SlowStartTest(TestCase):
    """A cold endpoint's share grows with its uptime."""

    @parameterized.expand(
        [("begin", 0.0, 0.1), ("half", 5.0, 0.55), ("warm", 10.0, 1.0)]
    )
    def test_share(self, _, uptime, share):
        """The share grows linearly from a tenth to 1 over ten seconds."""
        self.assertAlmostEqual(share, slow_start.share(uptime))
