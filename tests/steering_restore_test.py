"""Tests of steering: the directory comes back from an older copy."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import PlacementReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.steering import (
    EndpointAnnounced,
    EndpointRemoved,
    Position,
    Presence,
    RoutesPublished,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._catalog import LAPSE_S, RESTORE_SETTLE_S
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)
LEAVING = group.endpoint(1, draining=True)
KNOWN = 100
COPY = 60
SETTLED = 5.0 + RESTORE_SETTLE_S


def _core(*endpoints, epoch: int = 1):
    """Returns the beliefs of a VM, complete up to `KNOWN`."""
    core = group.steering(*endpoints, epoch=epoch)
    core.apply(Update((), KNOWN, epoch=epoch), 0.0)
    return core


def _list(*endpoints, epoch=2, revision=COPY, zones=(), version=1) -> Update:
    """Returns everything that a restored directory lists."""
    listed = [EndpointAnnounced(each, revision - 5) for each in endpoints]
    drains = [ZoneDrained(zone, revision - 5) for zone in zones]
    routes = RoutesPublished(group.table(version), revision - 5)
    changes = (routes, *listed, *drains)
    return Update(changes, revision, whole=True, epoch=epoch)


def _placed(core, number: int, now: float):
    return core.on_segment(group.syn(group.flow(number)), now)


class PositionTest(TestCase):
    """Which news is taken in."""

    @parameterized.expand(
        [
            ("restored", 2, COPY, True, Position(2, COPY)),
            ("later_restore", 7, COPY, True, Position(7, COPY)),
            ("only_changes", 2, KNOWN + 9, False, Position(1, KNOWN)),
            ("earlier_epoch", 0, KNOWN + 9, True, Position(1, KNOWN)),
            ("same_epoch", 1, KNOWN + 9, False, Position(1, KNOWN + 9)),
        ]
    )
    def test_taken(self, _, epoch, revision, whole, expected):
        """A late answer of the old store takes a VM back behind the restore."""
        core = _core(FIRST)
        changes = (EndpointAnnounced(LEAVING, revision),)
        core.apply(Update(changes, revision, whole, epoch=epoch), 5.0)
        self.assertEqual(expected, core.position)
        taken = expected != Position(1, KNOWN)
        self.assertEqual(taken, core.catalog.get(FIRST.name).endpoint.draining)

    def test_events_after(self):
        """Events numbered below what was known are dropped as old ones."""
        core = _core(FIRST, SECOND)
        core.apply(_list(FIRST, SECOND), 5.0)
        for revision, change in enumerate(
            (
                EndpointAnnounced(LEAVING, COPY + 1),
                EndpointRemoved(SECOND.name, COPY + 2),
                EndpointAnnounced(group.endpoint(3), COPY + 3),
                RoutesPublished(group.table(9), COPY + 4),
                ZoneDrained(group.OTHER_ZONE, COPY + 5),
            ),
            COPY + 1,
        ):
            core.apply(Update((change,), revision, epoch=2), 5.5)
        self.assertTrue(core.catalog.get(FIRST.name).endpoint.draining)
        second = core.catalog.get(SECOND.name)
        self.assertIs(Presence.LAPSED, second.presence)
        self.assertIsNotNone(core.catalog.get(group.endpoint(3).name))
        self.assertEqual(9, core.table.version)
        self.assertTrue(core.catalog.drains.is_drained(group.OTHER_ZONE))
        self.assertEqual(Position(2, COPY + 5), core.position)

    def test_older_configuration(self):
        """The copy's configuration replaces the newer one in force."""
        core = _core(FIRST)
        published = RoutesPublished(group.table(5), KNOWN + 1)
        core.apply(Update((published,), KNOWN + 1, epoch=1), 1.0)
        core.apply(_list(FIRST, version=3), 5.0)
        self.assertEqual(5, core.table.version)

    def test_lapsed(self):
        """An entry that the copy lacks empties its service at once."""
        core = _core(FIRST)
        core.apply(_list(), 5.0)
        core.on_confirmed(5.0)
        self.assertEqual(
            PlacementReason.LAST_RESORT, _placed(core, 1, 5.1).placed
        )


class HeldTest(TestCase):
    """What had left by the restore, and is listed by the older copy."""

    def _left(self):
        """Returns beliefs in which the first of two endpoints has drained."""
        core = _core(FIRST, SECOND)
        drained = EndpointAnnounced(LEAVING, KNOWN + 1)
        core.apply(Update((drained,), KNOWN + 1, epoch=1), 1.0)
        return core

    def _gone(self):
        """Returns beliefs in which the first has been missing for long."""
        core = _core(FIRST, SECOND)
        removed = EndpointRemoved(FIRST.name, KNOWN + 1)
        core.apply(Update((removed,), KNOWN + 1, epoch=1), 1.0)
        core.on_confirmed(1.5 + LAPSE_S)
        return core

    @parameterized.expand([("drained", "_left"), ("gone", "_gone")])
    def test_held(self, _, before):
        """A copy brings back new flows to an endpoint that has left."""
        core = getattr(self, before)()
        core.apply(_list(FIRST, SECOND), 5.0)
        core.settle(SETTLED - 0.1)
        placed = {_placed(core, n, 5.1).endpoint.name for n in range(40)}
        self.assertEqual({SECOND.name}, placed)

    @parameterized.expand([("drained", "_left"), ("gone", "_gone")])
    def test_settled(self, _, before):
        """An endpoint that is back in service is never used again."""
        core = getattr(self, before)()
        core.apply(_list(FIRST, SECOND), 5.0)
        applied = core.settle(SETTLED)
        self.assertEqual(
            [FIRST.name], [r.endpoint.name for r in applied.records]
        )
        names = {r.endpoint.name for r in core.catalog.serving("registry")}
        self.assertEqual({FIRST.name, SECOND.name}, names)
        self.assertEqual([], core.settle(SETTLED + 1.0).records)

    @parameterized.expand(
        [("ready", FIRST, True), ("draining", LEAVING, False)]
    )
    def test_written_again(self, _, written, serves):
        """What is written to the restored store waits for the copy's word."""
        core = self._left()
        core.apply(_list(FIRST, SECOND), 5.0)
        change = EndpointAnnounced(written, COPY + 1)
        core.apply(Update((change,), COPY + 1, epoch=2), 5.2)
        for now in (5.3, SETTLED):
            core.settle(now)
            names = {r.endpoint.name for r in core.catalog.serving("registry")}
            self.assertEqual(serves, FIRST.name in names)

    def test_two_restores(self):
        """A second restore within a second forgets what had drained."""
        core = self._left()
        core.apply(_list(FIRST, SECOND), 5.0)
        core.apply(_list(FIRST, SECOND, epoch=3, revision=50), 5.6)
        core.settle(SETTLED)
        self.assertTrue(core.catalog.get(FIRST.name).endpoint.draining)
        core.settle(SETTLED + 0.7)
        self.assertFalse(core.catalog.get(FIRST.name).endpoint.draining)

    def test_removed_again(self):
        """The entry that was held vanishes: settling brings it back."""
        core = self._left()
        core.apply(_list(FIRST, SECOND), 5.0)
        removed = EndpointRemoved(FIRST.name, COPY + 1)
        core.apply(Update((removed,), COPY + 1, epoch=2), 6.0)
        self.assertEqual([], core.settle(SETTLED).records)

    def test_newcomer(self):
        """A VM that has just started is told what the directory lists."""
        core = self._left()
        core.apply(_list(FIRST, SECOND), 5.0)
        learner = group.steering()
        told = snapshot.decode(snapshot.encode(core)).ok_value
        learner.apply(told, 5.5)
        self.assertEqual(core.position, learner.position)
        names = {r.endpoint.name for r in learner.catalog.serving("registry")}
        self.assertEqual({FIRST.name, SECOND.name}, names)


class DrainedZoneTest(TestCase):
    """A zone that was drained before the restore."""

    def _drained(self):
        core = _core(FIRST, SECOND)
        change = ZoneDrained(group.OTHER_ZONE, KNOWN + 1)
        core.apply(Update((change,), KNOWN + 1, epoch=1), 1.0)
        return core

    def _is_drained(self, core) -> bool:
        return core.catalog.drains.is_drained(group.OTHER_ZONE)

    def test_lost(self):
        """The copy lacks the drain: flows go back to the zone at once."""
        core = self._drained()
        core.apply(_list(FIRST, SECOND), 5.0)
        core.settle(SETTLED - 0.1)
        self.assertTrue(self._is_drained(core))
        zones = [ZoneRestored(group.OTHER_ZONE, 0)]
        self.assertEqual(zones, core.settle(SETTLED).zones)
        self.assertFalse(self._is_drained(core))

    def test_written_again(self):
        """The drain, written again, ends when the copy's word is taken."""
        core = self._drained()
        core.apply(_list(FIRST, SECOND), 5.0)
        change = ZoneDrained(group.OTHER_ZONE, COPY + 1)
        core.apply(Update((change,), COPY + 1, epoch=2), 5.5)
        core.settle(SETTLED)
        self.assertTrue(self._is_drained(core))

    def test_taken_back(self):
        """The zone is taken back into service in the restored store."""
        core = self._drained()
        core.apply(_list(FIRST, SECOND, zones=(group.OTHER_ZONE,)), 5.0)
        change = ZoneRestored(group.OTHER_ZONE, COPY + 1)
        core.apply(Update((change,), COPY + 1, epoch=2), 5.5)
        self.assertFalse(self._is_drained(core))

    def test_not_told(self):
        """A drain that is only remembered is told as if it were written."""
        core = self._drained()
        core.apply(_list(FIRST, SECOND), 5.0)
        learner = group.steering()
        learner.apply(snapshot.decode(snapshot.encode(core)).ok_value, 5.5)
        self.assertFalse(self._is_drained(learner))


class PeerTest(TestCase):
    """VMs on both sides of a restore tell each other."""

    @parameterized.expand(
        [
            ("restored_is_ahead", 2, COPY, 1, KNOWN, True),
            ("same_epoch", 2, COPY + 3, 2, COPY, False),
        ]
    )
    def test_told(self, _, epoch, revision, known_epoch, known, whole):
        """Changes told across a restore leave out what came between."""
        core = _core(FIRST)
        core.apply(_list(FIRST), 5.0)
        if revision > COPY:
            change = EndpointAnnounced(SECOND, revision)
            core.apply(Update((change,), revision, epoch=epoch), 5.1)
        body = snapshot.encode(core, Position(known_epoch, known))
        told = snapshot.decode(body).ok_value
        self.assertEqual(
            (Position(epoch, revision), whole), (told.position, told.whole)
        )
