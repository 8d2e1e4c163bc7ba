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
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._report import Kind, Report
from pollenmast.steering import (
    CheckResult,
    Position,
)
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
    """Reports travel whole, and nothing else is taken for one."""

    def test_round_trip(self):
        """What was told is what is heard."""
        heard = reports.decode(reports.encode(REPORT)).ok_value
        self.assertEqual(REPORT, heard)

    def test_bounded(self):
        """A report of a great fleet fits a datagram.

        That of a VM which never heard of the directory does, too.
        """
        many = {n << 30: float(n) for n in range(1, 1000)}
        named = {f"10.10.10.{n}": 100_000 for n in range(99)}
        told = Report(
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
        data = reports.encode(told)
        self.assertLess(len(data), 2 * 1400)
        self.assertIn(999 << 30, reports.decode(data).ok_value.rates)

    @given(st.binary(max_size=200))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, data):
        """No datagram raises anything."""
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
        """Well-formed msgpack of the wrong shape raises nothing."""
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
    """What a VM makes of the others' reports."""

    def setUp(self):
        """Makes the gossip of one VM."""
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

    def _take(self, now: float = 1.0, **fields) -> None:
        report = Report(**{**_values(REPORT), **fields})
        self.gossip.take(reports.encode(report), "127.0.0.2", now)

    def test_dead_endpoint(self):
        """Another VM found an endpoint dead; this one asks for itself.

        Its own clients need not find out one by one.
        """
        self._take()
        due = [r.endpoint.number for r in self.core.due_checks(1.0)]
        self.assertEqual([1], due)

    def test_many_down(self):
        """More endpoints are down than one report names: each gets its turn.

        The VMs of the zone would never learn of those at the list's end, and
        go on sending new flows there.
        """
        known = [group.endpoint(number) for number in range(1, 201)]
        self.core = group.steering(*known)
        for record in self.core.catalog.records:
            self.core.on_check(record, CheckResult.REFUSED, 1.0)
        self.gossip = self._gossip()
        told = set()
        for _ in range(20):
            report = self.gossip._report(Kind.ANSWER, 1.0)
            told.update(reports.decode(report).ok_value.down)
        self.assertEqual(200, len(told))

    def test_load(self):
        """The load that another VM reports counts here."""
        self._take()
        self.assertEqual({1: 2.5}, dict(self.core.load.gathered(1.0)))
        self.assertEqual(2.5, self.core.load.rate(1, 1.0))

    def test_silent_connection(self):
        """The connection to the directory fell silent; a peer knows more.

        The VM would go on with an old configuration until its own timeout;
        it asks that peer at once.
        """
        self._take(1.0, position=Position(1, 99))
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
        """A peer that knows as much vouches for its age, no other does."""
        self._take(5.0, position=position, age_s=0.8)
        self.assertEqual(age_s, round(self.core.age_s(5.0), 3))

    def test_changes_of_another_epoch(self):
        """Changes that follow the same revision of a restored store.

        Taken in, they would pass for all that the VM lacks.
        """
        position = Position(2, 12)
        self._take(1.0, position=position, after=10, changes=b"changes")
        self.assertEqual([], self.peers.bodies)
        self.assertEqual([("127.0.0.2", position)], self.peers.ahead)

    @parameterized.expand([("all_named", 40, True), ("cut_off", 200, False)])
    def test_more_endpoints_than_named(self, _, others, leaves):
        """A fleet has more endpoints than a report names, all but two busy.

        Those left out were taken for idle: in a rush flows left their zone
        for endpoints as full as their own, and broke with the next cut.
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
            self.gossip.take(reports.encode(report), "127.0.0.2", now)
        placed = [
            self.core.on_segment(group.syn(group.flow(n)), 5.0).placed
            for n in range(100)
        ]
        self.assertEqual(leaves, PlacementReason.OTHER_ZONE in placed)

    @parameterized.expand([("stood", 4.0, True), ("ran", 0.1, False)])
    def test_waited_in_socket(self, _, gap_s, discarded):
        """A VM wakes, and a report from before its pause is in its socket.

        It says that its sender's view was young then. Taken in now, this VM
        would believe its own old view confirmed, and refuse clients of a
        route that was added meanwhile.
        """
        times = iter([0.0, *[gap_s] * 1000])
        pauses = PauseWatch(lambda: next(times))
        woken = self._gossip(pauses=pauses)
        pauses.notify(lambda gap_s: woken.discard_waiting())
        heard = []
        woken.take = lambda datagram, host, now: heard.append(datagram)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.sendto(b"report", woken._sock.getsockname())

        async def main() -> None:
            with anyio.move_on_after(0.2):
                await woken.receive()

        anyio.run(main)
        self.assertEqual([] if discarded else [b"report"], heard)

    @parameterized.expand(
        [("empty", b""), ("junk", b"\xc1\xff"), ("int", b"\x01")]
    )
    def test_junk(self, _, data):
        """Junk is counted and changes nothing."""
        self.gossip.take(data, "127.0.0.2", 1.0)
        self.assertEqual(1, self.counters.value(ENVELOPE_FAULTS, "malformed"))
        self.assertEqual({}, dict(self.core.load.gathered(1.0)))


def _values(report: Report) -> dict[str, object]:
    return attrs.asdict(report, recurse=False)
