"""Tests of steering._load_signs, and of steering._health under load."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason
from pollenmast.steering import CheckResult, Health
from pollenmast.steering._answer_times import MAX_ANSWER_S
from pollenmast.steering._health import FAILURE_THRESHOLD, FULL_SPAN_S
from pollenmast.steering._load_signs import (
    MIN_ENDPOINTS,
    RECENT_S,
    SLOW_FACTOR,
)
from tests import steering_group as group

USUAL_S = 0.05
"""Usual answer time in seconds in these tests."""

SLOW_S = 1.2 * SLOW_FACTOR * USUAL_S
TIMEOUT = CheckResult.TIMEOUT


class SpanTest(TestCase):
    """How long failed checks of an endpoint under load have to go on."""

    @parameterized.expand(
        [
            # Results as (seconds since the first one, under load).
            ("normal", [(0.0, False), (0.05, False), (0.1, False)], True),
            ("loaded", [(0.0, True), (0.05, True), (0.1, True)], False),
            ("load_began", [(0.0, False), (0.05, False), (0.1, True)], False),
            ("load_ended", [(0.0, True), (0.5, False), (1.0, False)], False),
            (
                "whole_span",
                [(0.0, True), (0.5, True), (FULL_SPAN_S, True)],
                True,
            ),
            ("few_checks", [(0.0, True), (FULL_SPAN_S, True)], False),
        ]
    )
    def test_timeouts(self, _, results, down):
        """Timeouts under load mark an endpoint down only after the span.

        A full accept queue drops connects for a second. Load that is seen at
        any of the failures counts for all of them: its signs may come and go
        while the queue stays full.
        """
        health = Health()
        for after_s, may_be_full in results:
            health.on_check(TIMEOUT, 1.0 + after_s, may_be_full)
        self.assertEqual(down, health.down)

    def test_avoided_meanwhile(self):
        """New flows avoid an endpoint until it is decided whether it is down.

        They would wait in a full queue, or for a dead endpoint.
        """
        health = Health()
        health.request_check(1.0, CheckReason.SILENT)
        for step in range(int(FULL_SPAN_S / 0.1)):
            now = 1.0 + 0.1 * step
            if health.due(now):
                health.on_check(TIMEOUT, now, True)
            self.assertFalse(health.accepts_new_flows(now))
            self.assertFalse(health.down)

    def test_load_of_last_failure(self):
        """Load during earlier failures does not delay a later detection.

        The endpoint answered since. If the load were remembered, the clients
        of an endpoint that dies under normal load would wait for the span.
        """
        health = Health()
        health.on_check(TIMEOUT, 1.0, True)
        health.on_progress(1.2)
        for step in range(FAILURE_THRESHOLD):
            health.on_check(TIMEOUT, 9.0 + 0.05 * step, False)
        self.assertTrue(health.down)

    def test_still_down(self):
        """Rechecks of an endpoint that is down do not bring it up under load.

        New flows would then be placed on a dead endpoint.
        """
        health = Health()
        health.on_check(CheckResult.REFUSED, 1.0, True)
        for step in range(1, 6):
            health.on_check(TIMEOUT, 1.0 + step, True)
            self.assertTrue(health.down)


def _answer(core, number: int, took_s: float, now: float) -> None:
    """Simulates a request on a new flow that is answered after a time."""
    key = group.flow(int(1000 * now) % 60000)
    began = now - took_s
    request = group.segment(key, number, length=10)
    core.on_segment(request, began)
    answered = group.segment(key, number, sequence=11, acknowledged=900)
    core.on_segment(answered, now)
    core.on_segment(group.segment(key, number, fin=True), now)


class SlowAnswersTest(TestCase):
    """Slow answers of a service are a sign that its endpoints may be full."""

    def _core(self, endpoints: int = 4):
        known = [group.endpoint(1 + n) for n in range(endpoints)]
        core = group.steering(*known)
        for step in range(20):
            for endpoint in known:
                now = 1.0 + step + 0.1 * endpoint.number
                _answer(core, endpoint.number, USUAL_S, now)
        return core

    def _may_be_full(self, core, now: float) -> bool:
        record = core.catalog.by_number(1)
        return core.load_signs.may_be_full(record, now)

    @parameterized.expand(
        [
            # Answer times of endpoints 2, 3 and 4, seconds since them.
            ("usual", (USUAL_S, USUAL_S, USUAL_S), 0.0, False),
            ("all_slow", (SLOW_S, SLOW_S, SLOW_S), 0.0, True),
            ("most_slow", (SLOW_S, SLOW_S, USUAL_S), 0.0, True),
            ("one_slow", (SLOW_S, USUAL_S, USUAL_S), 0.0, False),
            ("earlier", (SLOW_S, SLOW_S, SLOW_S), 2 * RECENT_S, False),
            ("two_only", (SLOW_S, SLOW_S), 0.0, False),
        ]
    )
    def test_answers(self, _, times, later_s, expected):
        """Most of the service's recent answers have to be slow.

        A single long request must not delay the detection of a dead endpoint,
        nor may slow answers from before a load spike ended.
        """
        core, now = self._core(), 30.0
        for number, took_s in enumerate(times, start=2):
            _answer(core, number, took_s, now + 0.01 * number)
        self.assertEqual(expected, self._may_be_full(core, now + 0.1 + later_s))

    def test_dead_endpoints(self):
        """Requests that nobody answers are no sign of load.

        When a machine room loses power, the requests at all its endpoints are
        late. If that counted as load, its clients would wait for the span.
        """
        core = self._core()
        for number in range(1, 5):
            key = group.flow(100 + number)
            core.on_segment(group.segment(key, number, length=10), 30.0)
        self.assertFalse(self._may_be_full(core, 30.3))

    def test_abandoned_requests(self):
        """A request that its client abandoned is not taken for a slow answer.

        The next progress at the endpoint may come seconds later.
        """
        core, now = self._core(), 30.0
        for number in range(1, 5):
            key = group.flow(100 + number)
            core.on_segment(group.segment(key, number, length=10), now)
            later = now + 1.1 * MAX_ANSWER_S + 0.01 * number
            _answer(core, number, USUAL_S, later)
        self.assertFalse(
            self._may_be_full(core, now + 1.1 * MAX_ANSWER_S + 0.1)
        )

    def test_few_endpoints(self):
        """A service with fewer endpoints than needed shows no slow answers."""
        core, now = self._core(MIN_ENDPOINTS - 1), 30.0
        for number in range(1, MIN_ENDPOINTS):
            _answer(core, number, SLOW_S, now + 0.01 * number)
        self.assertFalse(self._may_be_full(core, now + 0.1))


class HookTest(TestCase):
    """The admission state of the service is a sign of load."""

    @parameterized.expand(
        [
            ("default", None, True, False),
            ("short", True, True, True),
            ("not_short", False, True, False),
            ("disabled", True, False, False),
        ]
    )
    def test_hook(self, _, is_short, enabled, expected):
        """Capacity is not short unless the hook says so.

        Without admission control, detection has to stay as fast as it was.
        """
        core = group.steering(group.endpoint(1))
        asked = []
        if is_short is not None:
            core.load_signs.set_is_short(
                lambda endpoint, now: asked.append(endpoint.name) or is_short
            )
        core.load_signs.set_enabled(enabled)
        record = core.catalog.by_number(1)
        self.assertEqual(expected, core.load_signs.may_be_full(record, 1.0))
        if is_short is not None and enabled:
            self.assertEqual([record.endpoint.name], asked)

    def test_timeouts_reset_no_flow(self):
        """Timeouts within the span reset no flow while capacity is short."""
        core = group.steering(group.endpoint(1))
        core.load_signs.set_is_short(lambda endpoint, now: True)
        core.on_segment(group.segment(group.flow(), 1, length=10), 1.0)
        record = core.catalog.by_number(1)
        resets = []
        for step in range(FAILURE_THRESHOLD):
            resets += core.on_check(record, TIMEOUT, 1.2 + 0.05 * step)
        self.assertEqual([], resets)
