"""Tests of entry._pause and entry._snapshot."""

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._pause import PAUSE_S, PauseWatch
from pollenmast.steering import (
    EndpointAnnounced,
    EndpointRemoved,
    Presence,
    Update,
)
from pollenmast.steering._journal import MOST_CHANGES
from tests import steering_group as group


class PauseTest(TestCase):
    """A VM notices that it stood still."""

    @parameterized.expand(
        [("busy_neighbour", PAUSE_S / 2, 0), ("suspended", 4.0, 1)]
    )
    def test_gap(self, _, gap, count):
        """A suspension is told from a short wait for the processor.

        Unnoticed, a VM would place flows by a list that is seconds old.
        """
        times = iter([0.0, 0.1, 0.1 + gap])
        watch = PauseWatch(lambda: next(times))
        self.assertEqual(0.0, watch.look())
        self.assertEqual(bool(count), watch.look() > 0.0)
        self.assertEqual(count, watch.count)


class SnapshotTest(TestCase):
    """What a VM tells a peer that cannot ask the directory."""

    def test_round_trip(self):
        """The peer knows the same endpoints and routes."""
        known = group.steering(group.endpoint(1), group.endpoint(2))
        update = snapshot.decode(snapshot.encode(known, 0)).ok_value
        learner = group.steering()
        learner.apply(update, 1.0)
        self.assertEqual(known.revision, learner.revision)
        names = {r.endpoint for r in learner.catalog.records}
        self.assertEqual({r.endpoint for r in known.catalog.records}, names)
        self.assertEqual(known.table, learner.table)

    def test_only_what_is_missing(self):
        """A peer that is a little behind is told the changes, not all."""
        known = group.steering(group.endpoint(1), group.endpoint(2))
        learner = group.steering(group.endpoint(1), group.endpoint(2))
        removed = EndpointRemoved(group.endpoint(1).name, 11)
        known.apply(Update((removed,), 11), 1.0)
        update = snapshot.decode(snapshot.encode(known, 10)).ok_value
        self.assertEqual(((removed,), False), (update.changes, update.whole))
        learner.apply(update, 1.0)
        self.assertEqual(11, learner.revision)
        record = learner.catalog.get(group.endpoint(1).name)
        self.assertIs(Presence.LAPSED, record.presence)

    def test_too_far_behind(self):
        """A peer that missed more than is kept is told everything."""
        known = group.steering(group.endpoint(1))
        for revision in range(11, 20 + MOST_CHANGES):
            changed = EndpointAnnounced(group.endpoint(2), revision)
            known.apply(Update((changed,), revision), 1.0)
        update = snapshot.decode(snapshot.encode(known, 10)).ok_value
        self.assertTrue(update.whole)
        self.assertEqual(3, len(update.changes))

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, data):
        """No answer of a peer raises anything."""
        snapshot.decode(data)
