"""Tests of decisions._request_capacity, _capacity and what they measure by."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._capacity import SessionCapacity
from pollenmast.decisions._fleet_part import FleetPart
from pollenmast.decisions._request_capacity import (
    MOST_BACKLOG,
    TRIAL_RATE,
    RequestCapacity,
)
from pollenmast.decisions._service_time import USUAL_S, ServiceTime
from pollenmast.decisions._trust import Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

_ENDPOINT = Endpoint("e1", "127.0.2.1", 5000, 6000, "z1", 2, 100)


def _part(relays: int) -> FleetPart:
    part = FleetPart()
    part.set_relays(relays)
    return part


def _capacity(relays: int = 1) -> RequestCapacity:
    return RequestCapacity(_ENDPOINT, 2, _part(relays), random.Random(1))


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
    """A VM takes its part of the slots and no more."""

    def test_one_vm_fills_the_slots_at_once(self):
        """An idle endpoint takes at least its slots from a single VM."""
        self.assertGreaterEqual(_fill(_capacity(), 0.0), 2)

    def test_nine_vms_together(self):
        """Nine VMs find the same idle endpoint in the same moment.

        Each for itself would fill it nine times over; the requests beyond
        the queue would be shed or late.
        """
        placed = sum(_fill(_capacity(9), 5.0) for _ in range(9))
        self.assertLessEqual(placed, 9 * 3)

    @parameterized.expand([("fast", 10), ("usual", 4), ("slow", 1)])
    def test_backlog_stays_bounded(self, _, speed):
        """More come all the time than an endpoint of any speed finishes.

        Without regard to what it finishes the queue of a slow one would grow
        until every answer is late; with too much, a fast one would idle.
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
            capacity.compare(capacity.pace())
            capacity.on_report(report, step / 2 + 0.5, Verdict.BELIEVED)
        self.assertLess(backlog, 14)
        self.assertLess(idle, 5)

    def test_one_wrong_report(self):
        """A report says that millions wait; the next ones are right again.

        Were the debt not bounded, the endpoint would stay closed for hours.
        """
        capacity = _capacity()
        capacity.on_report(_report(1), 0.0, Verdict.BELIEVED)
        capacity.on_report(_report(2, 2, 10**9), 0.5, Verdict.BELIEVED)
        wait = (MOST_BACKLOG * 6 + 1) * USUAL_S / 2
        self.assertTrue(capacity.has_room(0.5 + wait, 1.0))

    def test_doubted_report(self):
        """A report hides work; only a trial's worth goes there."""
        capacity = _capacity()
        capacity.on_report(_report(1), 0.0, Verdict.BELIEVED)
        capacity.on_report(_report(2, finished=1), 0.5, Verdict.HIDES)
        _fill(capacity, 0.5)
        placed = sum(_fill(capacity, 1.0 + n / 10) for n in range(100))
        self.assertLessEqual(placed, 10 * TRIAL_RATE + 2)

    def test_restarted_endpoint(self):
        """Its count of finished requests begins anew; that is no standstill."""
        capacity = _capacity()
        capacity.on_report(_report(1, 1, 0, 10**6), 0.0, Verdict.BELIEVED)
        capacity.on_report(_report(2, 0, 0, 3), 0.5, Verdict.BELIEVED)
        self.assertTrue(capacity.has_room(0.6, 1.0))


class SessionCapacityTest(TestCase):
    """A VM takes its part of the free connections."""

    def test_part_of_what_is_free(self):
        """Nine VMs open sessions at once and must not exceed the limit."""
        capacities = [SessionCapacity(_ENDPOINT, _part(9)) for _ in range(9)]
        report = _report(1, connections=10)
        for capacity in capacities:
            capacity.on_report(report, 0.0, Verdict.BELIEVED)
        placed = sum(_fill(capacity, 0.0) for capacity in capacities)
        self.assertLessEqual(placed, 90 + 9)

    def test_full(self):
        """No session goes to an endpoint without a free connection."""
        capacity = SessionCapacity(_ENDPOINT, _part(1))
        full = _report(1, connections=100)
        capacity.on_report(full, 0.0, Verdict.BELIEVED)
        self.assertFalse(capacity.has_room(0.0, 1.0))

    def test_reports_stop(self):
        """The probes are cut for an hour while sessions come and go.

        Counted from the last report, what was placed would only grow, until
        every new session is refused.
        """
        capacity = SessionCapacity(_ENDPOINT, _part(2))
        capacity.on_report(_report(1), 0.0, Verdict.BELIEVED)
        for second in range(10, 3600):
            self.assertTrue(capacity.has_room(second, 1.0))
            capacity.on_placed(second)
            capacity.on_open(-1)
        self.assertEqual(50, _fill(capacity, 3600.0))

    def test_lying_report(self):
        """An endpoint says that it is empty and is not believed."""
        capacity = SessionCapacity(_ENDPOINT, _part(4))
        for _ in range(20):
            capacity.on_placed(0.0)
        capacity.on_report(_report(1), 0.5, Verdict.HIDES)
        self.assertGreaterEqual(capacity.load(0.5), 80)


class FleetPartTest(TestCase):
    """The parts of all VMs are about one whole."""

    def _after(self, placed: int, fill: float) -> float:
        part = _part(10)
        for step in range(200):
            for _ in range(placed):
                part.on_placed()
            part.on_report("e1", fill, 10, step / 2)
        return part.value

    @parameterized.expand(
        [
            ("equal", 1, 1.0, 0.1, 0.1),
            ("asks_less", 0, 0.2, 0.1, 0.1),
            ("gets_half_of_all", 5, 0.2, 0.5, 0.7),
            ("gets_half_and_all_is_full", 5, 2.0, 0.1, 0.3),
        ]
    )
    def test_value(self, _, placed, fill, least, most):
        """It follows what the VM is sent, and shrinks when all is full."""
        value = self._after(placed, fill)
        self.assertGreaterEqual(value, least)
        self.assertLessEqual(value, most)


class ServiceTimeTest(TestCase):
    """Busy slots by finish rate give the service time."""

    @parameterized.expand([("short", 0.02), ("usual", 0.1), ("long", 0.8)])
    def test_measured(self, _, length):
        """It finds the time at any load."""
        time = ServiceTime()
        rng = random.Random(1)
        for _ in range(200):
            rate = 1.0 / length
            done = int(rate * 0.5) + (rng.random() < (rate * 0.5) % 1)
            time.add(1, done, 0.5)
        self.assertAlmostEqual(1.0, time.mean / length, delta=0.3)

    def test_keeps_the_last_value_when_idle(self):
        """A quiet night must not make the first caller's figures noise."""
        time = ServiceTime()
        for _ in range(100):
            time.add(1, 10, 0.5)
        before = time.mean
        for _ in range(10_000):
            time.add(0, 0, 0.5)
        self.assertAlmostEqual(before, time.mean, delta=0.2 * before)
