"""Tests of upstreams._probe and platform: what counts as an answer."""

import json

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.configuration import HttpPlatform, PlatformFault
from pollenmast.counters import PLATFORM_CALLS, PROBES, Counters
from pollenmast.http1 import Connection, HttpFault, Response
from pollenmast.upstreams._probe import Load, Probe, ProbeFault, parse_load

LOAD = {
    "accepting": True,
    "running": 1,
    "queued": 0,
    "connections": 900,
    "finished": 40,
    "uptime_s": 12.5,
}
VM = {
    "name": "vm-1",
    "zone": "hall-bor",
    "address": "127.0.1.1",
    "relay_port": 7001,
    "gossip_port": 7003,
    "fetch_port": 7004,
    "state": "live",
}


class _Answered(TestCase):
    """A case in which each GET has the same outcome."""

    def answer(self, outcome) -> None:
        """Sets the outcome."""

        async def get(connection, target, timeout_s):
            return outcome

        self.patch(Connection, "get", get)


class ProbeTest(_Answered):
    """An endpoint is healthy only by a whole and possible report."""

    @parameterized.expand(
        [
            ("whole", Ok(Response(200, json.dumps(LOAD).encode())), "answered"),
            ("error", Ok(Response(500, b"")), "failed"),
            ("silent", Err(HttpFault.TIMEOUT), "failed"),
            ("page", Ok(Response(200, b"<html>")), "malformed"),
        ]
    )
    def test_counted(self, _, outcome, reason):
        """Each probe is counted by what came of it."""
        self.answer(outcome)
        counters = Counters()
        load = trio.run(Probe("127.0.2.1", 6001, counters).load, 0.5)
        self.assertEqual(1, counters.value(PROBES, reason))
        self.assertEqual(reason == "answered", load.is_ok())

    def test_parsed(self):
        """The six fields are read."""
        load = parse_load(json.dumps(LOAD).encode()).unwrap()
        self.assertEqual(Load(True, 1, 0, 900, 40, 12.5), load)

    @parameterized.expand(
        [
            ("negative", {"running": -1}),
            ("huge", {"connections": 1 << 50}),
            ("not_a_number", {"uptime_s": float("nan")}),
            ("missing", {"queued": None}),
            ("text", {"running": "many"}),
        ]
    )
    def test_impossible(self, _, changes):
        """A report that cannot be true is no report."""
        body = json.dumps(LOAD | changes).encode()
        self.assertEqual(Err(ProbeFault.MALFORMED), parse_load(body))

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, body):
        """Bytes of no meaning are no report, and nothing is raised."""
        self.assertTrue(parse_load(body).is_err())


class PlatformTest(_Answered):
    """The platform's answers, and what is made of a bad one."""

    def setUp(self):
        """Makes a reader."""
        super().setUp()
        self.counters = Counters()
        self.platform = HttpPlatform("127.0.3.1", 80, self.counters)

    @parameterized.expand(
        [
            ("text", Ok(Response(200, b"{}")), Ok(b"{}"), "answered"),
            ("nothing", Ok(Response(204, b"")), Ok(None), "answered"),
            (
                "over_budget",
                Ok(Response(429, b"")),
                Err(PlatformFault.STATUS),
                "failed",
            ),
            (
                "down",
                Err(HttpFault.UNREACHABLE),
                Err(PlatformFault.UNREACHABLE),
                "failed",
            ),
        ]
    )
    def test_manifest(self, _, outcome, expected, reason):
        """A read gives a text, nothing new, or a fault; all are counted."""
        self.answer(outcome)
        answer = trio.run(self.platform.manifest, 3, 0.0)
        self.assertEqual(expected, answer)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, reason))

    def test_list(self):
        """The list gives VMs with their ports; impossible ones are left out.

        A name in place of an IP number would be looked up with the whole
        agent waiting; a port above the greatest cannot be sent to.
        """
        wrong = [VM | {"address": "vm-1.example"}, VM | {"gossip_port": 70000}]
        body = json.dumps({"vms": [*wrong, VM]}).encode()
        self.answer(Ok(Response(200, body)))
        (vm,) = trio.run(self.platform.vms).unwrap()
        self.assertEqual(("vm-1", 7003), (vm.name, vm.gossip_port))

    @parameterized.expand(
        [
            ("no_json", b"\xff"),
            ("other", b"[1, 2]"),
            ("half", b'{"vms": [{"name": "vm-1"}]}'),
        ]
    )
    def test_malformed_list(self, _, body):
        """A list that cannot be read changes nothing and is counted."""
        self.answer(Ok(Response(200, body)))
        answer = trio.run(self.platform.vms)
        self.assertEqual(Err(PlatformFault.MALFORMED), answer)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))
