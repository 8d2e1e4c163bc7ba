"""Tests of the dispatcher under load patterns, by what callers receive.

They use the model of `bench.overload` with fewer VMs and shorter runs. Seeds
are fixed and the clock is explicit, so each run gives the same figures.
"""

import random

from parameterized import parameterized
from testtools import TestCase

from bench import _load_callers as callers
from bench import _load_measures as measures
from bench import _load_patterns as patterns
from bench._load_model import DEADLINE_S, Fleet, Result
from pollenmast.decisions import Dispatcher
from pollenmast.manifest import ServiceKind

_VMS = 4
_NAMES = [f"e{n}" for n in range(callers.ENDPOINTS)]


def _fleet(kind: ServiceKind = ServiceKind.REQUEST, vms: int = _VMS) -> Fleet:
    zones = callers.ZONES
    dispatchers = [
        Dispatcher(zones[n % len(zones)], random.Random(n)) for n in range(vms)
    ]
    sessions = kind is ServiceKind.SESSION
    return Fleet(callers.manifest(kind=kind), dispatchers, 1, sessions)


def _received(fleet: Fleet, begin: float, end: float, group: str = "") -> dict:
    jobs = [job for job in fleet.jobs if not group or job.group == group]
    return measures.received(jobs, begin, end)


class LoadTest(TestCase):
    """Callers get good service under each load pattern."""

    def test_steady(self):
        """At 70% load all flows are answered and endpoints evenly loaded."""
        fleet = _fleet()
        callers.steady(fleet, 0.7 * callers.CAPACITY, 0.0, 15.0)
        fleet.loop.run(18.0)
        received = _received(fleet, 3.0, 15.0)
        self.assertEqual(received["asked"], received["answered"])
        placed = measures.imbalance(fleet, _NAMES, 3.0, 15.0)
        self.assertLess(placed["whole"], measures.EVEN)

    @parameterized.expand([("one_vm", 1), ("four", 4), ("nine", 9)])
    def test_overload(self, _, vms):
        """Under a lasting load of five times the capacity, goodput is kept.

        Without a bound on the queues every answer would be late. The endpoints
        serve as much as they can, and other flows are refused at once.
        """
        fleet = _fleet(vms=vms)
        callers.steady(fleet, 5.0 * callers.CAPACITY, 0.0, 12.0)
        fleet.loop.run(15.0)
        done = measures.finished(fleet, 4.0, 12.0, callers.CAPACITY)
        self.assertGreater(done, 0.85)
        received = _received(fleet, 4.0, 12.0)
        self.assertLess(received["late"], received["answered"] / 4)
        self.assertGreater(measures.refusals(fleet)["at_once"], 0.95)

    def test_burst(self):
        """Most requests of a burst are answered, and it has no after-effect.

        Three hundred requests come within a quarter of a second. Most are
        answered by means of the hold and the upstreams' short queues; the
        others are refused with a retry-after time.
        """
        fleet = _fleet()
        callers.steady(fleet, 0.3 * callers.CAPACITY, 0.0, 8.0)
        callers.steady(fleet, 1200.0, 5.0, 5.25, "burst")
        fleet.loop.run(12.0)
        received = _received(fleet, 5.0, 5.25, "burst")
        self.assertGreater(received["answered"], 0.6 * received["asked"])
        after = _received(fleet, 7.0, 8.0)
        self.assertEqual(after["asked"], after["answered"])

    @parameterized.expand(
        [
            ("caller", callers.one_caller),
            ("network", callers.one_network),
        ]
    )
    def test_heavy_caller(self, _, caller):
        """One heavy caller or network does not crowd out the others.

        It sends three times the capacity. In a single FIFO queue it would get
        four of five slots, and most of the others would be refused.
        """
        fleet = _fleet()
        rate = callers.CAPACITY
        callers.steady(fleet, 0.6 * rate, 0.0, 12.0)
        callers.steady(fleet, 3.0 * rate, 3.0, 12.0, "hot", caller)
        fleet.loop.run(15.0)
        others = _received(fleet, 4.0, 12.0, "others")
        self.assertGreater(others["answered"], 0.93 * others["asked"])
        hot = _received(fleet, 4.0, 12.0, "hot")
        self.assertGreater(hot["answered"], 0.25 * 8.0 * rate)

    def test_slow_upstream(self):
        """Flows avoid an endpoint that is five times slower, at half load.

        With a full share its flows would wait for seconds although the other
        endpoints have spare capacity.
        """
        fleet = _fleet()
        callers.steady(fleet, 0.5 * callers.CAPACITY, 0.0, 16.0)
        fleet.upstreams["e0"].slowness = 5.0
        fleet.loop.run(20.0)
        late = _received(fleet, 8.0, 16.0)
        self.assertGreater(late["answered"], 0.99 * late["asked"])

    def test_silent_upstream(self):
        """Callers notice at most a retry if an endpoint does not answer.

        It accepts packets and its report says that it is healthy. Without
        ejection a seventh of the callers would always wait for a retry.
        """
        fleet = _fleet()
        callers.steady(fleet, 0.5 * callers.CAPACITY, 0.0, 14.0)
        fleet.upstreams["e0"].silent = True
        fleet.loop.run(18.0)
        received = _received(fleet, 2.0, 14.0)
        self.assertEqual(received["asked"], received["answered"])
        self.assertLess(fleet.retries, 100)

    def test_cold_endpoint(self):
        """A cold endpoint gets a reduced share of flows at first.

        A manifest adds an endpoint that is four times slower for 6 s and looks
        idle. Without slow start every VM would send it a full share, and the
        first callers after a planned release would wait longest.
        """
        fleet = _fleet(vms=9)
        callers.steady(fleet, 0.7 * callers.CAPACITY, 0.0, 18.0)
        fleet.loop.at(6.0, patterns.cold_start, fleet)
        fleet.loop.run(21.0)
        received = _received(fleet, 6.0, 18.0)
        self.assertEqual(received["asked"], received["answered"])
        begun = measures.placed_in(fleet, [*_NAMES, "e7"], (6.0, 9.0))
        self.assertLess(begun[-1], 0.4 * sum(begun) / len(begun))

    def test_draining_endpoint_gets_no_new_flows(self):
        """A draining endpoint gets no new flows after 3 s, and none is lost."""
        fleet = _fleet()
        callers.steady(fleet, 0.5 * callers.CAPACITY, 0.0, 12.0)
        change = callers.manifest(2, draining=0)
        fleet.loop.at(5.0, fleet.publish, change)
        fleet.loop.run(14.0)
        self.assertLess(fleet.upstreams["e0"].placed[-1], 8.0)
        received = _received(fleet, 5.0, 12.0)
        self.assertEqual(received["asked"], received["answered"])

    def test_endpoint_reports_no_sessions(self):
        """An endpoint that always reports no sessions is not overloaded.

        By its report it would get most of the new sessions until it is full.
        """
        fleet = _fleet(ServiceKind.SESSION)
        callers.steady(fleet, 100.0, 0.0, 10.0, length=lambda _: 60.0)
        fleet.upstreams["e0"].lie = patterns.says_no_sessions
        fleet.loop.run(11.0)
        used = measures.used_in(fleet, _NAMES, (10.0, 11.0))
        self.assertLess(used[0], 1.5 * sum(used) / len(used))

    def test_reports_without_connections(self):
        """A service whose endpoints report no connections stays usable.

        If the reports of all endpoints were distrusted for that, the service
        would be closed.
        """
        fleet = _fleet(ServiceKind.SESSION)
        for upstream in fleet.upstreams.values():
            upstream.lie = patterns.says_no_sessions
        callers.steady(fleet, 100.0, 0.0, 10.0, length=lambda _: 60.0)
        fleet.loop.run(11.0)
        refused = [j for j in fleet.jobs if j.result == Result.REFUSED]
        self.assertEqual([], refused)

    def test_reports_stop(self):
        """Endpoints that serve well are still used without reports.

        Reports stop, for example, when the network of the probes fails.
        """
        fleet = _fleet()
        for upstream in fleet.upstreams.values():
            fleet.loop.at(4.0, setattr, upstream, "reports", False)
        callers.steady(fleet, 0.4 * callers.CAPACITY, 0.0, 14.0)
        fleet.loop.run(18.0)
        received = _received(fleet, 4.0, 14.0)
        self.assertGreater(received["answered"], 0.98 * received["asked"])
        self.assertLess(received["p99_ms"], DEADLINE_S * 1000)
