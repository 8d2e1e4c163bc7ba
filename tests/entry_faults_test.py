"""Tests of entry._faults: a fault in one message stays in that message."""

import random
import socket

import anyio
import trio
import trio.testing
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast import http1
from pollenmast.counters import (
    CATALOGUE,
    FAULTS_CONTAINED,
    CheckReason,
    Counters,
    FaultPlace,
    Histograms,
)
from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._checks import HealthChecker
from pollenmast.entry._faults import (
    MAX_INPUT_CHARS,
    MAX_TRACE_CHARS,
    LoggingBarrier,
)
from pollenmast.entry._follow import Follower
from pollenmast.entry._gossip import REPORT_INTERVAL_S, Gossip
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._ports import HealthProbe
from pollenmast.entry._reach import ZoneProber
from pollenmast.entry._site import HttpHandler
from pollenmast.events import EventLog
from pollenmast.events._sinks import Sink
from pollenmast.http1 import HttpFault, Request, Response
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._probe import EndpointProbe
from pollenmast.steering import CheckResult, Update
from tests import steering_group as group


class _ListSink(Sink):
    def __init__(self):
        self.lines = []

    def put(self, fields):
        self.lines.append(fields)


class _FailOnce:
    """Raises at the first call and counts the later ones."""

    def __init__(self, result=None):
        self.calls = -1
        self._result = result

    def __call__(self, *_, **__):
        self.calls += 1
        if not self.calls:
            raise RuntimeError("not foreseen")
        return self._result


class _Probe(HealthProbe):
    def __init__(self):
        self.fail_once = _FailOnce(CheckResult.ANSWERED)

    @property
    def timeout_s(self) -> float:
        return 0.05

    async def check(self, endpoint, path, extra_s):
        return self.fail_once()

    async def reaches(self, endpoint, extra_s):
        return self.fail_once() is CheckResult.ANSWERED


class ContainmentTest(TestCase):
    """After a fault the next message is handled."""

    def setUp(self):
        """Creates a VM's core and a barrier that logs to a list."""
        super().setUp()
        self.counters = Counters()
        self.sink = _ListSink()
        self.log = EventLog("t", "vm", sink=self.sink)
        self.faults = LoggingBarrier(self.counters, self.log)
        self.core = group.steering(group.endpoint(1))

    def _run(self, function, within_s: float) -> None:
        async def main() -> None:
            with anyio.move_on_after(within_s):
                await function()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _follower(self, directory=None) -> Follower:
        return Follower(
            directory,
            self.core,
            Histograms(),
            self.log,
            3.0,
            random.Random(1),
            self.faults,
        )

    def _gossip(self) -> Gossip:
        made = Gossip(
            "vm-1",
            group.ZONE,
            ("127.0.0.1", 0),
            (),
            self.core,
            None,
            self.counters,
            random.Random(1),
            faults=self.faults,
        )
        self.addCleanup(made.close)
        return made

    def _packet(self) -> int:
        decode = _FailOnce(Err(PlatformPackets(1).decode(b"").err_value))
        packets = PlatformPackets(1)
        self.patch(packets, "decode", decode)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        for _ in range(3):
            sock.sendto(b"x", sock.getsockname())
        Forwarder(
            sock, packets, self.core, self.counters, self.log, self.faults
        ).forward_queued(1.0)
        return decode.calls

    def _report(self) -> int:
        gossip = self._gossip()
        on_datagram = _FailOnce()
        self.patch(gossip, "on_datagram", on_datagram)
        for _ in range(3):
            gossip._sock.sendto(b"x", gossip._sock.getsockname())

        async def wait_readable(_) -> None:
            await anyio.sleep(0.1)

        self.patch(anyio, "wait_readable", wait_readable)
        self._run(gossip.receive, 1.0)
        return on_datagram.calls

    def _sending(self) -> int:
        gossip = self._gossip()
        send_reports = _FailOnce()
        self.patch(gossip, "send_reports", send_reports)
        self._run(gossip.send, 3.5 * REPORT_INTERVAL_S)
        return send_reports.calls

    def _peer(self) -> int:
        on_update = _FailOnce()

        class _Connection:
            async def get(self, *_):
                return Ok(Response(200, b""))

            async def aclose(self) -> None:
                pass

        self.patch(http1, "Connection", lambda *_: _Connection())
        peers = PeerReader(
            (("10.0.0.9", 1),),
            None,
            self.core,
            self._follower(),
            self.log,
            lambda _: None,
            self.faults,
        )
        self.patch(peers, "on_update", on_update)
        for _ in range(3):
            trio.run(peers._ask, ("10.0.0.9", 1))
        return on_update.calls

    def _directory(self) -> int:
        apply = _FailOnce(self.core.apply(Update((), 11), 1.0))

        class _Directory:
            async def watch(self, after, wait_s):
                await anyio.sleep(0.1)
                return Ok(Update((), 12))

        follower = self._follower(_Directory())
        self.patch(self.core, "apply", apply)
        self._run(lambda: follower.run(known=True), 3.0)
        return apply.calls

    def _request(self) -> int:
        site = HttpHandler(
            "/ready", self.core, self.counters, Histograms(), self.faults
        )
        readiness = _FailOnce()
        self.patch(site, "_readiness", readiness)
        request = Request("GET", "/ready")
        self.assertEqual(500, trio.run(site.answer, request).status)
        trio.run(site.answer, request)
        return readiness.calls

    def _check(self) -> int:
        probe = _Probe()
        record = self.core.catalog.get(group.endpoint(1).name)
        record.health.request_check(0.0, CheckReason.REPORTED)
        checker = HealthChecker(
            probe,
            self.core,
            None,
            PauseDetector(lambda: 0.0),
            self.counters,
            Histograms(),
            self.log,
            self.faults,
        )
        self.patch(checker, "_apply_result", lambda *_: record.health.forget())
        self._run(checker.run, 3.0)
        return probe.fail_once.calls

    def _zone_probe(self) -> int:
        prober = ZoneProber(
            _Probe(),
            self.core.reach,
            PauseDetector(lambda: 0.0),
            self.counters,
            self.log,
            self.faults,
        )
        targets = _FailOnce([])
        self.patch(self.core.reach, "targets", targets)
        self._run(prober.run, 1.0)
        return targets.calls

    @parameterized.expand(
        [
            ("packet", FaultPlace.PACKET),
            ("report", FaultPlace.REPORT),
            ("sending", FaultPlace.SENDING),
            ("peer", FaultPlace.PEER),
            ("directory", FaultPlace.DIRECTORY),
            ("request", FaultPlace.REQUEST),
            ("check", FaultPlace.CHECK),
            ("zone_probe", FaultPlace.CHECK),
        ]
    )
    def test_goes_on(self, name, place):
        """An error that nobody foresaw does not end the VM's process.

        It is counted by its place, and the next message is handled.
        """
        self.assertGreater(getattr(self, f"_{name}")(), 0)
        self.assertEqual(1, self.counters.value(FAULTS_CONTAINED, place))
        (line,) = [
            each
            for each in self.sink.lines
            if each["message_type"] == "fault_contained"
        ]
        self.assertIn("not foreseen", line["error"])
        self.assertIn("RuntimeError", line["trace"])

    def test_log_line(self):
        """A long message and a deep trace do not flood the log."""

        def recurse(depth: int) -> None:
            if not depth:
                raise RuntimeError("x" * 10_000)
            recurse(depth - 1)

        with self.faults.guard(FaultPlace.PEER, b"\xff" * 10_000):
            recurse(200)
        (line,) = self.sink.lines
        self.assertEqual(MAX_INPUT_CHARS, len(line["input"]))
        self.assertEqual(MAX_INPUT_CHARS, len(line["error"]))
        self.assertLessEqual(len(line["trace"]), MAX_TRACE_CHARS)

    def test_every_place_is_counted(self):
        """Each place has a counter, as a missing one would end the process."""
        self.assertIn(FAULTS_CONTAINED, CATALOGUE)
        for place in FaultPlace:
            self.assertTrue(self.faults.contains(place, RuntimeError(), ""))


class HealthPathTest(TestCase):
    """Health paths that a request cannot contain as they are."""

    @parameterized.expand(
        [
            ("umlaut", "/gesund/\u00fc", "/gesund/%C3%BC"),
            ("space", "/a b", "/a%20b"),
            ("line_end", "/a\r\nX: y", "/a%0D%0AX:%20y"),
            ("query", "/health?deep=1&x=%20", "/health?deep=1&x=%20"),
        ]
    )
    def test_encoded(self, _, path, expected):
        """A health path with any character is requested, percent-encoded.

        Unencoded, it raised an error that ended the VM at the first check.
        """
        targets = []

        class _Connection:
            async def connect(self, _):
                return Ok(None)

            async def get(self, target, _):
                targets.append(target)
                return Ok(Response(200, b""))

            async def aclose(self) -> None:
                pass

        self.patch(http1, "Connection", lambda *_: _Connection())
        result = trio.run(EndpointProbe().check, group.endpoint(1), path, 0.0)
        self.assertEqual([expected], targets)
        self.assertIs(CheckResult.ANSWERED, result)

    @parameterized.expand([("umlaut", "/\u00fc"), ("space", "/a b")])
    def test_invalid_target(self, _, target):
        """A target that no request can have is a fault and no exception."""

        class _Stream:
            async def aclose(self) -> None:
                pass

        async def connect(*_):
            return _Stream()

        self.patch(anyio, "connect_tcp", connect)
        connection = http1.Connection("10.0.0.1", 1)
        result = trio.run(connection.get, target, 1.0)
        self.assertEqual(Err(HttpFault.PROTOCOL), result)
