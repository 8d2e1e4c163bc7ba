"""Tests of decisions._probing and decisions._readers."""

import collections
import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions import _probing, _readers
from pollenmast.decisions._probing import Reports
from pollenmast.fleet import EndpointReport, VmState
from pollenmast.manifest import Endpoint, Service, ServiceKind
from pollenmast.peers._gossip import ProbeNews
from tests.membership_group import ZONES, vm

OWN, PEER = 1, 2
REPORT = EndpointReport(1, "registry-1", 11, True, 1, 0, 100, 5, 100.0)


def _reports() -> Reports:
    return Reports(OWN, floor=10)


def _report(**changes) -> EndpointReport:
    return attrs.evolve(REPORT, **changes)


def _services(endpoints: int, zones=ZONES) -> list[Service]:
    made = tuple(
        Endpoint(f"e-{n}", "127.0.2.1", 1, 2, zones[n % len(zones)])
        for n in range(endpoints)
    )
    return [Service("s", 1, 4001, ServiceKind.SESSION, False, made)]


def _assigned(endpoints: int, vms, zones=ZONES) -> dict[str, set[str]]:
    assigned = _probing.assignments(_services(endpoints, zones), vms)
    return {name: set(probers) for (_, name), probers in assigned.items()}


class AssignmentsTest(TestCase):
    """Who probes an endpoint."""

    def test_two_of_its_zone(self):
        """Each endpoint has two probers, of its own zone where there are."""
        vms = [vm(number) for number in range(9)]
        zones = {each.name: each.zone for each in vms}
        for name, probers in _assigned(20, vms).items():
            own_zone = ZONES[int(name[2:]) % 3]
            self.assertEqual(2, len(probers))
            self.assertEqual({own_zone}, {zones[each] for each in probers})

    def test_even(self):
        """No VM of a zone probes more than its share."""
        vms = [vm(number) for number in range(9)]
        probes = collections.Counter(
            name for probers in _assigned(21, vms).values() for name in probers
        )
        self.assertEqual((4, 5), (min(probes.values()), max(probes.values())))

    def test_loss_moves_little(self):
        """A VM ends; all that it probed has another prober, most stays."""
        vms = [vm(number) for number in range(9)]
        before, after = _assigned(60, vms), _assigned(60, vms[:-1])
        kept = sum(
            len((before[name] - {"vm-8"}) & after[name]) for name in before
        )
        had = sum(len(before[name] - {"vm-8"}) for name in before)
        self.assertGreater(kept / had, 0.8)
        self.assertTrue(all(len(probers) == 2 for probers in after.values()))

    def test_own_zone_only(self):
        """A VM that looks at its own zone finds the probes that it would."""
        vms = [vm(number) for number in (0, 1, 3, 4, 6, 7)]
        services = _services(30, ZONES)
        everywhere = _probing.assignments(services, vms)
        for zone in ZONES[:2]:
            own = _probing.assignments(services, vms, zone)
            names = {each.name for each in vms if each.zone == zone}
            for key, probers in everywhere.items():
                expected = names & set(probers)
                self.assertEqual(expected, names & set(own.get(key, ())))

    @parameterized.expand([("none", 0), ("one", 1)])
    def test_zone_without_enough_vms(self, _, count):
        """A zone's VMs have died; others probe its endpoints all the same."""
        own = [vm(3 * number) for number in range(count)]
        others = [vm(3 * number + 1) for number in range(3)]
        assigned = _assigned(5, own + others, zones=ZONES[:1])
        for probers in assigned.values():
            self.assertEqual(2, len(probers))
            self.assertTrue({each.name for each in own} <= probers)

    def test_leaving_probes_nothing(self):
        """A leaving VM's probes end with it, so others take them before."""
        vms = [vm(0), attrs.evolve(vm(3), state=VmState.LEAVING), vm(1)]
        for probers in _assigned(9, vms).values():
            self.assertNotIn("vm-3", probers)


class ReportsTest(TestCase):
    """What the fleet's probes say of an endpoint."""

    def test_newest_wins(self):
        """A report that was overtaken on its way changes nothing."""
        reports = _reports()
        newer = ProbeNews(PEER, _report(sequence=13, running=2))
        self.assertTrue(reports.heard(newer, 0.0))
        self.assertFalse(reports.heard(ProbeNews(PEER, REPORT), 0.0))
        self.assertEqual((newer.report,), reports.view(0.0))

    def test_one_lost_answer(self):
        """One probe fails, as when the endpoint pauses; two say it is down."""
        reports = _reports()
        reports.own(REPORT, 0.0)
        failed = _report(sequence=12, healthy=False)
        self.assertIsNone(reports.own(failed, 0.5, answered=False))
        self.assertTrue(reports.view(0.5)[0].healthy)
        self.assertIsNotNone(reports.own(failed, 1.0, answered=False))
        self.assertFalse(reports.view(1.0)[0].healthy)

    def test_leaving_is_believed_at_once(self):
        """An endpoint says itself that it takes no new work.

        Doubted like a lost answer, it would get new sessions for another
        second, and would break its promise to be gone in time.
        """
        reports = _reports()
        reports.own(REPORT, 0.0)
        leaving = _report(sequence=12, healthy=False)
        self.assertIsNotNone(reports.own(leaving, 0.5))
        self.assertFalse(reports.view(0.5)[0].healthy)

    def test_one_prober_cut_off(self):
        """One of two probers does not reach an endpoint that is well.

        Did the newest word win, the endpoint would seem to come and go four
        times a second, and its flows with it.
        """
        reports = _reports()
        reports.heard(ProbeNews(PEER, REPORT), 0.0)
        for sequence in (12, 14):
            failed = _report(sequence=sequence, healthy=False)
            reports.own(failed, 0.1, answered=False)
        self.assertTrue(reports.view(0.2)[0].healthy)

    def test_silent_prober_expires(self):
        """A prober is cut off or frozen; its last word is old, not true."""
        reports = _reports()
        reports.heard(ProbeNews(PEER, REPORT), 0.0)
        self.assertEqual((), reports.view(_probing.REPORT_LEASE_S + 0.1))

    def test_unchanged_is_told_rarely(self):
        """An idle endpoint costs one report each two seconds."""
        reports = _reports()
        told = [
            reports.own(_report(sequence=11 + n), n * 0.5) for n in range(20)
        ]
        self.assertEqual(5, sum(news is not None for news in told))

    def test_sequences_go_up_over_restarts(self):
        """All agents restart; their sequences start above those before."""
        reports = _reports()
        self.assertEqual(11, reports.next_sequence(1, "registry-1"))
        reports.heard(ProbeNews(PEER, _report(sequence=40)), 0.0)
        self.assertEqual(41, reports.next_sequence(1, "registry-1"))

    def test_forgets_what_the_manifest_drops(self):
        """Endpoints that are gone from the manifest take no memory."""
        reports = _reports()
        reports.heard(ProbeNews(PEER, REPORT), 0.0)
        reports.keep_only(set())
        self.assertEqual((), reports.view(0.0))


class ReadersTest(TestCase):
    """Who watches the platform."""

    def test_two_watch_a_zone(self):
        """The watchers do not grow with the zone."""
        vms = [vm(number) for number in range(60)]
        for zone in ZONES:
            watchers = _readers.watchers(zone, vms)
            self.assertEqual(_readers.WATCHERS, len(watchers))

    def test_lost_watchers_are_replaced(self):
        """Both watchers of a zone die at once.

        Without successors the zone would hear of a new manifest only by its
        rare fallback reads.
        """
        vms = [vm(number) for number in range(9)]
        lost = _readers.watchers(ZONES[0], vms)
        left = [each for each in vms if each.name not in lost]
        watchers = _readers.watchers(ZONES[0], left)
        self.assertEqual(1, len(watchers))
        self.assertFalse(set(watchers) & set(lost))

    def test_fallback_reads_stay_bounded(self):
        """The whole fleet's fallback reads do not grow with its size."""
        rng = random.Random(1)
        for fleet in (300, 1400, 3000):
            waits = [
                _readers.fallback_interval(fleet, rng) for _ in range(fleet)
            ]
            reads_per_s = sum(1 / wait for wait in waits)
            self.assertLess(reads_per_s, 1.1 * _readers.FLEET_READS_PER_S)
