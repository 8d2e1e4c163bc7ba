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
from pollenmast.peers._gossip import ProbeUpdate
from tests.membership_group import ZONES, vm

OWN, PEER = 1, 2
REPORT = EndpointReport(1, "registry-1", 11, True, 1, 0, 100, 5, 100.0)


def _reports() -> Reports:
    return Reports(OWN, floor=10)


def _report(**changes) -> EndpointReport:
    return attrs.evolve(REPORT, **changes)


def _services(endpoints: int, zones=ZONES) -> list[Service]:
    created = tuple(
        Endpoint(f"e-{n}", "127.0.2.1", 1, 2, zones[n % len(zones)])
        for n in range(endpoints)
    )
    return [Service("s", 1, 4001, ServiceKind.SESSION, False, created)]


def _assigned(endpoints: int, vms, zones=ZONES) -> dict[str, set[str]]:
    assigned = _probing.assignments(_services(endpoints, zones), vms)
    return {name: set(probers) for (_, name), probers in assigned.items()}


class AssignmentsTest(TestCase):
    """Assignment of probers to endpoints."""

    def test_two_probers_of_the_same_zone(self):
        """Each endpoint has two probers from its own zone."""
        vms = [vm(number) for number in range(9)]
        zones = {each.name: each.zone for each in vms}
        for name, probers in _assigned(20, vms).items():
            own_zone = ZONES[int(name[2:]) % 3]
            self.assertEqual(2, len(probers))
            self.assertEqual({own_zone}, {zones[each] for each in probers})

    def test_probes_are_balanced(self):
        """No VM of a zone probes more than its share of the endpoints."""
        vms = [vm(number) for number in range(9)]
        probes = collections.Counter(
            name for probers in _assigned(21, vms).values() for name in probers
        )
        self.assertEqual((4, 5), (min(probes.values()), max(probes.values())))

    def test_loss_reassigns_few_probes(self):
        """Endpoints of a lost VM get another prober; most probes stay."""
        vms = [vm(number) for number in range(9)]
        before, after = _assigned(60, vms), _assigned(60, vms[:-1])
        kept = sum(
            len((before[name] - {"vm-8"}) & after[name]) for name in before
        )
        before_count = sum(len(before[name] - {"vm-8"}) for name in before)
        self.assertGreater(kept / before_count, 0.8)
        self.assertTrue(all(len(probers) == 2 for probers in after.values()))

    def test_assignments_for_one_zone(self):
        """A zone's assignments equal those computed for all zones."""
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
        """VMs of other zones probe endpoints of a zone with too few VMs."""
        own = [vm(3 * number) for number in range(count)]
        others = [vm(3 * number + 1) for number in range(3)]
        assigned = _assigned(5, own + others, zones=ZONES[:1])
        for probers in assigned.values():
            self.assertEqual(2, len(probers))
            self.assertTrue({each.name for each in own} <= probers)

    def test_leaving_vm_is_not_assigned(self):
        """Other VMs take over the probes of a leaving VM before it stops."""
        vms = [vm(0), attrs.evolve(vm(3), state=VmState.LEAVING), vm(1)]
        for probers in _assigned(9, vms).values():
            self.assertNotIn("vm-3", probers)


class ReportsTest(TestCase):
    """Aggregation of the probers' reports."""

    def test_newest_wins(self):
        """A report that arrives after a newer one is ignored."""
        reports = _reports()
        newer = ProbeUpdate(PEER, _report(sequence=13, running=2))
        self.assertTrue(reports.record_peer(newer, 0.0))
        self.assertFalse(reports.record_peer(ProbeUpdate(PEER, REPORT), 0.0))
        self.assertEqual((newer.report,), reports.view(0.0))

    def test_one_lost_answer(self):
        """One failed probe, as when the endpoint pauses, is ignored.

        A second one in a row makes the endpoint unhealthy.
        """
        reports = _reports()
        reports.record_local(REPORT, 0.0)
        failed = _report(sequence=12, healthy=False)
        self.assertIsNone(reports.record_local(failed, 0.5, answered=False))
        self.assertTrue(reports.view(0.5)[0].healthy)
        self.assertIsNotNone(reports.record_local(failed, 1.0, answered=False))
        self.assertFalse(reports.view(1.0)[0].healthy)

    def test_leaving_takes_effect_immediately(self):
        """An endpoint announces that it takes no new work.

        If the report were ignored like a first lost answer, the endpoint
        would get new sessions for another second and could not stop in time.
        """
        reports = _reports()
        reports.record_local(REPORT, 0.0)
        leaving = _report(sequence=12, healthy=False)
        self.assertIsNotNone(reports.record_local(leaving, 0.5))
        self.assertFalse(reports.view(0.5)[0].healthy)

    def test_one_prober_cut_off(self):
        """One of two probers does not reach a healthy endpoint.

        If the latest report always took precedence, the endpoint would change
        its state four times a second, and its flows would be moved each time.
        """
        reports = _reports()
        reports.record_peer(ProbeUpdate(PEER, REPORT), 0.0)
        for sequence in (12, 14):
            failed = _report(sequence=sequence, healthy=False)
            reports.record_local(failed, 0.1, answered=False)
        self.assertTrue(reports.view(0.2)[0].healthy)

    def test_report_of_silent_prober_expires(self):
        """The last report of a prober that is cut off or frozen expires."""
        reports = _reports()
        reports.record_peer(ProbeUpdate(PEER, REPORT), 0.0)
        self.assertEqual((), reports.view(_probing.REPORT_LEASE_S + 0.1))

    def test_unchanged_report_is_sent_rarely(self):
        """An idle endpoint causes one report every two seconds."""
        reports = _reports()
        sent = [
            reports.record_local(_report(sequence=11 + n), n * 0.5)
            for n in range(20)
        ]
        self.assertEqual(5, sum(news is not None for news in sent))

    def test_sequences_increase_over_restarts(self):
        """After all agents restart, sequence numbers exceed earlier ones."""
        reports = _reports()
        self.assertEqual(11, reports.next_sequence(1, "registry-1"))
        reports.record_peer(ProbeUpdate(PEER, _report(sequence=40)), 0.0)
        self.assertEqual(41, reports.next_sequence(1, "registry-1"))

    def test_endpoints_not_in_manifest_are_removed(self):
        """Endpoints that the manifest no longer names use no memory."""
        reports = _reports()
        reports.record_peer(ProbeUpdate(PEER, REPORT), 0.0)
        reports.keep_only(set())
        self.assertEqual((), reports.view(0.0))


class ReadersTest(TestCase):
    """VMs that watch the platform."""

    def test_two_watchers_per_zone(self):
        """The number of watchers does not grow with the zone."""
        vms = [vm(number) for number in range(60)]
        for zone in ZONES:
            watchers = _readers.watchers(zone, vms)
            self.assertEqual(_readers.WATCHERS, len(watchers))

    def test_lost_watchers_are_replaced(self):
        """Both watchers of a zone die at once.

        Without replacements the zone would learn of a new manifest only
        through its rare fallback reads.
        """
        vms = [vm(number) for number in range(9)]
        lost_watchers = _readers.watchers(ZONES[0], vms)
        remaining = [each for each in vms if each.name not in lost_watchers]
        watchers = _readers.watchers(ZONES[0], remaining)
        self.assertEqual(1, len(watchers))
        self.assertFalse(set(watchers) & set(lost_watchers))

    def test_fallback_reads_stay_bounded(self):
        """The rate of fallback reads does not grow with the fleet."""
        rng = random.Random(1)
        for fleet in (300, 1400, 3000):
            waits = [
                _readers.fallback_interval(fleet, rng) for _ in range(fleet)
            ]
            reads_per_s = sum(1 / wait for wait in waits)
            self.assertLess(reads_per_s, 1.1 * _readers.FLEET_READS_PER_S)
