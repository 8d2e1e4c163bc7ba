"""Tests of entry._checks with endpoints whose accept queue may be full."""

import math

import attrs
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason, Counters, Histograms
from pollenmast.entry._checks import MIN_SCAN_INTERVAL_S, HealthChecker
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import EventLog
from pollenmast.steering import CheckResult, Steering
from pollenmast.steering._health import (
    FAILURE_THRESHOLD,
    FULL_CHECK_INTERVAL_S,
    FULL_SPAN_S,
)
from tests import steering_group as group

CHECK_S = 0.037
"""Duration in seconds of a check: three take 111 ms."""

FULL = 1
"""Number of the endpoint that does not answer its checks."""

MAX_CONNECTS = 1 + FULL_SPAN_S / FULL_CHECK_INTERVAL_S
"""Checks of one endpoint until it is marked down under load."""


@attrs.define
class _Run:
    """What a simulated VM did with the endpoint that does not answer.

    Attributes:
        reset_at: When its flow was reset, in seconds, or None.
        connects: Number of checks of it.
        reset_flows: Ports of the clients whose flows were reset.
        up: Whether the endpoint is up at the end.
    """

    reset_at: float | None = None
    connects: int = 0
    reset_flows: list[int] = attrs.field(factory=list)
    up: bool = True


class _Probe(HealthProbe):
    """Answers checks at once, except those of the full endpoint."""

    def __init__(self, run: _Run, result: CheckResult, answers_from: float):
        self._run = run
        self._result = result
        self._answers_from = answers_from

    @property
    def timeout_s(self):
        return CHECK_S

    async def check(self, endpoint, path, extra_s):
        if endpoint.number != FULL:
            return CheckResult.ANSWERED
        self._run.connects += 1
        if trio.current_time() >= self._answers_from:
            return CheckResult.ANSWERED
        await trio.sleep(CHECK_S)
        return self._result

    async def reaches(self, endpoint, extra_s):
        return endpoint.number != FULL


class _Packets:
    """Records the resets to be sent."""

    def __init__(self, run: _Run, began: float):
        self._run = run
        self._began = began

    def send_resets(self, resets, now):
        for reset in resets:
            self._run.reset_flows.append(reset.flow.client_port)
            self._run.reset_at = now - self._began


def _core(is_short: bool, enabled: bool, now: float) -> Steering:
    """Returns a core with a request in progress at each of three endpoints."""
    core = group.steering(
        group.endpoint(FULL),
        group.endpoint(2),
        group.endpoint(3, zone=group.OTHER_ZONE),
        now=now,
    )
    core.load_signs.set_enabled(enabled)
    core.load_signs.set_is_short(lambda endpoint, now: is_short)
    for number in (1, 2, 3):
        request = group.segment(group.flow(number), number, length=10)
        core.on_segment(request, now)
    return core


def _simulate(
    result: CheckResult,
    is_short: bool,
    enabled: bool = True,
    progress_at: float | None = None,
    answers_from: float = math.inf,
    run_s: float = 3.0,
) -> _Run:
    """Simulates a VM with flows to three endpoints, one of which is suspect.

    Args:
        result: The result of its checks.
        is_short: Whether its service is short of capacity on the VM.
        enabled: Whether the rule for full endpoints is enabled.
        progress_at: When its client acknowledges an answer, in seconds.
        answers_from: When it begins to answer checks, in seconds.
        run_s: Length of the simulation in seconds.
    """
    run = _Run()

    async def main() -> None:
        began = trio.current_time()
        core = _core(is_short, enabled, began)
        health = core.catalog.by_number(FULL).health
        health.request_check(began, CheckReason.SILENT)
        checker = HealthChecker(
            _Probe(run, result, began + answers_from),
            core,
            _Packets(run, began),
            PauseDetector(lambda: 0.0),
            Counters(),
            Histograms(),
            EventLog("t", "vm"),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checker.run)
            if progress_at is not None:
                await trio.sleep(progress_at)
                answered = group.segment(
                    group.flow(FULL), FULL, sequence=11, acknowledged=900
                )
                core.on_segment(answered, trio.current_time())
            await trio.sleep_until(began + run_s)
            nursery.cancel_scope.cancel()
        run.up = not health.down

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return run


class FullEndpointTest(TestCase):
    """An endpoint whose accept queue is full keeps its established flows."""

    @parameterized.expand(
        [("enabled", True, []), ("disabled", False, [1024 + FULL])]
    )
    def test_established_flow(self, _, enabled, reset_flows):
        """A full endpoint's flow is not reset before its answer arrives.

        With five times the load from one zone, an accept queue was full. Three
        connects to the health port timed out within 111 ms, two control
        endpoints were reached, and the VM reset an established flow. The
        endpoint executed its request 90 ms later, so a request that may not be
        repeated was lost. With the rule disabled this still happens.
        """
        run = _simulate(
            CheckResult.TIMEOUT,
            is_short=True,
            enabled=enabled,
            progress_at=3 * CHECK_S + 0.09,
            answers_from=0.4,
        )
        self.assertEqual(reset_flows, run.reset_flows)
        self.assertTrue(run.up)

    def test_full_between_answers(self):
        """A full endpoint that answers once in the span is not marked down.

        It answers one client 1.4 s after the first failed check, as its queue
        is long and its requests are slow. Failures before and after the answer
        must not add up to a span that marks it down.
        """
        run = _simulate(
            CheckResult.TIMEOUT, is_short=True, progress_at=1.4, run_s=2.9
        )
        self.assertEqual([], run.reset_flows)


class DeadEndpointTest(TestCase):
    """A dead endpoint is found, under load too."""

    @parameterized.expand(
        [
            ("normal_load", CheckResult.TIMEOUT, False, True, 0.0, 0.2),
            (
                "loaded",
                CheckResult.TIMEOUT,
                True,
                True,
                CHECK_S + FULL_SPAN_S,
                2 * CHECK_S + FULL_SPAN_S + MIN_SCAN_INTERVAL_S,
            ),
            ("loaded_disabled", CheckResult.TIMEOUT, True, False, 0.0, 0.2),
            ("refused", CheckResult.REFUSED, True, True, 0.0, 0.05),
            ("other_process", CheckResult.OTHER, True, True, 0.0, 0.05),
        ]
    )
    def test_found_in_time(self, _, result, is_short, enabled, least, most):
        """Flows of a dead endpoint are reset as soon as the evidence allows.

        Its clients wait for their deadlines meanwhile. Under normal load three
        timeouts in a row suffice. Under load they span `FULL_SPAN_S` from the
        first failed check, and one more check. A refused connection and
        another process at the address never come from a full queue.
        """
        run = _simulate(result, is_short, enabled)
        self.assertIsNotNone(run.reset_at)
        self.assertGreaterEqual(run.reset_at, least)
        self.assertLessEqual(run.reset_at, most)
        self.assertFalse(run.up)

    @parameterized.expand([("dead", None), ("full", 0.2)])
    def test_connects_bounded(self, _, progress_at):
        """Checks of an endpoint that may be full are spaced over the span.

        Each check takes a place in the accept queue of a loaded endpoint. Back
        to back, they would be dozens a second from each VM.
        """
        run = _simulate(
            CheckResult.TIMEOUT,
            is_short=True,
            progress_at=progress_at,
            run_s=FULL_SPAN_S + 2 * CHECK_S + MIN_SCAN_INTERVAL_S,
        )
        self.assertGreaterEqual(run.connects, FAILURE_THRESHOLD)
        self.assertLessEqual(run.connects, MAX_CONNECTS)
