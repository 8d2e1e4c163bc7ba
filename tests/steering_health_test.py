"""Tests of steering._health."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason
from pollenmast.steering._health import (
    ANSWER_VALID_S,
    FAILURE_THRESHOLD,
    MAX_PENDING_SYNS,
    RECHECK_MAX_S,
    RECHECK_MIN_S,
    REPEAT_GRACE_S,
    REPORTED_DOWN_S,
    SILENCE_FACTOR,
    SILENCE_TIMEOUT_S,
    SYN_FOLLOWUP_TIMEOUT_S,
    CheckResult,
    Health,
)
from tests import steering_group as group


class RetransmissionTest(TestCase):
    """Retransmissions by clients trigger health checks."""

    def test_retransmission(self):
        """A retransmission to an endpoint without progress triggers a check.

        The endpoint died without a reset. Without a check every client of it
        would wait for its deadline.
        """
        health = Health()
        health.on_retransmission(1.0)
        self.assertTrue(health.due(1.0))

    def test_lost_packet(self):
        """A single lost packet triggers no check while others make progress.

        Such checks would take up the slots of a healthy endpoint.
        """
        health = Health()
        health.on_progress(1.0)
        health.on_retransmission(1.0 + REPEAT_GRACE_S / 2)
        self.assertFalse(health.due(2.0))


class SynTest(TestCase):
    """SYNs that the client does not follow up trigger health checks."""

    def test_syn_not_followed_up(self):
        """A SYN without a following packet triggers a check.

        The endpoint's process crashed and its machine resets each SYN. The
        client uses up its tries within milliseconds, and no packet through the
        VM shows it; the next client would fare the same.
        """
        health = Health()
        health.on_syn(group.flow(), 1.0)
        health.evaluate(1.0 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertTrue(health.due(1.0 + SYN_FOLLOWUP_TIMEOUT_S))

    @parameterized.expand(
        [
            ("opened", lambda health: health.on_open(group.flow())),
            ("another_advanced", lambda health: health.on_progress(1.01)),
        ]
    )
    def test_no_check(self, _, happens):
        """No check follows if the flow opens or another one progresses."""
        health = Health()
        health.on_syn(group.flow(), 1.0)
        happens(health)
        health.evaluate(1.0 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertFalse(health.check_pending)

    def test_rotation_changes(self):
        """No check follows a SYN shortly after an answered check.

        While the set of VMs in rotation changes, a flow's second packet may
        pass through another VM. Each such flow would otherwise cost a check of
        a healthy endpoint.
        """
        health = Health()
        health.request_check(1.0, CheckReason.REPORTED)
        health.on_check(CheckResult.ANSWERED, 1.0)
        health.on_syn(group.flow(), 1.1)
        health.evaluate(1.1 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertFalse(health.check_pending)
        health.on_syn(group.flow(), 1.0 + ANSWER_VALID_S)
        health.evaluate(1.0 + ANSWER_VALID_S + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertTrue(health.check_pending)

    def test_pending_syns_bounded(self):
        """SYNs that are never followed up take a bounded amount of memory."""
        health = Health()
        for number in range(2 * MAX_PENDING_SYNS):
            health.on_syn(group.flow(number), 1.0)
        self.assertEqual(MAX_PENDING_SYNS, len(health._pending_syns))


class SilenceTest(TestCase):
    """Requests without any progress trigger health checks."""

    def test_no_progress(self):
        """A request without progress triggers a check before a retransmission.

        The endpoint's machine lost power while requests were in progress. Its
        clients retransmit only after 0.2 s, and by the time that checks after
        that have failed, a short deadline has passed.
        """
        health = Health()
        health.on_request(1.0)
        health.evaluate(1.0 + SILENCE_TIMEOUT_S / 2)
        self.assertFalse(health.check_pending)
        health.evaluate(1.0 + SILENCE_TIMEOUT_S)
        self.assertTrue(health.due(1.0 + SILENCE_TIMEOUT_S))

    def test_long_request(self):
        """A long request triggers no check while others make progress."""
        health = Health()
        health.on_request(1.0)
        health.on_progress(1.05)
        health.evaluate(1.0 + SILENCE_TIMEOUT_S)
        self.assertFalse(health.check_pending)

    def test_slow_service(self):
        """Slow requests of a healthy service cause a bounded number of checks.

        Each check takes a slot for a moment.
        """
        health = Health()
        checks = 0
        for step in range(100):
            now = step * 0.05
            health.on_request(now)
            health.evaluate(now)
            if health.due(now):
                checks += 1
                health.on_check(CheckResult.ANSWERED, now)
        self.assertLessEqual(checks, 5.0 / ANSWER_VALID_S + 1)


class BusyTest(TestCase):
    """Silence means less when answers are slow everywhere."""

    def test_usual_answer(self):
        """The silence timeout grows with the usual answer time.

        Under heavy load every endpoint is slow. Each check would take a slot
        and delay the next answer further.
        """
        health = Health()
        health.on_request(1.0, 0.1)
        health.evaluate(1.0 + 0.9 * SILENCE_FACTOR * 0.1)
        self.assertFalse(health.due(2.0))
        health.evaluate(1.0 + 1.01 * SILENCE_FACTOR * 0.1)
        self.assertTrue(health.due(2.0))

    def test_avoided(self):
        """An endpoint reported down by another VM is avoided for a while."""
        health = Health()
        self.assertTrue(health.accepts_new_flows(1.0))
        health.avoid(1.0)
        self.assertFalse(health.accepts_new_flows(1.0 + REPORTED_DOWN_S / 2))
        self.assertTrue(health.accepts_new_flows(1.0 + REPORTED_DOWN_S))


class CheckTest(TestCase):
    """How results of health checks change an endpoint's state."""

    @parameterized.expand(
        [
            ("refused", CheckResult.REFUSED, 1),
            ("other_process", CheckResult.OTHER, 1),
            ("timeout", CheckResult.TIMEOUT, FAILURE_THRESHOLD),
        ]
    )
    def test_down(self, _, result, checks):
        """A conclusive failure counts at once, a timeout only when repeated."""
        health = Health()
        for _ in range(checks):
            self.assertFalse(health.down)
            health.on_check(result, 1.0)
        self.assertTrue(health.down)

    def test_busy_endpoint(self):
        """A full endpoint that answers as unhealthy is not marked down.

        Ending its flows would cut requests that it is working on.
        """
        health = Health()
        for _ in range(3):
            health.on_check(CheckResult.UNHEALTHY, 1.0)
        self.assertFalse(health.down)

    @parameterized.expand([("full", 0.04, False), ("dead", None, True)])
    def test_full_endpoint(self, _, answer_s, down):
        """A full endpoint stays up despite timeouts; a dead one goes down.

        An endpoint with 2 slots and a queue of 8 is full for a second. Its
        machine leaves checks unanswered while its clients are answered one
        after the other. If it were marked down, its open flows would be reset,
        and with them requests in progress. The flows of a dead endpoint are
        reset within 0.2 s.
        """
        health, down_at = Health(), None
        health.request_check(1.0, CheckReason.REPORTED)
        for step in range(100):
            now = 1.0 + step / 100.0
            if answer_s is not None and step % int(100 * answer_s) == 0:
                health.on_progress(now)
            if step % 5 == 4 and health.due(now):
                health.on_check(CheckResult.TIMEOUT, now)
            if health.down and down_at is None:
                down_at = now
        self.assertEqual(down, down_at is not None)
        if down:
            self.assertLess(down_at, 1.2)

    def test_return(self):
        """An endpoint is up again after the first check that it answers."""
        health = Health()
        health.on_check(CheckResult.REFUSED, 1.0)
        self.assertFalse(health.due(1.0 + RECHECK_MIN_S / 2))
        self.assertTrue(health.due(1.0 + RECHECK_MIN_S))
        self.assertTrue(health.on_check(CheckResult.ANSWERED, 1.6))
        self.assertFalse(health.down)
        self.assertFalse(health.check_pending)

    def test_recheck_interval_bounded(self):
        """The interval between checks of a down endpoint grows to a maximum."""
        health, now = Health(), 0.0
        for _ in range(10):
            health.on_check(CheckResult.REFUSED, now)
        self.assertTrue(health.due(now + RECHECK_MAX_S))
