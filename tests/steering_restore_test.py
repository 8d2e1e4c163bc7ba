"""Tests of steering: the directory is restored from an older copy."""

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
from pollenmast.steering._catalog import LAPSE_GRACE_PERIOD_S, RESTORE_SETTLE_S
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)
LEAVING = group.endpoint(1, draining=True)
KNOWN_REVISION = 100
COPY_REVISION = 60
SETTLED_AT = 5.0 + RESTORE_SETTLE_S


def _core(*endpoints, epoch: int = 1):
    """Returns a VM's steering core that is complete up to revision `KNOWN`."""
    core = group.steering(*endpoints, epoch=epoch)
    core.apply(Update((), KNOWN_REVISION, epoch=epoch), 0.0)
    return core


def _restored_listing(
    *endpoints, epoch=2, revision=COPY_REVISION, zones=(), version=1
) -> Update:
    """Returns a restored directory's complete listing."""
    listed = [EndpointAnnounced(each, revision - 5) for each in endpoints]
    drains = [ZoneDrained(zone, revision - 5) for zone in zones]
    routes = RoutesPublished(group.table(version), revision - 5)
    changes = (routes, *listed, *drains)
    return Update(changes, revision, complete=True, epoch=epoch)


def _send_syn(core, number: int, now: float):
    return core.on_segment(group.syn(group.flow(number)), now)


class PositionTest(TestCase):
    """Which updates are applied."""

    @parameterized.expand(
        [
            ("restored", 2, COPY_REVISION, True, Position(2, COPY_REVISION)),
            (
                "later_restore",
                7,
                COPY_REVISION,
                True,
                Position(7, COPY_REVISION),
            ),
            (
                "only_changes",
                2,
                KNOWN_REVISION + 9,
                False,
                Position(1, KNOWN_REVISION),
            ),
            (
                "earlier_epoch",
                0,
                KNOWN_REVISION + 9,
                True,
                Position(1, KNOWN_REVISION),
            ),
            (
                "same_epoch",
                1,
                KNOWN_REVISION + 9,
                False,
                Position(1, KNOWN_REVISION + 9),
            ),
        ]
    )
    def test_applied(self, _, epoch, revision, complete, expected):
        """A late answer of the old store does not undo the restore.

        Updates of an earlier epoch are ignored. Of a later epoch only a
        complete listing is applied, even if its revision is lower.
        """
        core = _core(FIRST)
        changes = (EndpointAnnounced(LEAVING, revision),)
        core.apply(Update(changes, revision, complete, epoch=epoch), 5.0)
        self.assertEqual(expected, core.position)
        applied = expected != Position(1, KNOWN_REVISION)
        self.assertEqual(
            applied, core.catalog.get(FIRST.name).endpoint.draining
        )

    def test_events_after(self):
        """Events of the new epoch are not dropped as outdated.

        Their revisions are lower than those known before the restore.
        """
        core = _core(FIRST, SECOND)
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        for revision, change in enumerate(
            (
                EndpointAnnounced(LEAVING, COPY_REVISION + 1),
                EndpointRemoved(SECOND.name, COPY_REVISION + 2),
                EndpointAnnounced(group.endpoint(3), COPY_REVISION + 3),
                RoutesPublished(group.table(9), COPY_REVISION + 4),
                ZoneDrained(group.OTHER_ZONE, COPY_REVISION + 5),
            ),
            COPY_REVISION + 1,
        ):
            core.apply(Update((change,), revision, epoch=2), 5.5)
        self.assertTrue(core.catalog.get(FIRST.name).endpoint.draining)
        second = core.catalog.get(SECOND.name)
        self.assertIs(Presence.LAPSED, second.presence)
        self.assertIsNotNone(core.catalog.get(group.endpoint(3).name))
        self.assertEqual(9, core.table.version)
        self.assertTrue(core.catalog.drains.is_drained(group.OTHER_ZONE))
        self.assertEqual(Position(2, COPY_REVISION + 5), core.position)

    def test_older_configuration(self):
        """The copy's older configuration does not replace the one in force."""
        core = _core(FIRST)
        published = RoutesPublished(group.table(5), KNOWN_REVISION + 1)
        core.apply(Update((published,), KNOWN_REVISION + 1, epoch=1), 1.0)
        core.apply(_restored_listing(FIRST, version=3), 5.0)
        self.assertEqual(5, core.table.version)

    def test_lapsed(self):
        """An entry that the copy lacks does not empty its service at once.

        The endpoint lapses and takes new flows only as a last resort.
        """
        core = _core(FIRST)
        core.apply(_restored_listing(), 5.0)
        core.on_confirmed(5.0)
        self.assertEqual(
            PlacementReason.LAST_RESORT, _send_syn(core, 1, 5.1).placed
        )


class WithheldEntryTest(TestCase):
    """Endpoints that had left before the restore but are in the older copy."""

    def _left(self):
        """Returns a core in which the first of two endpoints is draining."""
        core = _core(FIRST, SECOND)
        drained = EndpointAnnounced(LEAVING, KNOWN_REVISION + 1)
        core.apply(Update((drained,), KNOWN_REVISION + 1, epoch=1), 1.0)
        return core

    def _gone(self):
        """Returns a core in which the first endpoint's grace period is over."""
        core = _core(FIRST, SECOND)
        removed = EndpointRemoved(FIRST.name, KNOWN_REVISION + 1)
        core.apply(Update((removed,), KNOWN_REVISION + 1, epoch=1), 1.0)
        core.on_confirmed(1.5 + LAPSE_GRACE_PERIOD_S)
        return core

    @parameterized.expand([("drained", "_left"), ("gone", "_gone")])
    def test_withheld(self, _, before):
        """An endpoint that has left gets no new flows although the copy has it.

        This holds until the state has settled.
        """
        core = getattr(self, before)()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        core.adopt_restored_state(SETTLED_AT - 0.1)
        placed = {_send_syn(core, n, 5.1).endpoint.name for n in range(40)}
        self.assertEqual({SECOND.name}, placed)

    @parameterized.expand([("drained", "_left"), ("gone", "_gone")])
    def test_settled(self, _, before):
        """An endpoint back in service is used once the state settles."""
        core = getattr(self, before)()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        applied = core.adopt_restored_state(SETTLED_AT)
        self.assertEqual(
            [FIRST.name], [r.endpoint.name for r in applied.records]
        )
        names = {r.endpoint.name for r in core.catalog.serving("registry")}
        self.assertEqual({FIRST.name, SECOND.name}, names)
        self.assertEqual(
            [], core.adopt_restored_state(SETTLED_AT + 1.0).records
        )

    @parameterized.expand(
        [("ready", FIRST, True), ("draining", LEAVING, False)]
    )
    def test_written_again(self, _, written, serves):
        """An entry written after the restore applies at once.

        Otherwise it would be withheld until the state settles, as the copy's
        entries are.
        """
        core = self._left()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        change = EndpointAnnounced(written, COPY_REVISION + 1)
        core.apply(Update((change,), COPY_REVISION + 1, epoch=2), 5.2)
        for now in (5.3, SETTLED_AT):
            core.adopt_restored_state(now)
            names = {r.endpoint.name for r in core.catalog.serving("registry")}
            self.assertEqual(serves, FIRST.name in names)

    def test_two_restores(self):
        """A second restore within a second does not lose the draining state.

        It starts the settling time anew.
        """
        core = self._left()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        core.apply(_restored_listing(FIRST, SECOND, epoch=3, revision=50), 5.6)
        core.adopt_restored_state(SETTLED_AT)
        self.assertTrue(core.catalog.get(FIRST.name).endpoint.draining)
        core.adopt_restored_state(SETTLED_AT + 0.7)
        self.assertFalse(core.catalog.get(FIRST.name).endpoint.draining)

    def test_withheld_entry_removed(self):
        """Settling does not bring back a withheld entry that was removed."""
        core = self._left()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        removed = EndpointRemoved(FIRST.name, COPY_REVISION + 1)
        core.apply(Update((removed,), COPY_REVISION + 1, epoch=2), 6.0)
        self.assertEqual([], core.adopt_restored_state(SETTLED_AT).records)

    def test_new_vm(self):
        """A VM that has just started is sent the restored directory's state."""
        core = self._left()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        learner = group.steering()
        update = snapshot.decode(snapshot.encode(core)).ok_value
        learner.apply(update, 5.5)
        self.assertEqual(core.position, learner.position)
        names = {r.endpoint.name for r in learner.catalog.serving("registry")}
        self.assertEqual({FIRST.name, SECOND.name}, names)


class DrainedZoneTest(TestCase):
    """A zone drained before the restore."""

    def _drained(self):
        core = _core(FIRST, SECOND)
        change = ZoneDrained(group.OTHER_ZONE, KNOWN_REVISION + 1)
        core.apply(Update((change,), KNOWN_REVISION + 1, epoch=1), 1.0)
        return core

    def _is_drained(self, core) -> bool:
        return core.catalog.drains.is_drained(group.OTHER_ZONE)

    def test_drain_missing_in_copy(self):
        """A drain that the copy lacks stays in force until the state settles.

        Otherwise flows would return to the zone at once.
        """
        core = self._drained()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        core.adopt_restored_state(SETTLED_AT - 0.1)
        self.assertTrue(self._is_drained(core))
        zones = [ZoneRestored(group.OTHER_ZONE, 0)]
        self.assertEqual(zones, core.adopt_restored_state(SETTLED_AT).zones)
        self.assertFalse(self._is_drained(core))

    def test_written_again(self):
        """A drain that was written again outlasts the settling time."""
        core = self._drained()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        change = ZoneDrained(group.OTHER_ZONE, COPY_REVISION + 1)
        core.apply(Update((change,), COPY_REVISION + 1, epoch=2), 5.5)
        core.adopt_restored_state(SETTLED_AT)
        self.assertTrue(self._is_drained(core))

    def test_restored_in_new_epoch(self):
        """A zone is restored by an event of the new epoch."""
        core = self._drained()
        core.apply(
            _restored_listing(FIRST, SECOND, zones=(group.OTHER_ZONE,)), 5.0
        )
        change = ZoneRestored(group.OTHER_ZONE, COPY_REVISION + 1)
        core.apply(Update((change,), COPY_REVISION + 1, epoch=2), 5.5)
        self.assertFalse(self._is_drained(core))

    def test_unconfirmed_drain_is_not_sent(self):
        """A drain known only from the earlier epoch is not sent to peers."""
        core = self._drained()
        core.apply(_restored_listing(FIRST, SECOND), 5.0)
        learner = group.steering()
        learner.apply(snapshot.decode(snapshot.encode(core)).ok_value, 5.5)
        self.assertFalse(self._is_drained(learner))


class PeerTest(TestCase):
    """Updates between VMs that know of a restore and VMs that do not."""

    @parameterized.expand(
        [
            ("restored_is_ahead", 2, COPY_REVISION, 1, KNOWN_REVISION, True),
            ("same_epoch", 2, COPY_REVISION + 3, 2, COPY_REVISION, False),
        ]
    )
    def test_update_for_peer(
        self, _, epoch, revision, known_epoch, known, complete
    ):
        """A peer of another epoch is sent a complete listing, not changes.

        Changes alone would omit what differs between the epochs.
        """
        core = _core(FIRST)
        core.apply(_restored_listing(FIRST), 5.0)
        if revision > COPY_REVISION:
            change = EndpointAnnounced(SECOND, revision)
            core.apply(Update((change,), revision, epoch=epoch), 5.1)
        body = snapshot.encode(core, Position(known_epoch, known))
        update = snapshot.decode(body).ok_value
        self.assertEqual(
            (Position(epoch, revision), complete),
            (update.position, update.complete),
        )
