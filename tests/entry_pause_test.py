"""Tests of entry._pause and entry._snapshot."""

import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._pause import MIN_PAUSE_S, PauseDetector
from pollenmast.steering import (
    EndpointAnnounced,
    EndpointRemoved,
    Position,
    Presence,
    Route,
    RoutesPublished,
    RouteTable,
    Update,
    WeightedService,
)
from pollenmast.steering._journal import MAX_CHANGES
from tests import steering_group as group


def _routes(version: int, count: int) -> RouteTable:
    """Returns a configuration of many routes to one service."""
    routes = {
        (group.VIP, port): Route(
            f"r-{port}",
            group.VIP,
            port,
            (WeightedService("registry", 1),),
            True,
        )
        for port in range(443, 443 + count)
    }
    return RouteTable(version, routes, {"registry": "/health"}, 15.0)


class PauseTest(TestCase):
    """A VM detects that it was suspended."""

    @parameterized.expand(
        [("busy_neighbour", MIN_PAUSE_S / 2, 0), ("suspended", 4.0, 1)]
    )
    def test_gap(self, _, gap, count):
        """A suspension is distinguished from a short wait for the processor.

        A VM that missed it would place flows by endpoints and routes that are
        seconds old.
        """
        times = iter([0.0, 0.1, 0.1 + gap])
        detector = PauseDetector(lambda: next(times))
        self.assertEqual(0.0, detector.check())
        self.assertEqual(bool(count), detector.check() > 0.0)
        self.assertEqual(count, detector.count)


class SnapshotTest(TestCase):
    """The data that a VM sends to a peer that cannot reach the directory."""

    def test_round_trip(self):
        """The peer receives the same endpoints and routes."""
        known = group.steering(group.endpoint(1), group.endpoint(2))
        update = snapshot.decode(snapshot.encode(known)).ok_value
        learner = group.steering()
        learner.apply(update, 1.0)
        self.assertEqual(known.revision, learner.revision)
        names = {r.endpoint for r in learner.catalog.records}
        self.assertEqual({r.endpoint for r in known.catalog.records}, names)
        self.assertEqual(known.table, learner.table)

    def test_only_changes(self):
        """A peer that is slightly behind receives only the changes."""
        known = group.steering(group.endpoint(1), group.endpoint(2))
        learner = group.steering(group.endpoint(1), group.endpoint(2))
        removed = EndpointRemoved(group.endpoint(1).name, 11)
        known.apply(Update((removed,), 11), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 10))
        ).ok_value
        self.assertEqual(((removed,), False), (update.changes, update.complete))
        learner.apply(update, 1.0)
        self.assertEqual(11, learner.revision)
        record = learner.catalog.get(group.endpoint(1).name)
        self.assertIs(Presence.LAPSED, record.presence)

    def test_grown_configuration(self):
        """840 added routes fit the link of a reader that 15 VMs ask for them.

        Clients' packets share that link, which carries 312 kB in half a second
        at 5 Mbit/s.
        """
        known = group.steering(group.endpoint(1), routes=_routes(1, 240))
        learner = group.steering(group.endpoint(1), routes=_routes(1, 240))
        published = RoutesPublished(_routes(2, 1080), 11)
        known.apply(Update((published,), 11), 1.0)
        encoded = snapshot.encode(known, Position(0, 10))
        self.assertLess(15 * len(encoded), 312_000)
        learner.apply(snapshot.decode(encoded).ok_value, 1.0)
        self.assertEqual(known.table, learner.table)

    def test_inflates_beyond_limit(self):
        """Data that inflates beyond the size limit is rejected.

        A few bytes of a peer could otherwise exhaust the VM's memory.
        """
        huge = zlib.compress(bytes(2 * snapshot.MAX_DECODED_BYTES), 9)
        self.assertLess(len(huge), 100_000)
        self.assertTrue(snapshot.decode(huge).is_err())

    @parameterized.expand([("whole", 0), ("changes", 10)])
    def test_truncated(self, _, after):
        """A truncated answer is rejected."""
        known = group.steering(group.endpoint(1), group.endpoint(2))
        changed = EndpointAnnounced(group.endpoint(3), 11)
        known.apply(Update((changed,), 11), 1.0)
        encoded = snapshot.encode(known, Position(0, after))
        for length in range(len(encoded)):
            self.assertTrue(snapshot.decode(encoded[:length]).is_err())

    def test_changed_route(self):
        """If one route is added to hundreds, a peer receives only that one.

        Sending the whole configuration would saturate the sender's link.
        """
        many = _routes(1, 300)
        known = group.steering(group.endpoint(1), routes=many)
        learner = group.steering(group.endpoint(1), routes=many)
        published = RoutesPublished(_routes(2, 301), 11)
        known.apply(Update((published,), 11), 1.0)
        encoded = snapshot.encode(known, Position(0, 10))
        self.assertLess(len(encoded), 300)
        learner.apply(snapshot.decode(encoded).ok_value, 1.0)
        self.assertEqual(known.table, learner.table)
        gone = RoutesPublished(_routes(3, 200), 12)
        known.apply(Update((gone,), 12), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 11))
        ).ok_value
        learner.apply(update, 1.0)
        self.assertEqual(200, len(learner.table.routes))
        self.assertEqual(3, learner.table.version)

    def test_change_of_other_version(self):
        """A change to another route table version than the VM's is not applied.

        Applied, it would leave routes missing unnoticed. It is ignored and the
        revision stays, so that the VM asks again for the complete state.
        """
        known = group.steering(group.endpoint(1), routes=_routes(2, 5))
        learner = group.steering(group.endpoint(1), routes=_routes(1, 4))
        published = RoutesPublished(_routes(7, 6), 11)
        known.apply(Update((published,), 11), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 10))
        ).ok_value
        self.assertFalse(learner.can_apply(update))
        learner.apply(update, 1.0)
        self.assertEqual((1, 10), (learner.table.version, learner.revision))
        complete = snapshot.decode(snapshot.encode(known)).ok_value
        self.assertTrue(learner.can_apply(complete))
        learner.apply(complete, 1.0)
        self.assertEqual(known.table, learner.table)

    def test_already_known(self):
        """A change that is already known changes nothing."""
        known = group.steering(group.endpoint(1), routes=_routes(1, 4))
        learner = group.steering(group.endpoint(1), routes=_routes(1, 4))
        published = RoutesPublished(_routes(2, 5), 11)
        known.apply(Update((published,), 11), 1.0)
        learner.apply(Update((published,), 11), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 10))
        ).ok_value
        self.assertTrue(learner.can_apply(update))
        learner.apply(update, 1.0)
        self.assertEqual(known.table, learner.table)

    def test_too_far_behind(self):
        """A peer that missed more changes than are kept receives everything."""
        known = group.steering(group.endpoint(1))
        for revision in range(11, 20 + MAX_CHANGES):
            changed = EndpointAnnounced(group.endpoint(2), revision)
            known.apply(Update((changed,), revision), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 10))
        ).ok_value
        self.assertTrue(update.complete)
        self.assertEqual(3, len(update.changes))

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, data):
        """Decoding arbitrary bytes raises no exception."""
        snapshot.decode(data)
