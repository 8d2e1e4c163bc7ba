"""Tests of steering: availability zones that the operator has drained."""

import json

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason, PlacementReason, ResetReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.platform._items import read_items
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


def _open(core, number: int, now: float = 1.0, copies: int = 0):
    return core.on_segment(group.syn(group.flow(number), copies), now)


class NewFlowTest(TestCase):
    """Where new flows go while a zone is drained."""

    def test_other_zone(self):
        """No new flow goes to a drained zone, by any of its clients."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        outcomes = [_open(core, number) for number in range(50)]
        self.assertEqual({FAR.name}, {o.endpoint.name for o in outcomes})

    def test_repeated_syn(self):
        """A copy of a SYN sent before the drain does not go there either."""
        core = group.steering(NEAR, group.endpoint(3), FAR)
        _open(core, 1)
        _drain(core)
        outcome = _open(core, 1, 1.2, copies=1)
        self.assertEqual(FAR.name, outcome.endpoint.name)

    def test_no_last_resort(self):
        """Every endpoint outside is down: the drained zone stays empty."""
        core = group.steering(NEAR, FAR)
        core.on_check(core.catalog.get(FAR.name), CheckResult.REFUSED, 1.0)
        _drain(core)
        outcome = _open(core, 1)
        self.assertEqual(FAR.name, outcome.endpoint.name)
        self.assertIs(PlacementReason.LAST_RESORT, outcome.placed)

    @parameterized.expand([("current", 1.0), ("out_of_date", 100.0)])
    def test_all_drained(self, _, now):
        """A service without an endpoint elsewhere is refused at once."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        _drain(core, group.OTHER_ZONE, 12)
        outcome = _open(core, 1, now)
        self.assertIsInstance(outcome, Reset)
        self.assertIs(ResetReason.ZONE_DRAINED, outcome.reason)

    def test_endpoint_announced_later(self):
        """A zone was drained before its first endpoint started."""
        core = group.steering(FAR)
        _drain(core)
        core.apply(Update((EndpointAnnounced(NEAR, 12),), 12), 1.0)
        self.assertEqual(FAR.name, _open(core, 1).endpoint.name)

    def test_restored(self):
        """The zone takes new flows again."""
        core = group.steering(NEAR, FAR)
        _drain(core)
        _restore(core)
        self.assertEqual(NEAR.name, _open(core, 1, 9.0).endpoint.name)


class OpenFlowTest(TestCase):
    """What becomes of flows that a drained zone still has."""

    def test_goes_on(self):
        """An open flow is carried until it ends."""
        core = group.steering(NEAR, FAR)
        _open(core, 1)
        _drain(core)
        segment = group.segment(group.flow(1), NEAR.token, length=10)
        outcome = core.on_segment(segment, 3.0)
        self.assertIsInstance(outcome, Forward)
        self.assertEqual(NEAR, outcome.endpoint)

    @parameterized.expand([("with_a_flow", True, 1), ("without", False, 0)])
    def test_checks(self, _, carried, checks):
        """Only endpoints whose clients wait for an answer are asked."""
        core = group.steering(NEAR, FAR)
        if carried:
            segment = group.segment(group.flow(1), NEAR.token, length=10)
            core.on_segment(segment, 1.0)
        _drain(core)
        core.catalog.get(NEAR.name).health.ask(2.0, CheckReason.REPORTED)
        self.assertEqual(checks, len(core.due_checks(2.0)))

    def test_down_endpoint_is_not_asked_for_ever(self):
        """An endpoint that died before the drain is left alone.

        Its belief is dropped with the check: a flow that arrives from another
        VM would else be reset although the endpoint may have returned.
        """
        core = group.steering(NEAR, FAR)
        record = core.catalog.get(NEAR.name)
        core.on_check(record, CheckResult.REFUSED, 1.0)
        _drain(core)
        self.assertEqual([], core.due_checks(9.0))
        segment = group.segment(group.flow(1), NEAR.token, length=10)
        self.assertIsInstance(core.on_segment(segment, 9.0), Forward)

    def test_no_control(self):
        """A drained zone that is cut off ends no flow to the others.

        Were an endpoint of the own zone enough to find the others down, their
        flows would be reset, which VMs of other zones can carry.
        """
        core = group.steering(NEAR, FAR)
        _drain(core)
        failing = core.catalog.get(FAR.name)
        self.assertEqual([], core.doubts.controls(failing, 2))


class _DrainsCase(TestCase):
    def setUp(self):
        super().setUp()
        self.drains = Drains()

    def _apply(self, *changes, revision: int = 20, whole: bool = False):
        return self.drains.apply(Update(changes, revision, whole))


class OrderTest(_DrainsCase):
    """Changes that come late, twice or in one answer."""

    def test_older_news(self):
        """A peer that is behind does not drain a zone again."""
        self._apply(ZoneDrained("a", 11))
        self._apply(ZoneRestored("a", 12))
        self.assertEqual([], self._apply(ZoneDrained("a", 11)))
        self.assertFalse(self.drains.is_drained("a"))

    def test_drained_and_restored_at_once(self):
        """An entry that came and went within one answer leaves nothing."""
        self._apply(ZoneDrained("a", 11), ZoneRestored("a", 12))
        self.assertEqual({}, self.drains.zones)

    def test_whole(self):
        """A list of everything restores what it does not name."""
        self._apply(ZoneDrained("a", 11), ZoneDrained("b", 12))
        self._apply(ZoneDrained("b", 12), whole=True)
        self.assertEqual({"b": 12}, self.drains.zones)

    def test_whole_but_older(self):
        """A list from before the drain does not end it."""
        self._apply(ZoneDrained("a", 30))
        self._apply(revision=20, whole=True)
        self.assertTrue(self.drains.is_drained("a"))

    def test_unclear(self):
        """A drain whose entry became unreadable stays in force."""
        self._apply(ZoneDrained("a", 11))
        self.drains.apply(Update((), 20, True, (), ("a",)))
        self.assertTrue(self.drains.is_drained("a"))

    def test_memory(self):
        """Zones that come and go by the thousand do not fill the memory."""
        for number in range(3 * MAX_ZONES):
            zone, revision = f"z{number}", 10 + 2 * number
            self._apply(ZoneDrained(zone, revision))
            self._apply(ZoneRestored(zone, revision + 1))
        self.assertLessEqual(len(self.drains._zones), MAX_ZONES)


class TellingTest(TestCase):
    """How VMs that did not read the directory learn of a drain."""

    @parameterized.expand([("whole", 0), ("changes", 10)])
    def test_snapshot(self, _, after):
        """Peers tell drains with everything and with the latest changes."""
        known, learner = group.steering(NEAR, FAR), group.steering(NEAR, FAR)
        _drain(known)
        told = snapshot.decode(
            snapshot.encode(known, Position(0, after))
        ).ok_value
        learner.apply(told, 2.0)
        self.assertEqual({group.ZONE: 11}, learner.catalog.drains.zones)

    def test_restored(self):
        """A peer tells the end of a drain as well."""
        known, learner = group.steering(NEAR, FAR), group.steering(NEAR, FAR)
        for core in (known, learner):
            _drain(core)
        _restore(known)
        told = snapshot.decode(snapshot.encode(known, Position(0, 11))).ok_value
        learner.apply(told, 2.0)
        self.assertEqual({}, learner.catalog.drains.zones)


class EntryTest(TestCase):
    """The directory's entries of drains, good and bad."""

    def _read(self, key: str, value: object, whole: bool = True) -> Update:
        store = Store()
        store.put(key, value)
        items = json.loads(store.items_body())["items"]
        return read_items(items, store.revision, whole=whole)

    def test_good(self):
        """A zone is drained, whether or not anybody knows it."""
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
    def test_bad(self, _, key, value):
        """An entry that cannot be understood drains nothing and is told."""
        update = self._read(key, value)
        self.assertEqual((), update.changes)
        self.assertEqual(1, len(update.refused))
        self.assertLessEqual(len(update.refused[0]), 120)
        self.assertEqual(1, len(update.unclear_zones))

    def test_removed(self):
        """Removing the entry restores the zone."""
        item = {"key": "op/evacuate/a", "revision": 5, "deleted": True}
        update = read_items([item], 5, whole=False)
        self.assertEqual((ZoneRestored("a", 5),), update.changes)
