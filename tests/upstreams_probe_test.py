"""Tests of load probes and the platform client: which responses are valid."""

import json

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.configuration import HttpPlatform, PlatformError
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


class _FixedOutcomeTest(TestCase):
    """A test case in which every GET has the same outcome."""

    def set_outcome(self, outcome) -> None:
        """Sets the outcome of every GET."""

        async def get(connection, target, timeout_s):
            return outcome

        self.patch(Connection, "get", get)


class ProbeTest(_FixedOutcomeTest):
    """An endpoint is healthy only with a complete, possible load report."""

    @parameterized.expand(
        [
            ("whole", Ok(Response(200, json.dumps(LOAD).encode())), "answered"),
            ("error", Ok(Response(500, b"")), "failed"),
            ("silent", Err(HttpFault.TIMEOUT), "failed"),
            ("page", Ok(Response(200, b"<html>")), "malformed"),
        ]
    )
    def test_outcome_counted(self, _, outcome, reason):
        """Each probe is counted by its outcome."""
        self.set_outcome(outcome)
        counters = Counters()
        load = trio.run(Probe("127.0.2.1", 6001, counters).load, 0.5)
        self.assertEqual(1, counters.value(PROBES, reason))
        self.assertEqual(reason == "answered", load.is_ok())

    def test_report_parsed(self):
        """All six fields of a report are parsed."""
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
    def test_impossible_report_malformed(self, _, changes):
        """A report with impossible values is malformed."""
        body = json.dumps(LOAD | changes).encode()
        self.assertEqual(Err(ProbeFault.MALFORMED), parse_load(body))

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_malformed(self, body):
        """Random bytes are malformed and raise no exception."""
        self.assertTrue(parse_load(body).is_err())


class PlatformTest(_FixedOutcomeTest):
    """Handling of valid and invalid responses of the platform."""

    def setUp(self):
        """Creates a client of the platform."""
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
                Err(PlatformError.STATUS),
                "failed",
            ),
            (
                "down",
                Err(HttpFault.UNREACHABLE),
                Err(PlatformError.UNREACHABLE),
                "failed",
            ),
        ]
    )
    def test_manifest_read(self, _, outcome, expected, reason):
        """A read gives a manifest, None if none is newer, or a fault.

        Each outcome is counted.
        """
        self.set_outcome(outcome)
        result = trio.run(self.platform.manifest, 3, 0.0)
        self.assertEqual(expected, result)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, reason))

    def test_invalid_vms_left_out(self):
        """The list contains VMs with their ports; invalid VMs are left out.

        Resolving a host name in place of an IP address would block the whole
        agent; nothing can be sent to a port above the highest port number.
        """
        invalid = [
            VM | {"address": "vm-1.example"},
            VM | {"gossip_port": 70000},
        ]
        body = json.dumps({"vms": [*invalid, VM]}).encode()
        self.set_outcome(Ok(Response(200, body)))
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
        """A list that cannot be parsed changes nothing and is counted."""
        self.set_outcome(Ok(Response(200, body)))
        result = trio.run(self.platform.vms)
        self.assertEqual(Err(PlatformError.MALFORMED), result)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))
