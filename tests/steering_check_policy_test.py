"""Tests of steering: which VMs check an endpoint, and how often."""

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
from pollenmast.steering._catalog import GONE_RETENTION_S, LAPSE_GRACE_PERIOD_S
from pollenmast.steering._health import (
    MAX_DEFER_S,
    RECHECK_MAX_S,
    REPORTED_DOWN_S,
)
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)

READERS, VMS = 2, 30
"""Readers among the zone's VMs in a simulated fault, and all its VMs."""


def _core(*endpoints, is_reader: bool = False) -> Steering:
    core = group.steering(*endpoints)
    core.check_policy.set_is_reader(lambda: is_reader)
    return core


def _remove_entry(core: Steering, endpoint, now: float) -> None:
    revision = core.revision + 1
    removed = EndpointRemoved(endpoint.name, revision)
    core.apply(Update((removed,), revision), now)


def _forward(core: Steering, number: int, endpoint, now: float):
    key = group.flow(number)
    segment = group.segment(key, endpoint.token, length=10)
    return core.on_segment(segment, now)


class LapseTest(TestCase):
    """Which VMs check an endpoint whose directory entry disappeared."""

    @parameterized.expand(
        [
            ("reader", True, 0, 1),
            ("with_a_flow", False, 1, 1),
            ("without", False, 0, 0),
        ]
    )
    def test_checked_by(self, _, is_reader, flows, checks):
        """Only readers and VMs with flows check a missing endpoint.

        When a service is released, hundreds of entries disappear within
        seconds. If every VM checked each of them, an endpoint of two slots
        would get hundreds of checks, and more in a larger fleet.
        """
        core = _core(FIRST, SECOND, is_reader=is_reader)
        for number in range(flows):
            _forward(core, number, FIRST, 1.0)
        _remove_entry(core, FIRST, 1.5)
        due = core.due_checks(1.5)
        self.assertEqual(checks, len(due))
        for record in due:
            self.assertIs(CheckReason.LAPSED, record.health.check_reason)

    def test_flow_arrives_later(self):
        """A flow that moves to this VM triggers a check of its endpoint.

        The endpoint's entry is missing, and this VM has not checked it yet.
        Without a check the client would wait until the silence is noticed.
        """
        core = _core(FIRST, SECOND)
        _remove_entry(core, FIRST, 1.0)
        self.assertEqual([], core.due_checks(1.0))
        _forward(core, 1, FIRST, 1.2)
        record = core.catalog.get(FIRST.name)
        self.assertEqual([record], core.due_checks(1.2))
        resets = core.on_check(record, CheckResult.REFUSED, 1.21)
        self.assertEqual([group.flow(1)], [reset.flow for reset in resets])

    def test_missing_for_good(self):
        """A missing endpoint that this VM never checked is removed in time.

        Otherwise the list would grow with each release.
        """
        core = _core(FIRST, SECOND)
        _remove_entry(core, FIRST, 1.0)
        core.on_confirmed(1.0 + LAPSE_GRACE_PERIOD_S)
        core.tick(1.0 + LAPSE_GRACE_PERIOD_S)
        self.assertEqual([], core.due_checks(1.0 + LAPSE_GRACE_PERIOD_S))
        self.assertEqual(
            [SECOND], [r.endpoint for r in core.catalog.serving("registry")]
        )
        core.tick(1.0 + GONE_RETENTION_S)
        self.assertIsNone(core.catalog.get(FIRST.name))

    def test_forgotten_while_alive(self):
        """A missing endpoint that still answers is removed in time.

        An endpoint may leave and still answer for minutes. A reader that kept
        it on its list would check it every second for ever.
        """
        core = _core(FIRST, SECOND, is_reader=True)
        _remove_entry(core, FIRST, 1.0)
        now = 1.0
        while now < 2.0 + GONE_RETENTION_S:
            core.on_confirmed(now)
            core.tick(now)
            for due in core.due_checks(now):
                core.on_check(due, CheckResult.ANSWERED, now)
            now += 0.5
        self.assertIsNone(core.catalog.get(FIRST.name))
        self.assertEqual([], core.catalog.expired_lapses())

    def test_entry_returns(self):
        """An endpoint whose entry returns gets flows again without a check."""
        core = _core(FIRST)
        _remove_entry(core, FIRST, 1.0)
        revision = core.revision + 1
        back = EndpointAnnounced(FIRST, revision)
        core.apply(Update((back,), revision), 2.0)
        self.assertEqual([], core.due_checks(2.0))
        outcome = core.on_segment(group.syn(group.flow()), 2.0)
        self.assertEqual(PlacementReason.OWN_ZONE, outcome.placed)
        self.assertIs(Presence.LISTED, core.catalog.get(FIRST.name).presence)

    def test_last_resort(self):
        """A last resort is not an endpoint that a reader reports down.

        All entries of a service disappear, and half of its endpoints died. A VM
        that has checked none of them relies on the reader's report: otherwise
        half of its new flows would not open.
        """
        core = _core(FIRST, SECOND)
        for endpoint in (FIRST, SECOND):
            _remove_entry(core, endpoint, 1.0)
        core.check_policy.on_reader_reported_down(FIRST.number, 1.1)
        chosen = set()
        for number in range(8):
            outcome = core.on_segment(group.syn(group.flow(number)), 1.2)
            self.assertEqual(PlacementReason.LAST_RESORT, outcome.placed)
            chosen.add(outcome.endpoint.name)
        self.assertEqual({SECOND.name}, chosen)


class DownTest(TestCase):
    """Which VMs check whether a down endpoint is back."""

    def _down(self) -> tuple[Steering, object]:
        core = _core(FIRST, SECOND)
        record = core.catalog.get(FIRST.name)
        core.on_check(record, CheckResult.REFUSED, 1.0)
        return core, record

    def _checks(self, core, record, reports_until: float, until: float) -> list:
        """Returns the times of its checks, with reader reports for a while.

        Args:
            core: The VM.
            record: The endpoint that is down.
            reports_until: When the reader's reports end, in seconds.
            until: When the simulation ends, in seconds.
        """
        times, now = [], 1.0
        while now < until:
            now = round(now + 0.05, 2)
            if now < reports_until and round(now * 100) % 50 == 0:
                core.check_policy.on_reader_reported_down(FIRST.number, now)
            for due in core.due_checks(now):
                times.append(now)
                core.on_check(due, CheckResult.REFUSED, now)
        return times

    def test_reader_rechecks(self):
        """A VM leaves rechecks to a reader that reports the endpoint down.

        When a zone is cut off for some seconds, its endpoints are down. If
        every VM rechecked them, they would get hundreds of checks a second at
        the moment when they return.
        """
        core, record = self._down()
        times = self._checks(core, record, 11.0, 11.0)
        self.assertLessEqual(len(times), 1 + int(10.0 / MAX_DEFER_S))

    def test_readers_die(self):
        """A VM rechecks as often as before once the readers' reports end.

        If it still waited for readers that died, it would keep its clients from
        an endpoint that is back.
        """
        core, record = self._down()
        times = self._checks(core, record, 3.0, 8.0)
        after = [at for at in times if at >= 3.0]
        self.assertLessEqual(after[0], 3.0 + REPORTED_DOWN_S)
        gaps = [b - a for a, b in zip(after, after[1:], strict=False)]
        self.assertLessEqual(max(gaps), RECHECK_MAX_S + 0.1)

    def test_no_reader_report(self):
        """A VM that alone finds an endpoint down rechecks it itself."""
        core, record = self._down()
        self.assertGreaterEqual(len(self._checks(core, record, 0.0, 6.0)), 4)

    def test_flow_arrives(self):
        """A flow that moves here triggers a check of a reported endpoint.

        Its request gets no answer; the reader's report is reason enough to
        check at once.
        """
        core = _core(FIRST, SECOND)
        core.check_policy.on_reader_reported_down(FIRST.number, 1.0)
        self.assertEqual([], core.due_checks(1.0))
        _forward(core, 1, FIRST, 1.2)
        due = core.due_checks(1.2)
        self.assertEqual([FIRST], [record.endpoint for record in due])


class FleetTest(TestCase):
    """The number of health checks over all VMs of a zone."""

    def _simulate(self, vm_count: int, endpoints: int) -> int:
        """Returns the number of checks in ten seconds without any answers."""
        known = [group.endpoint(number + 1) for number in range(endpoints)]
        vms = [
            _core(*known, is_reader=index < READERS)
            for index in range(vm_count)
        ]
        for index, core in enumerate(vms):
            _forward(core, index, known[index % endpoints], 0.9)
        for core in vms:
            for endpoint in known:
                _remove_entry(core, endpoint, 1.0)
        checks, now = 0, 1.0
        while now < 11.0:
            now = round(now + 0.05, 2)
            reports = round(now * 100) % 50 == 0
            for index, core in enumerate(vms):
                if reports and index >= READERS:
                    for record in vms[index % READERS].catalog.records:
                        if record.health.down:
                            core.check_policy.on_reader_reported_down(
                                record.endpoint.number, now
                            )
                for due in core.due_checks(now):
                    checks += 1
                    core.on_check(due, CheckResult.TIMEOUT, now)
        return checks

    def test_linear_growth(self):
        """Checks grow linearly: twice the fleet makes twice the checks.

        Each VM has one flow, and both VMs and endpoints are doubled. When all
        VMs checked all endpoints, the checks grew with the product, on
        endpoints that had just lost vm_count of their service.
        """
        small = self._simulate(VMS, 10)
        large = self._simulate(2 * VMS, 20)
        self.assertLessEqual(large, 2.2 * small)
