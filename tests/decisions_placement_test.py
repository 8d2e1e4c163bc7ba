"""Tests of decisions._rendezvous and _placement."""

import collections
import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._endpoint import EndpointRecord
from pollenmast.decisions._placement import (
    Candidate,
    RequestPlacement,
    SessionPlacement,
)
from pollenmast.decisions._rendezvous import Rendezvous
from pollenmast.decisions._trust import ReportTrust
from pollenmast.manifest import Endpoint, Service, ServiceKind


def _endpoint(name: str, zone: str = "z", slots: int = 2) -> Endpoint:
    return Endpoint(name, "127.0.2.1", 5000, 6000, zone, slots)


def _service(*endpoints: Endpoint) -> Service:
    return Service("s", 1, 4001, ServiceKind.REQUEST, True, endpoints)


def _hashes(count: int) -> list[int]:
    rng = random.Random(1)
    return [rng.getrandbits(64) for _ in range(count)]


class RendezvousTest(TestCase):
    """Every VM computes the same default endpoint for a flow."""

    def test_known_values(self):
        """The default endpoints do not change between releases.

        During an update VMs of both releases run. If their defaults differed,
        a flow whose VM fails would be sent to another endpoint and break.
        """
        rendezvous = Rendezvous(_service(*map(_endpoint, "abcd")))
        found = "".join(rendezvous.default(h) for h in _hashes(16))
        self.assertEqual("bdadaddcacabcccb", found)

    def test_order_does_not_matter(self):
        """The order of the endpoints in the manifest has no influence."""
        one = Rendezvous(_service(*map(_endpoint, "abcd")))
        other = Rendezvous(_service(*map(_endpoint, "dbca")))
        for value in _hashes(200):
            self.assertEqual(one.default(value), other.default(value))

    def test_added_endpoint_moves_only_its_share(self):
        """Adding a fifth endpoint moves no flow between the others."""
        before = Rendezvous(_service(*map(_endpoint, "abcd")))
        after = Rendezvous(_service(*map(_endpoint, "abcde")))
        moved = 0
        for value in _hashes(2000):
            if before.default(value) != after.default(value):
                self.assertEqual("e", after.default(value))
                moved += 1
        self.assertAlmostEqual(400, moved, delta=80)

    def test_weights(self):
        """An endpoint with twice the slots is the default of twice as many."""
        service = _service(_endpoint("a", slots=4), _endpoint("b"))
        found = collections.Counter(
            Rendezvous(service).default(h) for h in _hashes(3000)
        )
        self.assertAlmostEqual(2.0, found["a"] / found["b"], delta=0.3)


@attrs.define
class _FixedLoad(Capacity):
    """A capacity with a load that is set by the test."""

    value: float

    def on_placed(self, now):
        self.value += 1.0

    def on_open(self, change):
        pass

    def on_report(self, report, now, verdict):
        pass

    def has_room(self, now, share):
        return True

    def load(self, now):
        return self.value

    def rate(self, share):
        return 1.0

    def service_time_s(self):
        return 0.0

    def compare(self, median_s):
        pass


def _candidate(name, load, share=1.0, zone="elsewhere") -> Candidate:
    capacity = _FixedLoad(load)
    record = EndpointRecord(_endpoint(name, zone), capacity, ReportTrust(2))
    return Candidate(record, share)


def _chosen(kind, default, *candidates: Candidate, times: int = 1) -> set:
    placement = kind("z", random.Random(1))
    return {
        placement.choose(default, list(candidates), 0.0).record.name
        for _ in range(times)
    }


class PlacementTest(TestCase):
    """A flow leaves its default endpoint only for a clear advantage."""

    @parameterized.expand(
        [
            ("request_alike", RequestPlacement, 1.0, 0.8, {"a"}),
            ("request_fuller", RequestPlacement, 3.0, 1.0, {"b"}),
            ("session_alike", SessionPlacement, 105.0, 100.0, {"a"}),
            ("session_fuller", SessionPlacement, 150.0, 100.0, {"b"}),
            ("session_5_percent", SessionPlacement, 1040.0, 1000.0, {"a"}),
        ]
    )
    def test_default_endpoint_is_preferred(
        self, _, kind, default, other, chosen
    ):
        """The default gets the flow unless it is clearly more loaded."""
        candidates = _candidate("a", default), _candidate("b", other)
        self.assertEqual(chosen, _chosen(kind, "a", *candidates))

    @parameterized.expand([("r", RequestPlacement), ("s", SessionPlacement)])
    def test_own_zone_breaks_ties(self, _, kind):
        """The own zone decides only between equally loaded endpoints."""
        own = _candidate("own", 10.0, zone="z")
        far = _candidate("far", 10.0)
        self.assertEqual({"own"}, _chosen(kind, None, far, own))
        idle = _candidate("idle", 8.0)
        self.assertEqual({"idle"}, _chosen(kind, None, idle, own))

    def test_empty_endpoint_does_not_get_all_sessions(self):
        """An empty endpoint does not get every new session.

        All VMs see the same stale report of it. If each of them chose it every
        time until the next report, it would become more loaded than all
        others.
        """
        full = [_candidate(f"e{n}", 100.0) for n in range(6)]
        empty = _candidate("empty", 0.0)
        placement = SessionPlacement("z", random.Random(1))
        chosen = collections.Counter(
            placement.choose("e0", [*full, empty], 0.0).record.name
            for _ in range(600)
        )
        self.assertAlmostEqual(200, chosen["empty"], delta=50)

    def test_cold_endpoint_gets_its_share_of_sessions(self):
        """A cold endpoint without sessions does not attract all new ones."""
        warm, cold = _candidate("warm", 100.0), _candidate("cold", 0.0, 0.1)
        placement = SessionPlacement("z", random.Random(1))
        chosen = collections.Counter(
            placement.choose("warm", [warm, cold], 0.0).record.name
            for _ in range(1000)
        )
        self.assertAlmostEqual(100, chosen["cold"], delta=40)
