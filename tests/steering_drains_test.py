"""Tests of steering: availability zones that the operator has drained."""

import json

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason, PlacementReason, ResetReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.platform._items import parse_items
from pollenmast.steering import (
    CheckResult,
    EndpointAnnounced,
    Forward,
    Position,
    Reset,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._drains import MAX_ZONES, Drains
from standins.store import Store
from tests import steering_group as group

NEAR = group.endpoint(1)
FAR = group.endpoint(2, group.OTHER_ZONE)


def _drain(core, zone: str = group.ZONE, revision: int = 11) -> None:
    core.apply(Update((ZoneDrained(zone, revision),), revision), 1.0)


def _restore(core, zone: str = group.ZONE, revision: int = 12) -> None:
    core.apply(Update((ZoneRestored(zone, revision),), revision), 2.0)


def _send_syn(core, number: int, now: float = 1.0, copies: int = 0):
    return core.on_segment(group.syn(group.flow(number), copies), now)


class NewFlowTest(TestCase):
    """The placement of new flows while a zone is drained."""

    def test_other_zone(self):
        """No new flow goes to a drained zone, whichever client opens it."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        outcomes = [_send_syn(core, number) for number in range(50)]
        self.assertEqual({FAR.name}, {o.endpoint.name for o in outcomes})

    def test_repeated_syn(self):
        """A SYN repeated after the drain does not go there either."""
        core = group.steering(NEAR, group.endpoint(3), FAR)
        _send_syn(core, 1)
        _drain(core)
        outcome = _send_syn(core, 1, 1.2, copies=1)
        self.assertEqual(FAR.name, outcome.endpoint.name)

    def test_all_others_down(self):
        """A drained zone gets no flows even if all other endpoints are down."""
        core = group.steering(NEAR, FAR)
        core.on_check(core.catalog.get(FAR.name), CheckResult.REFUSED, 1.0)
        _drain(core)
        outcome = _send_syn(core, 1)
        self.assertEqual(FAR.name, outcome.endpoint.name)
        self.assertIs(PlacementReason.LAST_RESORT, outcome.placed)

    @parameterized.expand([("current", 1.0), ("out_of_date", 100.0)])
    def test_all_drained(self, _, now):
        """New flows are refused at once if all zones are drained."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        _drain(core, group.OTHER_ZONE, 12)
        outcome = _send_syn(core, 1, now)
        self.assertIsInstance(outcome, Reset)
        self.assertIs(ResetReason.ZONE_DRAINED, outcome.reason)

    def test_endpoint_announced_later(self):
        """A drain covers endpoints that start after it."""
        core = group.steering(FAR)
        _drain(core)
        core.apply(Update((EndpointAnnounced(NEAR, 12),), 12), 1.0)
        self.assertEqual(FAR.name, _send_syn(core, 1).endpoint.name)

    def test_restored(self):
        """A restored zone takes new flows again."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        _restore(core)
        self.assertEqual(NEAR.name, _send_syn(core, 1, 9.0).endpoint.name)


class OpenFlowTest(TestCase):
    """The flows that a drained zone still has."""

    def test_open_flow_continues(self):
        """An open flow is still forwarded to its endpoint."""
        core = group.steering(NEAR, FAR)
        _send_syn(core, 1)
        _drain(core)
        segment = group.segment(group.flow(1), NEAR.token, length=10)
        outcome = core.on_segment(segment, 3.0)
        self.assertIsInstance(outcome, Forward)
        self.assertEqual(NEAR, outcome.endpoint)

    @parameterized.expand([("with_a_flow", True, 1), ("without", False, 0)])
    def test_checks(self, _, carried, checks):
        """Only endpoints that still have flows are checked."""
        core = group.steering(NEAR, FAR)
        if carried:
            segment = group.segment(group.flow(1), NEAR.token, length=10)
            core.on_segment(segment, 1.0)
        _drain(core)
        core.catalog.get(NEAR.name).health.request_check(
            2.0, CheckReason.REPORTED
        )
        self.assertEqual(checks, len(core.due_checks(2.0)))

    def test_down_endpoint_is_not_checked_forever(self):
        """An endpoint that died before the drain is no longer checked.

        Its down state is dropped together with the check. Otherwise a flow
        that moves here from another VM would be reset although the endpoint
        may be back.
        """
        core = group.steering(NEAR, FAR)
        record = core.catalog.get(NEAR.name)
        core.on_check(record, CheckResult.REFUSED, 1.0)
        _drain(core)
        self.assertEqual([], core.due_checks(9.0))
        segment = group.segment(group.flow(1), NEAR.token, length=10)
        self.assertIsInstance(core.on_segment(segment, 9.0), Forward)

    def test_no_controls_for_drained_zone(self):
        """Endpoints of a drained zone are not used as controls for other zones.

        If a drained zone is cut off, its VMs could otherwise take the other
        zones' endpoints for down and reset flows that VMs of other zones can
        still carry.
        """
        core = group.steering(NEAR, FAR)
        _drain(core)
        failing = core.catalog.get(FAR.name)
        self.assertEqual([], core.check_policy.controls(failing, 2))


class _DrainsTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.drains = Drains()

    def _apply(self, *changes, revision: int = 20, complete: bool = False):
        return self.drains.apply(Update(changes, revision, complete))


class OrderTest(_DrainsTestCase):
    """Changes that arrive late, twice or in one answer."""

    def test_older_update(self):
        """A late update of a peer does not drain a restored zone again."""
        self._apply(ZoneDrained("a", 11))
        self._apply(ZoneRestored("a", 12))
        self.assertEqual([], self._apply(ZoneDrained("a", 11)))
        self.assertFalse(self.drains.is_drained("a"))

    def test_drained_and_restored_at_once(self):
        """A drain written and removed within one answer has no effect."""
        self._apply(ZoneDrained("a", 11), ZoneRestored("a", 12))
        self.assertEqual({}, self.drains.zones)

    def test_complete_listing(self):
        """A complete listing restores the zones that it does not name."""
        self._apply(ZoneDrained("a", 11), ZoneDrained("b", 12))
        self._apply(ZoneDrained("b", 12), complete=True)
        self.assertEqual({"b": 12}, self.drains.zones)

    def test_older_complete_listing(self):
        """A listing older than the drain does not end it."""
        self._apply(ZoneDrained("a", 30))
        self._apply(revision=20, complete=True)
        self.assertTrue(self.drains.is_drained("a"))

    def test_unreadable_entry(self):
        """A drain whose entry can no longer be parsed stays in force."""
        self._apply(ZoneDrained("a", 11))
        self.drains.apply(Update((), 20, True, (), ("a",)))
        self.assertTrue(self.drains.is_drained("a"))

    def test_bounded_number_of_zones(self):
        """The number of zones kept is bounded, however many come and go."""
        for number in range(3 * MAX_ZONES):
            zone, revision = f"z{number}", 10 + 2 * number
            self._apply(ZoneDrained(zone, revision))
            self._apply(ZoneRestored(zone, revision + 1))
        self.assertLessEqual(len(self.drains._zones), MAX_ZONES)


class PeerUpdateTest(TestCase):
    """Drains in the updates that VMs send each other."""

    @parameterized.expand([("whole", 0), ("changes", 10)])
    def test_drain_in_snapshot(self, _, after):
        """Complete and incremental updates of a peer both contain drains."""
        known, learner = group.steering(NEAR, FAR), group.steering(NEAR, FAR)
        _drain(known)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, after))
        ).ok_value
        learner.apply(update, 2.0)
        self.assertEqual({group.ZONE: 11}, learner.catalog.drains.zones)

    def test_restored(self):
        """An update of a peer contains the end of a drain as well."""
        known, learner = group.steering(NEAR, FAR), group.steering(NEAR, FAR)
        for core in (known, learner):
            _drain(core)
        _restore(known)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, 11))
        ).ok_value
        learner.apply(update, 2.0)
        self.assertEqual({}, learner.catalog.drains.zones)


class DirectoryEntryTest(TestCase):
    """Valid and invalid drain entries of the directory."""

    def _read(self, key: str, value: object, complete: bool = True) -> Update:
        store = Store()
        store.put(key, value)
        items = json.loads(store.items_body())["items"]
        return parse_items(items, store.revision, complete=complete)

    def test_valid(self):
        """A drain is accepted even if no endpoint is known in the zone."""
        update = self._read("op/evacuate/nowhere", {})
        self.assertEqual((ZoneDrained("nowhere", 11),), update.changes)

    @parameterized.expand(
        [
            ("list", "op/evacuate/a", b"[]"),
            ("bytes", "op/evacuate/a", b"\xff\x00"),
            ("empty", "op/evacuate/a", b""),
            ("deep", "op/evacuate/a", b"[" * 100_000),
            ("large", "op/evacuate/a", {"x": "y" * (1 << 20)}),
            ("no_zone", "op/evacuate/", {}),
            ("control", "op/evacuate/a\x00", {}),
            ("long", "op/evacuate/" + "a" * 188, b"[]"),
        ]
    )
    def test_invalid(self, _, key, value):
        """An entry that cannot be parsed drains nothing and is reported."""
        update = self._read(key, value)
        self.assertEqual((), update.changes)
        self.assertEqual(1, len(update.refused))
        self.assertLessEqual(len(update.refused[0].description), 120)
        self.assertEqual(1, len(update.unclear_zones))

    def test_removed(self):
        """Removing the entry restores the zone."""
        item = {"key": "op/evacuate/a", "revision": 5, "deleted": True}
        update = parse_items([item], 5, complete=False)
        self.assertEqual((ZoneRestored("a", 5),), update.changes)
