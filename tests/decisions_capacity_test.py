"""Tests of decisions._request_capacity, _capacity and their estimators."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._capacity import SessionCapacity
from pollenmast.decisions._fleet_part import CapacityShare
from pollenmast.decisions._request_capacity import (
    MAX_DEBT_FACTOR,
    TRIAL_RATE,
    RequestCapacity,
)
from pollenmast.decisions._service_time import (
    DEFAULT_SERVICE_TIME_S,
    ServiceTime,
)
from pollenmast.decisions._trust import Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

_ENDPOINT = Endpoint("e1", "127.0.2.1", 5000, 6000, "z1", 2, 100)


def _share(relays: int) -> CapacityShare:
    capacity_share = CapacityShare()
    capacity_share.set_relays(relays)
    return capacity_share


def _capacity(relays: int = 1) -> RequestCapacity:
    return RequestCapacity(_ENDPOINT, 2, _share(relays), random.Random(1))


def _report(sequence: int, running=0, queued=0, finished=0, connections=0):
    return EndpointReport(
        1, "e1", sequence, True, running, queued, connections, finished, 60.0
    )


def _fill(capacity, now: float, most: int = 100) -> int:
    placed = 0
    while placed < most and capacity.has_room(now, 1.0):
        capacity.on_placed(now)
        placed += 1
    return placed


class RequestCapacityTest(TestCase):
    """A VM uses its share of the slots and no more."""

    def test_one_vm_fills_the_slots_at_once(self):
        """A single VM may fill at least all slots of an idle endpoint."""
        self.assertGreaterEqual(_fill(_capacity(), 0.0), 2)

    def test_nine_vms_together(self):
        """Nine VMs together do not overfill an idle endpoint.

        Without shares they would fill it nine times over, and the requests
        beyond the queue would be shed or late.
        """
        placed = sum(_fill(_capacity(9), 5.0) for _ in range(9))
        self.assertLessEqual(placed, 9 * 3)

    @parameterized.expand([("fast", 10), ("usual", 4), ("slow", 1)])
    def test_backlog_stays_bounded(self, _, speed):
        """Under lasting overload the queue is bounded at any endpoint speed.

        If the finish rate were ignored, the queue of a slow endpoint would
        grow until every answer is late. If it were followed too strictly, a
        fast endpoint would be idle at times.
        """
        capacity, backlog, finished, idle = _capacity(), 0, 0, 0
        for step in range(1, 81):
            for tenth in range(5):
                backlog += _fill(capacity, step / 2 + tenth / 10)
            done = min(speed, backlog)
            idle += step > 20 and done < speed
            backlog, finished = backlog - done, finished + done
            report = _report(
                step, min(backlog, 2), max(backlog - 2, 0), finished
            )
            capacity.compare(capacity.service_time_s())
            capacity.on_report(report, step / 2 + 0.5, Verdict.TRUSTED)
        self.assertLess(backlog, 14)
        self.assertLess(idle, 5)

    def test_wrong_report_closes_endpoint_briefly(self):
        """A single wrong report closes an endpoint only for a short time.

        The report says that a billion requests are queued. Without a bound
        of the debt, the endpoint would stay closed for hours.
        """
        capacity = _capacity()
        capacity.on_report(_report(1), 0.0, Verdict.TRUSTED)
        capacity.on_report(_report(2, 2, 10**9), 0.5, Verdict.TRUSTED)
        wait = (MAX_DEBT_FACTOR * 6 + 1) * DEFAULT_SERVICE_TIME_S / 2
        self.assertTrue(capacity.has_room(0.5 + wait, 1.0))

    def test_distrusted_report_limits_rate(self):
        """An endpoint whose report hides work gets flows only at a low rate."""
        capacity = _capacity()
        capacity.on_report(_report(1), 0.0, Verdict.TRUSTED)
        capacity.on_report(_report(2, finished=1), 0.5, Verdict.HIDES)
        _fill(capacity, 0.5)
        placed = sum(_fill(capacity, 1.0 + n / 10) for n in range(100))
        self.assertLessEqual(placed, 10 * TRIAL_RATE + 2)

    def test_restarted_endpoint(self):
        """A restart resets the finished count, which does not close it."""
        capacity = _capacity()
        capacity.on_report(_report(1, 1, 0, 10**6), 0.0, Verdict.TRUSTED)
        capacity.on_report(_report(2, 0, 0, 3), 0.5, Verdict.TRUSTED)
        self.assertTrue(capacity.has_room(0.6, 1.0))


class SessionCapacityTest(TestCase):
    """A VM uses its share of the free connections and no more."""

    def test_vms_share_free_connections(self):
        """Nine VMs together stay within the free connections."""
        capacities = [SessionCapacity(_ENDPOINT, _share(9)) for _ in range(9)]
        report = _report(1, connections=10)
        for capacity in capacities:
            capacity.on_report(report, 0.0, Verdict.TRUSTED)
        placed = sum(_fill(capacity, 0.0) for capacity in capacities)
        self.assertLessEqual(placed, 90 + 9)

    def test_full_endpoint_has_no_room(self):
        """No session goes to an endpoint without a free connection."""
        capacity = SessionCapacity(_ENDPOINT, _share(1))
        full = _report(1, connections=100)
        capacity.on_report(full, 0.0, Verdict.TRUSTED)
        self.assertFalse(capacity.has_room(0.0, 1.0))

    def test_sessions_without_reports(self):
        """Sessions are placed for an hour without reports.

        If flows were counted since the last report, the count would only grow
        although sessions end, until every new session is refused.
        """
        capacity = SessionCapacity(_ENDPOINT, _share(2))
        capacity.on_report(_report(1), 0.0, Verdict.TRUSTED)
        for second in range(10, 3600):
            self.assertTrue(capacity.has_room(second, 1.0))
            capacity.on_placed(second)
            capacity.on_open(-1)
        self.assertEqual(50, _fill(capacity, 3600.0))

    def test_distrusted_report_is_not_used(self):
        """A report that is not trusted does not make an endpoint look empty."""
        capacity = SessionCapacity(_ENDPOINT, _share(4))
        for _ in range(20):
            capacity.on_placed(0.0)
        capacity.on_report(_report(1), 0.5, Verdict.HIDES)
        self.assertGreaterEqual(capacity.load(0.5), 80)


class CapacityShareTest(TestCase):
    """The shares of all VMs add up to about 1."""

    def _after(self, placed: int, fill: float) -> float:
        capacity_share = _share(10)
        for step in range(200):
            for _ in range(placed):
                capacity_share.on_placed()
            capacity_share.on_report("e1", fill, 10, step / 2)
        return capacity_share.value

    @parameterized.expand(
        [
            ("equal", 1, 1.0, 0.1, 0.1),
            ("asks_less", 0, 0.2, 0.1, 0.1),
            ("gets_half_of_all", 5, 0.2, 0.5, 0.7),
            ("gets_half_and_all_is_full", 5, 2.0, 0.1, 0.3),
        ]
    )
    def test_value(self, _, placed, fill, least, most):
        """The share follows the VM's traffic and shrinks at full endpoints."""
        value = self._after(placed, fill)
        self.assertGreaterEqual(value, least)
        self.assertLessEqual(value, most)


class ServiceTimeTest(TestCase):
    """The service time is busy slots divided by the finish rate."""

    @parameterized.expand([("short", 0.02), ("usual", 0.1), ("long", 0.8)])
    def test_measured(self, _, length):
        """The estimate is right for short, usual and long requests."""
        time = ServiceTime()
        rng = random.Random(1)
        for _ in range(200):
            rate = 1.0 / length
            done = int(rate * 0.5) + (rng.random() < (rate * 0.5) % 1)
            time.add(1, done, 0.5)
        self.assertAlmostEqual(1.0, time.mean / length, delta=0.3)

    def test_keeps_the_last_value_when_idle(self):
        """A long idle period does not turn the estimate into noise."""
        time = ServiceTime()
        for _ in range(100):
            time.add(1, 10, 0.5)
        before = time.mean
        for _ in range(10_000):
            time.add(0, 0, 0.5)
        self.assertAlmostEqual(before, time.mean, delta=0.2 * before)
