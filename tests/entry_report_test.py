"""Tests of entry._report and entry._gossip."""

import random
import socket

import anyio
import attrs
import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import (
    ENVELOPE_FAULTS,
    Counters,
    PlacementReason,
)
from pollenmast.entry import _gossip as gossip
from pollenmast.entry import _report as reports
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._report import Kind, Report
from pollenmast.steering import (
    CheckResult,
    Position,
)
from pollenmast.steering import _load as load
from pollenmast.steering import _members as members
from pollenmast.steering import _outliers as outliers
from tests import steering_group as group

REPORT = Report(
    Kind.ASK,
    "vm-2",
    group.ZONE,
    Position(1, 12),
    0.25,
    1,
    {1: 2.5},
    (1,),
    {"127.0.0.9": 200},
    group.OTHER_ZONE,
    11,
    b"changes",
    10,
)


class ReportTest(TestCase):
    """Reports survive encoding, and other datagrams are rejected."""

    def test_round_trip(self):
        """Decoding returns the report that was encoded."""
        decoded = reports.decode(reports.encode(REPORT)).ok_value
        self.assertEqual(REPORT, decoded)

    def test_size_limit(self):
        """A report of a large fleet fits a datagram.

        So does that of a VM that never had an answer of the directory, whose
        data has no finite age.
        """
        many = {n << 30: float(n) for n in range(1, 1000)}
        named = {f"10.10.10.{n}": 100_000 for n in range(99)}
        report = Report(
            Kind.ANSWER,
            "v",
            "z",
            Position(1, 1),
            9e9,
            99,
            many,
            tuple(many),
            named,
        )
        data = reports.encode(report)
        self.assertLess(len(data), 2 * 1400)
        self.assertIn(999 << 30, reports.decode(data).ok_value.rates)

    @parameterized.expand(
        [
            ("long_name", 2, "v" * 256),
            ("empty_zone", 3, ""),
            ("long_zone_of_members", 11, "z" * 256),
            ("huge_revision", 5, (1 << 64) - 1),
            ("many_rates", 8, dict.fromkeys(range(91), 8)),
            ("many_dead", 9, list(range(91))),
            ("many_members", 10, {f"10.0.0.{n}": 1 for n in range(13)}),
            ("many_failures", 15, dict.fromkeys(range(91), 1)),
        ]
    )
    def test_too_much(self, _, index, value):
        """A report that holds more than any VM sends is rejected.

        Kept for each of many senders, such reports would use up the memory.
        """
        fields = msgpack.unpackb(reports.encode(REPORT), strict_map_key=False)
        self.assertTrue(reports.decode(msgpack.packb(fields)).is_ok())
        fields[index] = value
        self.assertTrue(reports.decode(msgpack.packb(fields)).is_err())

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, data):
        """Decoding arbitrary bytes raises no exception."""
        reports.decode(data)

    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=3) | st.floats(),
            lambda inner: (
                st.lists(inner, max_size=8)
                | st.dictionaries(st.text(max_size=2), inner, max_size=3)
            ),
        )
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_fields(self, value):
        """Decoding well-formed msgpack of a wrong shape raises no exception."""
        try:
            data = msgpack.packb(
                [reports.FORMAT, 1, "vm", "z", 1, 1, 0, 1]
                + [value, value, value, "z", 1, b"", 0, value, value]
            )
        except (OverflowError, ValueError):
            return
        reports.decode(data)


class _Peers:
    def __init__(self):
        self.ahead = []
        self.bodies = []

    def on_peer_ahead(self, host, position):
        self.ahead.append((host, position))

    def on_update(self, body, host):
        self.bodies.append(body)


class GossipTest(TestCase):
    """How a VM handles reports of other VMs."""

    def setUp(self):
        """Creates the gossip of one VM."""
        super().setUp()
        self.core = group.steering(
            group.endpoint(1), group.endpoint(2), epoch=1
        )
        self.peers = _Peers()
        self.counters = Counters()
        self.gossip = self._gossip()

    def _gossip(self, **fields) -> gossip.Gossip:
        made = gossip.Gossip(
            "vm-1",
            group.ZONE,
            ("127.0.0.1", 0),
            (),
            self.core,
            self.peers,
            self.counters,
            random.Random(1),
            10,
            **fields,
        )
        self.addCleanup(made.close)
        return made

    def _receive(self, now: float = 1.0, **fields) -> None:
        report = Report(**{**_values(REPORT), **fields})
        self.gossip.on_datagram(reports.encode(report), "127.0.0.2", now)

    def test_many_senders(self):
        """Reports under ever new names and addresses take limited memory."""
        self.patch(members, "MAX_MEMBERS", 20)
        self.patch(load, "MAX_REPORTERS", 20)
        self.patch(load, "MAX_ZONES", 20)
        self.patch(outliers, "MAX_REPORTERS", 20)
        for number in range(50):
            for kind in (Kind.ASK, Kind.ZONE):
                zone = group.ZONE if kind is Kind.ASK else f"z{number}"
                fields = {"kind": kind, "vm": f"v{number}", "zone": zone}
                report = Report(**{**_values(REPORT), **fields})
                self.gossip.on_datagram(
                    reports.encode(report), f"127.1.0.{number}", 1.0
                )
        self.assertEqual(21, self.core.load.vms(1.0))
        self.assertEqual(20, len(self.gossip._members.hosts))
        # The names of the first ones are free again once they are silent.
        self._receive(now=20.0, kind=Kind.ASK, vm="late", zone=group.ZONE)
        self.assertEqual(2, self.core.load.vms(20.0))

    def test_dead_endpoint(self):
        """A VM checks an endpoint that another VM reported as dead.

        Otherwise each of its own clients would have to find out by itself.
        """
        self._receive()
        due = [r.endpoint.number for r in self.core.due_checks(1.0)]
        self.assertEqual([1], due)

    def test_more_down_than_listed(self):
        """If more endpoints are down than a report holds, all appear in turn.

        Otherwise the VMs of the zone would never learn of those at the end of
        the list and would keep sending new flows there.
        """
        known = [group.endpoint(number) for number in range(1, 201)]
        self.core = group.steering(*known)
        for record in self.core.catalog.records:
            self.core.on_check(record, CheckResult.REFUSED, 1.0)
        self.gossip = self._gossip()
        reported = set()
        for _ in range(20):
            report = self.gossip._report(Kind.ANSWER, 1.0)
            reported.update(reports.decode(report).ok_value.down)
        self.assertEqual(200, len(reported))

    def test_load(self):
        """The load that another VM reports is added to the total."""
        self._receive()
        self.assertEqual({1: 2.5}, dict(self.core.load.sum_of_reports(1.0)))
        self.assertEqual(2.5, self.core.load.rate(1, 1.0))

    def test_silent_connection(self):
        """A VM whose directory connection is silent asks a peer that is ahead.

        Otherwise it would use an outdated configuration until the connection
        times out.
        """
        self._receive(1.0, position=Position(1, 99))
        self.assertEqual([("127.0.0.2", Position(1, 99))], self.peers.ahead)

    @parameterized.expand(
        [
            ("as_far", Position(1, 10), 0.8),
            ("behind", Position(1, 9), 5.0),
            ("ahead", Position(1, 11), 5.0),
            ("before_a_restore", Position(0, 10), 5.0),
            ("after_a_restore", Position(2, 10), 5.0),
        ]
    )
    def test_confirmed(self, _, position, age_s):
        """Only a peer at the same position confirms that data is current."""
        self._receive(5.0, position=position, age_s=0.8)
        self.assertEqual(age_s, round(self.core.age_s(5.0), 3))

    def test_changes_of_another_epoch(self):
        """Changes after the same revision of a restored store are not applied.

        Applied, they would count as everything that the VM lacks.
        """
        position = Position(2, 12)
        self._receive(1.0, position=position, after=10, changes=b"changes")
        self.assertEqual([], self.peers.bodies)
        self.assertEqual([("127.0.0.2", position)], self.peers.ahead)

    @parameterized.expand([("all_named", 40, True), ("cut_off", 200, False)])
    def test_more_endpoints_than_listed(self, _, others, leaves):
        """A fleet has more endpoints than a report lists; all but two are busy.

        Guards against treating unlisted endpoints as idle: under peak load,
        flows left their zone for endpoints as full as their own, and broke in
        the next network partition.
        """
        near = [group.endpoint(n) for n in range(1, 41)]
        far = [
            group.endpoint(n, zone=group.OTHER_ZONE)
            for n in range(41, 41 + others)
        ]
        self.core = group.steering(*near, *far)
        self.gossip = self._gossip()
        rates = {each.number: 12.0 for each in (*near, *far[: others - 2])}
        for now in (1.0, 3.0, 5.0):
            report = attrs.evolve(
                REPORT, kind=Kind.ANSWER, rates=rates, vms=40, down=()
            )
            self.gossip.on_datagram(reports.encode(report), "127.0.0.2", now)
        placed = [
            self.core.on_segment(group.syn(group.flow(n)), 5.0).placed
            for n in range(100)
        ]
        self.assertEqual(leaves, PlacementReason.OTHER_ZONE in placed)

    @parameterized.expand([("suspended", 4.0, True), ("running", 0.1, False)])
    def test_queued_during_pause(self, _, gap_s, discarded):
        """A VM resumes with a report from before the pause in its socket.

        The report states that its sender's data was recent then. Applied now,
        it would confirm this VM's outdated data, and the VM would refuse
        clients of a route that was added meanwhile.
        """
        times = iter([0.0, *[gap_s] * 1000])
        pauses = PauseDetector(lambda: next(times))
        woken = self._gossip(pauses=pauses)
        pauses.notify(lambda gap_s: woken.discard_queued())
        received = []
        woken.on_datagram = lambda datagram, host, now: received.append(
            datagram
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.sendto(b"report", woken._sock.getsockname())

        async def main() -> None:
            with anyio.move_on_after(0.2):
                await woken.receive()

        anyio.run(main)
        self.assertEqual([] if discarded else [b"report"], received)

    @parameterized.expand(
        [("empty", b""), ("junk", b"\xc1\xff"), ("int", b"\x01")]
    )
    def test_malformed(self, _, data):
        """Malformed datagrams are counted and change nothing."""
        self.gossip.on_datagram(data, "127.0.0.2", 1.0)
        self.assertEqual(1, self.counters.value(ENVELOPE_FAULTS, "malformed"))
        self.assertEqual({}, dict(self.core.load.sum_of_reports(1.0)))


def _values(report: Report) -> dict[str, object]:
    return attrs.asdict(report, recurse=False)
