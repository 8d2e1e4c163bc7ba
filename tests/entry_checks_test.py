"""Tests of entry._checks: from a suspicion to the reset of flows."""

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CHECKS, CheckReason, Counters, Histograms
from pollenmast.entry._checks import LAG_FACTOR, HealthChecker
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import EventLog
from pollenmast.steering import CheckResult
from pollenmast.steering._health import FAILURE_THRESHOLD
from tests import steering_group as group

CHECK_S = 0.05
"""Duration in seconds of a probe in these tests."""

FOURTH_SEND_S = 1.4
"""Seconds until a client sends data for the fourth time: after 0.2, 0.4 and
0.8 s."""


class _Probe(HealthProbe):
    """A probe that returns a fixed result."""

    def __init__(self, result, on_check=lambda: None, took_s=CHECK_S):
        self._result = result
        self._on_check = on_check
        self._took_s = took_s
        self.checks = 0
        self.extra_s = []

    @property
    def timeout_s(self):
        return CHECK_S

    async def check(self, endpoint, path, extra_s):
        self.checks += 1
        self.extra_s.append(extra_s)
        self._on_check()
        await anyio.sleep(self._took_s)
        return self._result

    async def reaches(self, endpoint, extra_s):
        result = await self.check(endpoint, "", extra_s)
        return result is not CheckResult.TIMEOUT


class _Packets:
    """Records the resets to be sent."""

    def __init__(self):
        self.resets = []

    def send_resets(self, resets, now):
        self.resets += resets


def _checker(probe, core, packets, pauses=None, counters=None) -> HealthChecker:
    return HealthChecker(
        probe,
        core,
        packets,
        pauses or PauseDetector(lambda: 0.0),
        counters or Counters(),
        Histograms(),
        EventLog("t", "vm"),
    )


def _three_endpoints(now: float):
    """Returns three endpoints of two zones and a core with a flow on each."""
    known = [
        group.endpoint(1),
        group.endpoint(2),
        group.endpoint(3, zone=group.OTHER_ZONE),
    ]
    core = group.steering(*known, now=now)
    for number in (1, 2, 3):
        core.on_segment(group.segment(group.flow(number), number), now)
    return known, core


class CheckerTest(TestCase):
    """Suspect endpoints are checked, and the flows of dead ones are reset."""

    def _run(self, probe, within_s: float, pauses=None):
        packets = _Packets()

        async def main() -> None:
            now = anyio.current_time()
            core = group.steering(group.endpoint(1), now=now)
            key = group.flow()
            core.on_segment(group.syn(key), now)
            core.on_segment(group.segment(key, 1), now)
            core.catalog.get(group.endpoint(1).name).health.request_check(
                now, CheckReason.REPORTED
            )
            checker = _checker(probe, core, packets, pauses)
            with anyio.move_on_after(within_s):
                await checker.run()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)
        return packets.resets

    def test_unresponsive_endpoint(self):
        """The idle client of an unresponsive endpoint is reset within 0.2 s.

        Each further tenth of a second is lost for the client's next attempt.
        """
        resets = self._run(_Probe(CheckResult.TIMEOUT), 0.2)
        self.assertEqual([group.flow()], [reset.flow for reset in resets])

    @parameterized.expand(
        [
            ("alive", CheckResult.ANSWERED),
            ("busy", CheckResult.UNHEALTHY),
        ]
    )
    def test_living_endpoint(self, _, result):
        """An endpoint that answers is checked once and keeps its flows."""
        probe = _Probe(result)
        self.assertEqual([], self._run(probe, 1.0))
        self.assertEqual(1, probe.checks)

    def test_own_pause(self):
        """A timeout is ignored if this VM was suspended during the check.

        Its own timer expired, and the endpoint may be healthy: resetting the
        flows would disconnect all its clients.
        """
        times = iter(range(0, 10_000, 5))
        pauses = PauseDetector(lambda: float(next(times)))
        probe = _Probe(CheckResult.TIMEOUT, pauses.check)
        self.assertEqual([], self._run(probe, 1.0, pauses))
        self.assertGreater(probe.checks, FAILURE_THRESHOLD)

    def test_late_timer(self):
        """A timeout is ignored if this VM's timers fire late.

        The endpoint's answer may be queued in the VM's own socket. Resetting
        the flows would disconnect all clients of a healthy endpoint, and
        reporting it would make all other VMs check it.
        """
        probe = _Probe(CheckResult.TIMEOUT, took_s=3 * CHECK_S)
        self.assertEqual([], self._run(probe, 1.0))
        self.assertGreater(probe.checks, FAILURE_THRESHOLD)

    def test_slow_vm(self):
        """A VM with a slow processor extends the timeouts of its checks."""
        pauses = PauseDetector(lambda: 0.0)
        pauses._lag_s = 0.1
        probe = _Probe(CheckResult.ANSWERED)
        self._run(probe, 1.0, pauses)
        self.assertEqual([LAG_FACTOR * 0.1], probe.extra_s)


class OwnFaultTest(TestCase):
    """A VM whose own link is saturated or cut reaches no endpoint."""

    def _reset_flows(self, dead: set[int]) -> list[int]:
        """Returns the numbers of the flows that were reset.

        Args:
            dead: Numbers of the endpoints that do not answer.
        """
        packets = _Packets()

        class Probe(_Probe):
            async def check(self, endpoint, path, extra_s):
                await super().check(endpoint, path, extra_s)
                if endpoint.number in dead:
                    return CheckResult.TIMEOUT
                return CheckResult.ANSWERED

        async def main() -> None:
            now = anyio.current_time()
            known, core = _three_endpoints(now)
            core.catalog.get(known[0].name).health.request_check(
                now, CheckReason.REPORTED
            )
            checker = _checker(Probe(None), core, packets)
            with anyio.move_on_after(2.0):
                await checker.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [reset.flow.client_port - 1024 for reset in packets.resets]

    @parameterized.expand(
        [
            ("endpoint_died", {1}, [1]),
            ("zone_cut", {1, 2}, [1]),
            ("own_link", {1, 2, 3}, []),
        ]
    )
    def test_timeouts(self, _, dead, expected):
        """Timeouts that this VM's own link may cause reset no flows.

        The link may be saturated by configuration transfers, so that no check
        gets through. If that counted as dead endpoints, all flows through this
        VM would be reset although their endpoints serve, and clients would
        lose their sessions.
        """
        self.assertEqual(expected, self._reset_flows(dead))


class ReasonTest(TestCase):
    """Checks are counted by reason."""

    def test_dead_endpoint(self):
        """Checks of a dead endpoint and its control probes count separately."""
        counters = Counters()

        class Probe(_Probe):
            async def check(self, endpoint, path, extra_s):
                await super().check(endpoint, path, extra_s)
                if endpoint.number == 1:
                    return CheckResult.TIMEOUT
                return CheckResult.ANSWERED

        async def main() -> None:
            now = anyio.current_time()
            known, core = _three_endpoints(now)
            record = core.catalog.get(known[0].name)
            record.health.request_check(now, CheckReason.TOLD)
            checker = _checker(Probe(None), core, _Packets(), None, counters)
            with anyio.move_on_after(0.4):
                await checker.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        counted = {
            reason: counters.value(CHECKS, reason)
            for reason in CheckReason
            if counters.value(CHECKS, reason)
        }
        expected = {
            CheckReason.TOLD: 1,
            CheckReason.UNANSWERED: FAILURE_THRESHOLD - 1,
            CheckReason.CONTROL: 2 * (FAILURE_THRESHOLD - 1),
        }
        self.assertEqual(expected, counted)


class FullLinkTest(TestCase):
    """A VM's link is saturated for some tenths of a second at a time."""

    def _reset_flows(self, period_s: float) -> list[int]:
        """Returns the numbers of the flows that were reset within a minute.

        Args:
            period_s: Seconds of each saturated and of each free period.
        """
        packets = _Packets()

        class Probe(_Probe):
            async def check(self, endpoint, path, extra_s):
                saturated = anyio.current_time() % (2 * period_s) < period_s
                await super().check(endpoint, path, extra_s)
                return (
                    CheckResult.TIMEOUT if saturated else CheckResult.ANSWERED
                )

        async def main() -> None:
            now = anyio.current_time()
            known, core = _three_endpoints(now)
            checker = _checker(Probe(None), core, packets)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(checker.run)
                for _ in range(60):
                    for each in known:
                        record = core.catalog.get(each.name)
                        now = anyio.current_time()
                        record.health.request_check(now, CheckReason.REPORTED)
                    await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [reset.flow.client_port - 1024 for reset in packets.resets]

    @parameterized.expand([(f"{ms}_ms", ms) for ms in range(60, 700, 40)])
    def test_saturated_periods(self, _, period_ms):
        """Flows are not reset while a VM's link is saturated at times.

        A reader that sends a large configuration to its zone saturates its own
        link. Its checks fail in a row; a moment later another endpoint answers.
        If that counted as proof that the link was free, the VM would reset the
        flows of endpoints that serve, and clients would lose working sessions.
        """
        self.assertEqual([], self._reset_flows(period_ms / 1000.0))


class ManyDeadTest(TestCase):
    """Many endpoints die at once, as when a machine room loses power."""

    DEAD, ALIVE = 47, 12

    def _reset_times(self, is_reader: bool) -> dict[int, float]:
        """Returns when each flow was reset, by flow number."""
        reset_times = {}

        class Packets:
            def send_resets(self, resets, now):
                for reset in resets:
                    reset_times.setdefault(reset.flow.client_port - 1024, now)

        class Probe(_Probe):
            async def check(self, endpoint, path, extra_s):
                await super().check(endpoint, path, extra_s)
                if endpoint.number <= ManyDeadTest.DEAD:
                    return CheckResult.TIMEOUT
                return CheckResult.ANSWERED

        async def main() -> None:
            zones = {True: group.ZONE, False: group.OTHER_ZONE}
            numbers = range(1, self.DEAD + self.ALIVE + 1)
            known = [
                group.endpoint(n, zone=zones[n <= self.DEAD]) for n in numbers
            ]
            now = anyio.current_time()
            core = group.steering(*known, now=now)
            core.check_policy.set_is_reader(lambda: is_reader)
            for number in numbers:
                request = group.segment(group.flow(number), number, length=10)
                core.on_segment(request, now)
            checker = _checker(Probe(None), core, Packets())
            with anyio.move_on_after(2.0):
                await checker.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return reset_times

    @parameterized.expand([("reader", True), ("other_vm", False)])
    def test_flows_reset_in_time(self, _, is_reader):
        """Clients of endpoints that lost power together are reset in time.

        Clients of a live feed wait on these endpoints. Each is reset before it
        sends its request for the fourth time; no client of a live endpoint is
        reset.
        """
        reset_times = self._reset_times(is_reader)
        self.assertEqual(set(range(1, self.DEAD + 1)), set(reset_times))
        self.assertLess(max(reset_times.values()), FOURTH_SEND_S)


class ScanTest(TestCase):
    """The checker scans for due checks only when one may be due."""

    def _scans(self, busy: bool) -> int:
        """Returns the number of scans in ten seconds."""
        scans = []

        async def main() -> None:
            core = group.steering(group.endpoint(1))
            inner = core.due_checks
            core.due_checks = lambda now: (scans.append(now), inner(now))[1]
            checker = _checker(_Probe(CheckResult.ANSWERED), core, _Packets())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(checker.run)
                for number in range(10):
                    await anyio.sleep(1.0)
                    now = anyio.current_time()
                    if busy:
                        core.on_segment(group.syn(group.flow(number)), now)
                        opened = group.segment(group.flow(number), 1)
                        core.on_segment(opened, now)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return len(scans)

    def test_idle(self):
        """A VM without clients hardly wakes up.

        At a fixed rate, 75 idle VMs would wake up 30 times a second each, and
        all of their users would pay for it.
        """
        self.assertLess(self._scans(False), 5)

    def test_opened_flows(self):
        """Each flow that is opened causes at most two scans."""
        self.assertLessEqual(self._scans(True), 21)
