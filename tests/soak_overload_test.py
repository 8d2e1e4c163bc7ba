"""Tests of the soak's invariants of overload, and of its endpoints' slots."""

import types
import zlib

from parameterized import parameterized
from testtools import TestCase

from soak import _invariants as invariants
from soak._clients import BULK, REJECTED, RequestRecord
from soak._endpoints import configuration
from soak._invariants import URGENT, Drain, Observations
from soak._schedule import (
    ENDPOINT_FAULTS,
    FIRST_LOAD_SEED,
    UNPLANNED,
    Kind,
    schedule,
)
from soak._slots import MAX_QUEUED, SLOTS, Slots

_REJECTION = f"i-1 {REJECTED}"


def _requests(route, client, answers, since=100.0, interval_s=0.05):
    """Returns a request for each answer, sent at equal intervals."""
    return [
        RequestRecord(route, route, at, at, answer, client)
        for at, answer in (
            (since + n * interval_s, answer) for n, answer in enumerate(answers)
        )
    ]


def _endpoint(slots=None, **fields):
    known = {
        "service": URGENT,
        "zone": "a",
        "slots": slots or Slots(),
        "started_at": 0.0,
        "draining_at": None,
        "ended_at": None,
        "warmups": [],
        "requests": [],
    }
    return types.SimpleNamespace(**(known | fields))


def _observed(requests, endpoints=(), disturbances=(), drains=(), faults=()):
    return Observations(
        types.SimpleNamespace(requests=requests),
        types.SimpleNamespace(all=list(endpoints)),
        [],
        [],
        list(disturbances),
        0.0,
        list(drains),
        list(faults),
    )


class UrgentTest(TestCase):
    """Urgent requests are served while less urgent ones of the service are."""

    @parameterized.expand(
        [
            ("all_served", ["ok"] * 40, ["ok"] * 40, (), False),
            ("few_lost", ["ok"] * 38 + [""] * 2, ["ok"] * 40, (), False),
            ("rejected", ["ok", _REJECTION] * 20, ["ok"] * 40, (), True),
            ("refused", ["ok", ""] * 20, ["ok"] * 40, (), True),
            ("nobody_served", ["ok", ""] * 20, [""] * 40, (), False),
            ("disturbed", ["ok", ""] * 20, ["ok"] * 40, [(99.0, 99.5)], False),
        ]
    )
    def test_shares(self, _, urgent, bulk, disturbances, broken):
        """Guards against flows that are admitted without regard to priority.

        Rejections of full endpoints then hit urgent requests as often as
        others. If nobody is served, other checks apply.
        """
        seen = _observed(
            _requests(URGENT, "c", urgent) + _requests(BULK, "c", bulk),
            disturbances=disturbances,
        )
        self.assertEqual(broken, bool(invariants._urgent(seen)))

    def test_endpoint_fault(self):
        """Requests lost with a crashed endpoint are not held against VMs."""
        seen = _observed(
            _requests(URGENT, "c", ["ok", ""] * 20)
            + _requests(BULK, "c", ["ok"] * 40),
            faults=[(99.0, 101.0)],
        )
        self.assertEqual([], invariants._urgent(seen))


def _slots(*full):
    """Returns slots that are full from and until these times."""
    slots = Slots()
    for since, until in full:
        for _ in range(SLOTS):
            slots.offer(since, until - since)
    return slots


class RefusalsTest(TestCase):
    """No SYN is refused while the service has had free slots for 2 s."""

    @parameterized.expand(
        [
            ("idle", [[], []], {}, True),
            ("one_full", [[(98.0, 101.0)], []], {}, True),
            ("in_turn", [[(98.5, 99.0)], [(99.1, 99.5)]], {}, True),
            ("both_full", [[(98.5, 99.2)], [(99.1, 99.5)]], {}, False),
            ("full_before", [[(97.0, 98.1)], [(97.5, 98.2)]], {}, False),
            ("full_long_ago", [[(90.0, 91.0)], [(90.0, 91.0)]], {}, True),
            ("not_limited", [], {}, False),
            ("new", [[]], {"started_at": 96.0}, False),
            ("leaving", [[]], {"draining_at": 99.0}, False),
            ("ended", [[]], {"ended_at": 99.0}, False),
            ("warming_up", [[]], {"warmups": [(97.0, 99.0)]}, False),
            ("other_service", [[]], {"service": "barcodes"}, False),
        ]
    )
    def test_free_slots(self, _, full, fields, broken):
        """Guards against requests in progress that a VM never ends.

        Their credits would stay in use, and the VM would refuse flows for
        which endpoints have slots. Endpoints that cannot take new flows do not
        count.
        """
        request = RequestRecord("x", BULK, 99.5, 99.5, refused_at=[100.0])
        endpoints = [_endpoint(_slots(*each), **fields) for each in full]
        seen = _observed([request], endpoints)
        self.assertEqual(broken, bool(invariants._refusals(seen)))

    @parameterized.expand(
        [
            ("zone_drained", {"drains": [Drain("a", 90.0, 98.0)]}),
            ("disturbed", {"disturbances": [(90.0, 95.0)]}),
            ("endpoint_fault", {"faults": [(99.0, 99.5)]}),
        ]
    )
    def test_left_out(self, _, what):
        """Guards against false reports where capacity is limited or unknown.

        A drained zone takes no flows, and VMs learn of a crash only later.
        """
        request = RequestRecord("x", BULK, 99.5, 99.5, refused_at=[100.0])
        seen = _observed([request], [_endpoint()], **what)
        self.assertEqual([], invariants._refusals(seen))


class RouteTest(TestCase):
    """Requests of the less urgent route reach its service only."""

    @parameterized.expand([(URGENT, False), ("barcodes", True)])
    def test_bulk(self, service, broken):
        """Guards against held flows that are placed on another service."""
        ran = types.SimpleNamespace(name=f"{BULK}/1", at=100.0)
        endpoint = _endpoint(service=service, name="i-1", requests=[ran])
        seen = _observed([], [endpoint])
        self.assertEqual(broken, bool(invariants._route(seen)))


class ShutOutTest(TestCase):
    """No client address is left out for 10 s while others are served."""

    @parameterized.expand(
        [
            ("served", ["ok"] * 150, ["ok"] * 150, (), False),
            ("never", [""] * 150, ["ok"] * 150, (), True),
            ("rejected", [_REJECTION] * 150, ["ok"] * 150, (), True),
            (
                "later_served",
                ["ok"] + [""] * 120 + ["ok"] * 29,
                ["ok"] * 150,
                (),
                True,
            ),
            ("short", ([""] * 80 + ["ok"]) * 2, ["ok"] * 150, (), False),
            ("all_alike", [""] * 150, [""] * 150, (), False),
            ("disturbed", [""] * 150, ["ok"] * 150, [(105.0, 106.0)], False),
        ]
    )
    def test_gaps(self, _, first, second, disturbances, broken):
        """Guards against a client account that never gets its turn.

        This would happen if the queue of held flows preferred the same
        accounts each time, or counted all attempts of one as retries.
        """
        seen = _observed(
            _requests(URGENT, "one", first, interval_s=0.1)
            + _requests(URGENT, "two", second, interval_s=0.1),
            disturbances=disturbances,
        )
        self.assertEqual(broken, bool(invariants._shut_out(seen)))


class SlotsTest(TestCase):
    """The slots of an endpoint of the soak."""

    def test_queue(self):
        """Requests wait in order, and a full queue rejects.

        Without a limit an overload would only delay requests, and the soak
        would never see one rejected.
        """
        slots = Slots()
        ends = [slots.offer(10.0, 1.0) for _ in range(SLOTS + MAX_QUEUED)]
        self.assertEqual([11.0, 11.0, 12.0, 12.0], ends[:4])
        self.assertIsNone(slots.offer(10.5, 1.0))
        self.assertEqual(16.0, slots.offer(11.0, 1.0))

    def test_full(self):
        """Slots are full while as many requests as there are slots run."""
        slots = Slots()
        slots.offer(10.0, 1.0)
        self.assertFalse(slots.is_full(10.5))
        slots.offer(10.5, 2.0)
        self.assertTrue(slots.is_full(10.7))
        self.assertFalse(slots.is_full(11.0))
        self.assertEqual([10.5], slots.filled_at(10.0, 11.0))


class LoadSeedsTest(TestCase):
    """Seeds with limited endpoints, and those before them."""

    def test_spikes_are_checked(self):
        """Guards against a range whose spikes all overlap disturbances.

        No bound is checked then, and a run would pass whatever the VMs do.
        """
        seeds = range(FIRST_LOAD_SEED, FIRST_LOAD_SEED + 100, 2)
        runs = [{f.kind for f in schedule(seed, 22.0)} for seed in seeds]
        for kinds in runs:
            self.assertFalse(kinds & (UNPLANNED | ENDPOINT_FAULTS))
        with_spike = sum(Kind.SPIKE in kinds for kinds in runs)
        self.assertGreater(with_spike, 0.8 * len(runs))
        self.assertIn({Kind.SPIKE}, runs)

    @parameterized.expand(
        [
            (17, "dbc8c94d"),
            (1001, "eef48fc1"),
            (2010, "551cc79a"),
        ]
    )
    def test_earlier_draws(self, seed, expected):
        """Guards against kept seeds that no longer mean what they meant.

        The digests are those of the code before spikes were added.
        """
        drawn = [
            (round(f.at, 6), f.for_s, f.kind.name, round(f.draw, 6), f.share)
            for f in schedule(seed, 22.0)
        ]
        self.assertEqual(expected, f"{zlib.crc32(repr(drawn).encode()):08x}")

    def test_routes(self):
        """Only limited endpoints have routes under admission control."""
        for limited in (False, True):
            routes = configuration(3, URGENT, limited=limited)["routeTable"]
            by_name = {route["name"]: route for route in routes}
            self.assertEqual(limited, BULK in by_name)
            self.assertEqual(limited, "priority" in by_name[URGENT])
