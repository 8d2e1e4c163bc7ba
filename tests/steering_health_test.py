"""Tests of steering._health."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason
from pollenmast.steering._health import (
    ANSWER_VALID_S,
    FAILED_CHECKS,
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


class RepeatTest(TestCase):
    """What clients send again asks for a health check."""

    def test_silent_endpoint(self):
        """An endpoint died silently and its client sends its data again.

        Without a check every client of the endpoint waits out its deadline.
        """
        health = Health()
        health.on_repeat(1.0)
        self.assertTrue(health.due(1.0))

    def test_lost_packet(self):
        """One packet was lost on the way while other clients are served.

        A check for each would take the slots of a healthy endpoint.
        """
        health = Health()
        health.on_advance(1.0)
        health.on_repeat(1.0 + REPEAT_GRACE_S / 2)
        self.assertFalse(health.due(2.0))


class SynTest(TestCase):
    """A client that does not go on after its SYN asks for a check."""

    def test_machine_refuses(self):
        """An endpoint's process crashed and its machine resets each SYN.

        The client uses up its tries within milliseconds and nothing that
        passes by the VM says so; the next client would fare the same.
        """
        health = Health()
        health.on_syn(group.flow(), 1.0)
        health.look(1.0 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertTrue(health.due(1.0 + SYN_FOLLOWUP_TIMEOUT_S))

    @parameterized.expand(
        [
            ("opened", lambda health: health.on_open(group.flow())),
            ("another_advanced", lambda health: health.on_advance(1.01)),
        ]
    )
    def test_no_check(self, _, happens):
        """A flow that opens, or another that advances, calls none."""
        health = Health()
        health.on_syn(group.flow(), 1.0)
        happens(health)
        health.look(1.0 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertFalse(health.doubted)

    def test_rotation_changes(self):
        """While VMs change, second packets pass by other VMs.

        Each such flow would otherwise cost a check of a healthy endpoint.
        """
        health = Health()
        health.ask(1.0, CheckReason.REPORTED)
        health.on_check(CheckResult.ANSWERED, 1.0)
        health.on_syn(group.flow(), 1.1)
        health.look(1.1 + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertFalse(health.doubted)
        health.on_syn(group.flow(), 1.0 + ANSWER_VALID_S)
        health.look(1.0 + ANSWER_VALID_S + SYN_FOLLOWUP_TIMEOUT_S)
        self.assertTrue(health.doubted)

    def test_flood(self):
        """SYNs that nobody follows up do not fill the VM's memory."""
        health = Health()
        for number in range(2 * MAX_PENDING_SYNS):
            health.on_syn(group.flow(number), 1.0)
        self.assertEqual(MAX_PENDING_SYNS, len(health._pending_syns))


class SilenceTest(TestCase):
    """Requests without any sign of life ask for a check."""

    def test_silent_death(self):
        """An endpoint's machine lost power while requests were under way.

        Its clients send again only after 0.2 s, and a short deadline has
        passed by the time that checks after that have failed.
        """
        health = Health()
        health.on_request(1.0)
        health.look(1.0 + SILENCE_TIMEOUT_S / 2)
        self.assertFalse(health.doubted)
        health.look(1.0 + SILENCE_TIMEOUT_S)
        self.assertTrue(health.due(1.0 + SILENCE_TIMEOUT_S))

    def test_long_request(self):
        """One request takes long while others of the endpoint advance."""
        health = Health()
        health.on_request(1.0)
        health.on_advance(1.05)
        health.look(1.0 + SILENCE_TIMEOUT_S)
        self.assertFalse(health.doubted)

    def test_slow_service(self):
        """Every request of a service takes long; its endpoints live.

        Checks are bounded: each takes a slot for a moment.
        """
        health = Health()
        checks = 0
        for step in range(100):
            now = step * 0.05
            health.on_request(now)
            health.look(now)
            if health.due(now):
                checks += 1
                health.on_check(CheckResult.ANSWERED, now)
        self.assertLessEqual(checks, 5.0 / ANSWER_VALID_S + 1)


class BusyTest(TestCase):
    """When answers take long everywhere, silence says less."""

    def test_usual_answer(self):
        """A rush makes every endpoint slow; none is checked for it.

        Each check takes a slot and makes the next answer later still.
        """
        health = Health()
        health.on_request(1.0, 0.1)
        health.look(1.0 + 0.9 * SILENCE_FACTOR * 0.1)
        self.assertFalse(health.due(2.0))
        health.look(1.0 + 1.01 * SILENCE_FACTOR * 0.1)
        self.assertTrue(health.due(2.0))

    def test_avoided(self):
        """What another VM finds down takes no new flows for a while."""
        health = Health()
        self.assertTrue(health.is_sure(1.0))
        health.avoid(1.0)
        self.assertFalse(health.is_sure(1.0 + REPORTED_DOWN_S / 2))
        self.assertTrue(health.is_sure(1.0 + REPORTED_DOWN_S))


class CheckTest(TestCase):
    """What health checks make of an endpoint."""

    @parameterized.expand(
        [
            ("refused", CheckResult.REFUSED, 1),
            ("other_process", CheckResult.OTHER, 1),
            ("timeout", CheckResult.TIMEOUT, FAILED_CHECKS),
        ]
    )
    def test_down(self, _, result, checks):
        """A certain failure counts at once, a silent one the second time."""
        health = Health()
        for _ in range(checks):
            self.assertFalse(health.down)
            health.on_check(result, 1.0)
        self.assertTrue(health.down)

    def test_busy_endpoint(self):
        """An endpoint that is full answers that it takes no work.

        To end its flows would cut requests that it is working on.
        """
        health = Health()
        for _ in range(3):
            health.on_check(CheckResult.UNHEALTHY, 1.0)
        self.assertFalse(health.down)

    @parameterized.expand([("full", 0.04, False), ("dead", None, True)])
    def test_full_endpoint(self, _, answer_s, down):
        """An endpoint of 2 slots and a queue of 8 is full for a second.

        Its machine leaves checks unanswered, while its clients are answered
        one after the other. Taken for dead, its open flows would be reset,
        and requests cut that it is working on. A dead one's are reset within
        0.2 s.
        """
        health, down_at = Health(), None
        health.ask(1.0, CheckReason.REPORTED)
        for step in range(100):
            now = 1.0 + step / 100.0
            if answer_s is not None and step % int(100 * answer_s) == 0:
                health.on_advance(now)
            if step % 5 == 4 and health.due(now):
                health.on_check(CheckResult.TIMEOUT, now)
            if health.down and down_at is None:
                down_at = now
        self.assertEqual(down, down_at is not None)
        if down:
            self.assertLess(down_at, 1.2)

    def test_return(self):
        """A cut ends; the endpoint takes flows again within a check."""
        health = Health()
        health.on_check(CheckResult.REFUSED, 1.0)
        self.assertFalse(health.due(1.0 + RECHECK_MIN_S / 2))
        self.assertTrue(health.due(1.0 + RECHECK_MIN_S))
        self.assertTrue(health.on_check(CheckResult.ANSWERED, 1.6))
        self.assertFalse(health.down)
        self.assertFalse(health.doubted)

    def test_pause_is_bounded(self):
        """An endpoint that stays down is asked ever less, up to a bound."""
        health, now = Health(), 0.0
        for _ in range(10):
            health.on_check(CheckResult.REFUSED, now)
        self.assertTrue(health.due(now + RECHECK_MAX_S))
