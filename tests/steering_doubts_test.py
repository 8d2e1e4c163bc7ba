"""Tests of steering: which VMs ask a doubted endpoint, and how often."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason, PlacementReason
from pollenmast.steering import (
    CheckResult,
    EndpointAnnounced,
    EndpointRemoved,
    Presence,
    Steering,
    Update,
)
from pollenmast.steering._catalog import FORGET_S, LAPSE_S
from pollenmast.steering._health import (
    MAX_DEFER_S,
    RECHECK_MAX_S,
    REPORTED_DOWN_S,
)
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)

READERS, OTHERS = 2, 30
"""VMs of the zone in a played fault."""


def _core(*endpoints, reads: bool = False) -> Steering:
    core = group.steering(*endpoints)
    core.doubts.join(lambda: reads)
    return core


def _vanish(core: Steering, endpoint, now: float) -> None:
    revision = core.revision + 1
    removed = EndpointRemoved(endpoint.name, revision)
    core.apply(Update((removed,), revision), now)


def _carry(core: Steering, number: int, endpoint, now: float):
    key = group.flow(number)
    segment = group.segment(key, endpoint.token, length=10)
    return core.on_segment(segment, now)


class LapseTest(TestCase):
    """An entry vanishes: who asks the endpoint."""

    @parameterized.expand(
        [
            ("reader", True, 0, 1),
            ("with_a_flow", False, 1, 1),
            ("without", False, 0, 0),
        ]
    )
    def test_asked_by(self, _, reads, flows, checks):
        """A service is released: hundreds of entries vanish in seconds.

        If every VM asked each of them, an endpoint of two slots would get
        hundreds of checks, and the more the larger the fleet is.
        """
        core = _core(FIRST, SECOND, reads=reads)
        for number in range(flows):
            _carry(core, number, FIRST, 1.0)
        _vanish(core, FIRST, 1.5)
        due = core.due_checks(1.5)
        self.assertEqual(checks, len(due))
        for record in due:
            self.assertIs(CheckReason.LAPSED, record.health.check_reason)

    def test_flow_arrives_later(self):
        """A flow to a vanished endpoint moves here as the routers change.

        Nobody here has asked the endpoint yet; without a check its client
        would wait until the silence is noticed.
        """
        core = _core(FIRST, SECOND)
        _vanish(core, FIRST, 1.0)
        self.assertEqual([], core.due_checks(1.0))
        _carry(core, 1, FIRST, 1.2)
        record = core.catalog.get(FIRST.name)
        self.assertEqual([record], core.due_checks(1.2))
        resets = core.on_check(record, CheckResult.REFUSED, 1.21)
        self.assertEqual([group.flow(1)], [reset.flow for reset in resets])

    def test_missing_for_good(self):
        """An endpoint that nobody here asked about is forgotten in time.

        Kept for ever, the list would grow with each release.
        """
        core = _core(FIRST, SECOND)
        _vanish(core, FIRST, 1.0)
        core.on_confirmed(1.0 + LAPSE_S)
        core.tick(1.0 + LAPSE_S)
        self.assertEqual([], core.due_checks(1.0 + LAPSE_S))
        self.assertEqual(
            [SECOND], [r.endpoint for r in core.catalog.serving("registry")]
        )
        core.tick(1.0 + FORGET_S)
        self.assertIsNone(core.catalog.get(FIRST.name))

    def test_forgotten_while_alive(self):
        """An endpoint leaves but answers on for minutes; it is forgotten.

        A reader that kept it on its list would ask it every second for ever.
        """
        core = _core(FIRST, SECOND, reads=True)
        _vanish(core, FIRST, 1.0)
        now = 1.0
        while now < 2.0 + FORGET_S:
            core.on_confirmed(now)
            core.tick(now)
            for due in core.due_checks(now):
                core.on_check(due, CheckResult.ANSWERED, now)
            now += 0.5
        self.assertIsNone(core.catalog.get(FIRST.name))
        self.assertEqual([], core.catalog.overdue())

    def test_entry_returns(self):
        """The entry is back: the endpoint takes flows, without a check."""
        core = _core(FIRST)
        _vanish(core, FIRST, 1.0)
        revision = core.revision + 1
        back = EndpointAnnounced(FIRST, revision)
        core.apply(Update((back,), revision), 2.0)
        self.assertEqual([], core.due_checks(2.0))
        outcome = core.on_segment(group.syn(group.flow()), 2.0)
        self.assertEqual(PlacementReason.OWN_ZONE, outcome.placed)
        self.assertIs(Presence.LISTED, core.catalog.get(FIRST.name).presence)

    def test_last_resort(self):
        """All entries of a service vanish, and half of its endpoints died.

        A VM that has asked none of them goes by what a reader tells: half of
        its new flows would otherwise open nowhere.
        """
        core = _core(FIRST, SECOND)
        for endpoint in (FIRST, SECOND):
            _vanish(core, endpoint, 1.0)
        core.doubts.on_told_down(FIRST.number, 1.1)
        chosen = set()
        for number in range(8):
            outcome = core.on_segment(group.syn(group.flow(number)), 1.2)
            self.assertEqual(PlacementReason.LAST_RESORT, outcome.placed)
            chosen.add(outcome.endpoint.name)
        self.assertEqual({SECOND.name}, chosen)


class DownTest(TestCase):
    """An endpoint is down: who looks whether it is back."""

    def _down(self) -> tuple[Steering, object]:
        core = _core(FIRST, SECOND)
        record = core.catalog.get(FIRST.name)
        core.on_check(record, CheckResult.REFUSED, 1.0)
        return core, record

    def _checks(self, core, record, told_until: float, until: float) -> list:
        """Returns when it was checked, by a reader's reports until then."""
        times, now = [], 1.0
        while now < until:
            now = round(now + 0.05, 2)
            if now < told_until and round(now * 100) % 50 == 0:
                core.doubts.on_told_down(FIRST.number, now)
            for due in core.due_checks(now):
                times.append(now)
                core.on_check(due, CheckResult.REFUSED, now)
        return times

    def test_readers_look(self):
        """A zone is cut off for some seconds; its endpoints are down.

        A reader looks whether they are back. If every VM did, they would get
        hundreds of checks a second at the moment when they return.
        """
        core, record = self._down()
        times = self._checks(core, record, 11.0, 11.0)
        self.assertLessEqual(len(times), 1 + int(10.0 / MAX_DEFER_S))

    def test_readers_fall_silent(self):
        """The readers die: the VM looks for itself again, as often as before.

        Otherwise it would keep its clients from an endpoint that is back.
        """
        core, record = self._down()
        times = self._checks(core, record, 3.0, 8.0)
        after = [at for at in times if at >= 3.0]
        self.assertLessEqual(after[0], 3.0 + REPORTED_DOWN_S)
        gaps = [b - a for a, b in zip(after, after[1:], strict=False)]
        self.assertLessEqual(max(gaps), RECHECK_MAX_S + 0.1)

    def test_nobody_told(self):
        """This VM alone reaches an endpoint no more; it looks for itself."""
        core, record = self._down()
        self.assertGreaterEqual(len(self._checks(core, record, 0.0, 6.0)), 4)

    def test_flow_arrives(self):
        """A flow to an endpoint that a reader finds down moves here.

        Its request goes into silence; the reader's word is reason enough to
        ask at once.
        """
        core = _core(FIRST, SECOND)
        core.doubts.on_told_down(FIRST.number, 1.0)
        self.assertEqual([], core.due_checks(1.0))
        _carry(core, 1, FIRST, 1.2)
        due = core.due_checks(1.2)
        self.assertEqual([FIRST], [record.endpoint for record in due])


class FleetTest(TestCase):
    """A zone's checks of what is gone, counted over its VMs."""

    def _play(self, others: int, endpoints: int) -> int:
        """Returns the checks of ten seconds in which endpoints go dark."""
        known = [group.endpoint(number + 1) for number in range(endpoints)]
        vms = [_core(*known, reads=index < READERS) for index in range(others)]
        for index, core in enumerate(vms):
            _carry(core, index, known[index % endpoints], 0.9)
        for core in vms:
            for endpoint in known:
                _vanish(core, endpoint, 1.0)
        checks, now = 0, 1.0
        while now < 11.0:
            now = round(now + 0.05, 2)
            tells = round(now * 100) % 50 == 0
            for index, core in enumerate(vms):
                if tells and index >= READERS:
                    for record in vms[index % READERS].catalog.records:
                        if record.health.down:
                            core.doubts.on_told_down(
                                record.endpoint.number, now
                            )
                for due in core.due_checks(now):
                    checks += 1
                    core.on_check(due, CheckResult.TIMEOUT, now)
        return checks

    def test_growth(self):
        """Twice the VMs and twice the endpoints: twice the checks, not four.

        Each VM has one flow. When all asked about all, the checks grew with
        the product, on endpoints that had just lost their neighbours.
        """
        small = self._play(OTHERS, 10)
        large = self._play(2 * OTHERS, 20)
        self.assertLessEqual(large, 2.2 * small)
