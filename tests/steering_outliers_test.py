"""Tests of steering: endpoints that fail but pass their health checks."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters
from pollenmast.entry._report import Kind, Report, decode, encode
from pollenmast.steering import (
    Forward,
    Position,
    Steering,
)
from pollenmast.steering._lengths import (
    MAX_ROUTES,
    MIN_ANSWERS,
    AnswerLengths,
)
from pollenmast.steering._outliers import (
    EJECTION_S,
    MAX_EJECTED_SHARE,
    MIN_FAILURES,
    WINDOW_S,
)
from tests import steering_group as group

VMS, ENDPOINTS = 20, 20
FLOWS_PER_S = 120
STEP_S = 0.05
BASELINE_S = 3.0
"""Seconds before the failures in which only usual answers are seen."""

REPORT_EVERY = 10
"""Number of steps between two reports."""

ANSWER_BYTES, ERROR_BYTES = 1200, 187
"""Bytes in the client's first acknowledgement of an answer and of an error."""


class LengthTest(TestCase):
    """Which answers count as failed by their length."""

    ROUTE = ("registry", "198.18.0.1", 443)

    def _lengths(self, *usual: int) -> AnswerLengths:
        lengths = AnswerLengths()
        for _ in range(MIN_ANSWERS):
            for each in usual:
                lengths.observe(self.ROUTE, each)
        return lengths

    @parameterized.expand(
        [
            ("error", (1200, 2400, 814), 187, True),
            ("end_of_flow", (1200, 2400, 814), 1, True),
            ("nothing", (814,), 0, True),
            ("usual", (1200, 2400, 814), 814, False),
            ("a_little_shorter", (1200, 2400), 650, False),
            ("short_route", (246, 247), 187, False),
            ("longer", (246, 247), 80_000, False),
        ]
    )
    def test_short(self, _, usual, length, short):
        """An answer far below the route's usual length is short."""
        lengths = self._lengths(*usual)
        self.assertEqual(short, lengths.observe(self.ROUTE, length))

    def test_unknown(self):
        """A route with few answers has no usual length."""
        self.assertFalse(AnswerLengths().observe(self.ROUTE, 1))

    def test_most_fail(self):
        """Where a third of the answers are errors, errors are usual."""
        lengths = self._lengths(1200, 1200, 187)
        self.assertFalse(lengths.observe(self.ROUTE, 187))

    def test_change(self):
        """The usual length adapts when a route's answers become shorter."""
        lengths = self._lengths(80_000)
        shorts = [lengths.observe(self.ROUTE, 900) for _ in range(600)]
        self.assertTrue(shorts[0])
        self.assertFalse(shorts[-1])

    @given(st.lists(st.integers(-1, 1 << 32), max_size=50))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_any(self, received):
        """No length raises an exception."""
        lengths = AnswerLengths()
        for each in received:
            lengths.observe(self.ROUTE, each)

    def test_memory(self):
        """The number of tracked routes is bounded."""
        lengths = AnswerLengths()
        for port in range(3 * MAX_ROUTES):
            lengths.observe(("registry", "198.18.0.1", port), 9)
        self.assertLessEqual(len(lengths._counts), MAX_ROUTES)


def _vm(number: int) -> Steering:
    core = Steering(group.ZONE, Counters(), random.Random(number))
    known = [group.endpoint(n + 1) for n in range(ENDPOINTS)]
    core.apply(group.listing(*known), -BASELINE_S)
    core.on_confirmed(-BASELINE_S)
    return core


class _Zone:
    """Simulates a zone's VMs, whose clients open a flow for each request."""

    def __init__(self, failing: dict[int, float], *, reports: bool = True):
        """Takes the share of requests that each endpoint fails."""
        self.vms = [_vm(number) for number in range(VMS)]
        self.failed = 0
        self.asked = 0
        self.asked_at: dict[int, int] = {}
        self._failing = failing
        self._reports = reports
        self._rng = random.Random(1)
        self._flows = 0

    def run(self, seconds: float) -> None:
        """Simulates requests, after a period without failures."""
        for step in range(round(-BASELINE_S / STEP_S), round(seconds / STEP_S)):
            now = step * STEP_S
            for _ in range(round(FLOWS_PER_S * STEP_S)):
                self._ask(self._rng.choice(self.vms), now)
            if self._reports and step % REPORT_EVERY == 0:
                self._exchange_reports(now)

    def _exchange_reports(self, now: float) -> None:
        reader = self.vms[0].outliers
        for number, vm in enumerate(self.vms[1:]):
            reader.on_peer_report(
                f"vm{number}", vm.outliers.own_failures(now), now
            )
        ejected = reader.eject(now)
        for vm in self.vms[1:]:
            vm.outliers.on_ejections_reported(ejected, now)

    def _ask(self, vm: Steering, now: float) -> None:
        self._flows += 1
        key = group.flow(self._flows)
        placed = vm.on_segment(group.syn(key), now)
        assert isinstance(placed, Forward)
        number = placed.endpoint.number
        token = placed.endpoint.token
        drawn = self._rng.random() < self._failing.get(number, 0.0)
        fails = drawn and now >= 0.0
        if now >= 0.0:
            self.asked += 1
            self.failed += fails
            self.asked_at[number] = self.asked_at.get(number, 0) + 1
        request = group.segment(key, token, length=300)
        vm.on_segment(request, now + 0.004)
        end = group.segment(
            key,
            token,
            sequence=301,
            acknowledged=1 + (ERROR_BYTES if fails else ANSWER_BYTES),
            fin=True,
        )
        vm.on_segment(end, now + (0.006 if fails else 0.045))


class EjectionTest(TestCase):
    """What clients experience while some endpoints fail."""

    SECONDS = 7.0

    def _run_zone(
        self, failing: dict[int, float], *, reports: bool = True
    ) -> _Zone:
        zone = _Zone(failing, reports=reports)
        zone.run(self.SECONDS)
        return zone

    @parameterized.expand(
        [
            ("one_of_twenty", {1: 1.0}),
            ("two_of_twenty", {1: 1.0, 2: 1.0}),
            ("half_of_its_requests", {1: 0.5}),
        ]
    )
    def test_fewer_fail(self, _, failing):
        """Ejection reduces the number of failed requests.

        The failing endpoints answer errors at once and pass their health
        checks.
        """
        without = self._run_zone(failing, reports=False)
        zone = self._run_zone(failing)
        self.assertGreater(without.failed, 10)
        self.assertLess(zone.failed, 0.6 * without.failed)

    def test_all_fail_alike(self):
        """No endpoint is ejected if all are full now and then."""
        zone = self._run_zone(dict.fromkeys(range(1, ENDPOINTS + 1), 0.2))
        fewest = min(zone.asked_at.values())
        self.assertGreater(fewest, 0.4 * zone.asked / ENDPOINTS)

    def test_occasional_failures(self):
        """A lost answer now and then ejects no endpoint."""
        zone = self._run_zone(dict.fromkeys(range(1, ENDPOINTS + 1), 0.01))
        fewest = min(zone.asked_at.values())
        self.assertGreater(fewest, 0.5 * zone.asked / ENDPOINTS)

    def test_most_stay_in_use(self):
        """Most endpoints stay in use even if half of them fail.

        The others could not bear the load of all.
        """
        zone = _Zone(dict.fromkeys(range(1, 11), 1.0))
        for number in range(1, 11):
            for _ in range(100 - number):
                zone.vms[0].outliers.on_failed(number, 1.0)
        ejected = zone.vms[0].outliers.eject(1.0)
        self.assertLessEqual(len(ejected), MAX_EJECTED_SHARE * ENDPOINTS)

    def test_one_endpoint(self):
        """A service's only endpoint is never ejected."""
        core = group.steering(group.endpoint(1))
        for _ in range(50):
            core.outliers.on_failed(1, 1.0)
        self.assertEqual([], core.outliers.eject(1.0))

    def test_tried_again(self):
        """An ejected endpoint gets flows again after the ejection time."""
        core = group.steering(group.endpoint(1), group.endpoint(2))
        for _ in range(MIN_FAILURES):
            core.outliers.on_failed(1, 1.0)
        self.assertEqual([1], core.outliers.eject(1.0))
        health = core.catalog.get(group.endpoint(1).name).health
        self.assertTrue(health.is_avoided(1.1))
        self.assertEqual([], core.outliers.eject(1.0 + WINDOW_S + EJECTION_S))
        self.assertFalse(health.is_avoided(1.0 + WINDOW_S + EJECTION_S))

    def test_unknown(self):
        """Reports that name unknown endpoints are ignored."""
        core = group.steering(group.endpoint(1), group.endpoint(2))
        core.outliers.on_peer_report("b", {99: 50}, 1.0)
        core.outliers.on_ejections_reported([98], 1.0)
        self.assertEqual([], core.outliers.eject(1.0))


class ReportTest(TestCase):
    """Failures and ejections in reports between VMs."""

    def test_round_trip(self):
        """Failures and ejected endpoints survive encoding and decoding."""
        report = Report(
            Kind.ASK,
            "a",
            "z",
            Position(1, 5),
            0.0,
            failures={7: 3},
            ejected=(9,),
        )
        told = decode(encode(report)).ok_value
        self.assertEqual({7: 3}, told.failures)
        self.assertEqual((9,), told.ejected)

    @parameterized.expand(
        [
            ("huge", {7: 1 << 60}, 1000),
            ("negative", {7: -5}, 0),
        ]
    )
    def test_clamped(self, _, failures, believed):
        """A VM's reported failures are limited to a plausible range."""
        report = Report(
            Kind.ASK, "a", "z", Position(1, 5), 0.0, failures=failures
        )
        told = decode(encode(report)).ok_value
        self.assertEqual({7: believed}, told.failures)

    def test_too_many(self):
        """A report with thousands of failures is rejected."""
        failures = dict.fromkeys(range(5000), 1)
        report = Report(
            Kind.ASK, "a", "z", Position(1, 5), 0.0, failures=failures
        )
        self.assertTrue(decode(encode(report)).is_err())


class SaturationTest(TestCase):
    """Endpoints of a saturated service."""

    @parameterized.expand([("saturated", True, 0), ("not", False, 6)])
    def test_failures_of_a_saturated_service(self, _, saturated, expected):
        """Late requests of a backlog do not eject endpoints that work.

        After a loss of power two thirds of the endpoints were ejected, and the
        rest could not handle the usual load.
        """
        core = group.steering(group.endpoint(1), group.endpoint(2))
        core.outliers.set_is_saturated(lambda service, now: saturated)
        for _ in range(6):
            core.outliers.on_failed(1, 0.0)
        failures = core.outliers.own_failures(0.0)
        self.assertEqual(expected, failures.get(1, 0))
