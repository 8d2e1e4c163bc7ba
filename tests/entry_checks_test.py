"""Tests of entry._checks: from a doubt to the end of an endpoint's flows."""

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CHECKS, CheckReason, Counters, Histograms
from pollenmast.entry._checks import LAG_FACTOR, Checker
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import EventLog
from pollenmast.steering import CheckResult
from pollenmast.steering._health import FAILED_CHECKS
from tests import steering_group as group

CHECK_S = 0.05
"""How long the probe of these tests takes."""

FOURTH_TRY_S = 1.4
"""When a client sends data for the fourth time: after 0.2, 0.4 and 0.8 s."""


class _Probe(HealthProbe):
    """Answers as told."""

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
    """Keeps the resets that it is told to send."""

    def __init__(self):
        self.ended = []

    def send_resets(self, resets, now):
        self.ended += resets


def _checker(probe, core, packets, pauses=None, counters=None) -> Checker:
    return Checker(
        probe,
        core,
        packets,
        pauses or PauseWatch(lambda: 0.0),
        counters or Counters(),
        Histograms(),
        EventLog("t", "vm"),
    )


def _three_endpoints(now: float):
    """Returns endpoints of two zones, with a flow on each, and a core."""
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
    """Doubted endpoints are asked, and the flows of dead ones ended."""

    def _run(self, probe, within_s: float, pauses=None):
        packets = _Packets()

        async def main() -> None:
            now = anyio.current_time()
            core = group.steering(group.endpoint(1), now=now)
            key = group.flow()
            core.on_segment(group.syn(key), now)
            core.on_segment(group.segment(key, 1), now)
            core.catalog.get(group.endpoint(1).name).health.ask(
                now, CheckReason.REPORTED
            )
            checker = _checker(probe, core, packets, pauses)
            with anyio.move_on_after(within_s):
                await checker.run()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)
        return packets.ended

    def test_dark_endpoint(self):
        """An endpoint went dark; its idle client is told within 0.2 s.

        Each further tenth of a second is missing to the client's next try.
        """
        ended = self._run(_Probe(CheckResult.TIMEOUT), 0.2)
        self.assertEqual([group.flow()], [reset.flow for reset in ended])

    @parameterized.expand(
        [
            ("alive", CheckResult.ANSWERED),
            ("busy", CheckResult.UNHEALTHY),
        ]
    )
    def test_living_endpoint(self, _, result):
        """An endpoint that answers is asked once, and keeps its flows."""
        probe = _Probe(result)
        self.assertEqual([], self._run(probe, 1.0))
        self.assertEqual(1, probe.checks)

    def test_own_pause(self):
        """This VM stood still while it checked.

        Its own clock ran out, not the endpoint; ending the flows would cut
        every client of a healthy endpoint.
        """
        times = iter(range(0, 10_000, 5))
        pauses = PauseWatch(lambda: float(next(times)))
        probe = _Probe(CheckResult.TIMEOUT, pauses.check)
        self.assertEqual([], self._run(probe, 1.0, pauses))
        self.assertGreater(probe.checks, FAILED_CHECKS)

    def test_late_timer(self):
        """This VM is held up; its timers fire late.

        The endpoint's answer waits in its own socket. Ending the flows would
        cut every client of a healthy endpoint, and reported to others it
        makes them all ask.
        """
        probe = _Probe(CheckResult.TIMEOUT, took_s=3 * CHECK_S)
        self.assertEqual([], self._run(probe, 1.0))
        self.assertGreater(probe.checks, FAILED_CHECKS)

    def test_slow_vm(self):
        """The VM's processor is slow: its checks have more time."""
        pauses = PauseWatch(lambda: 0.0)
        pauses._lag_s = 0.1
        probe = _Probe(CheckResult.ANSWERED)
        self._run(probe, 1.0, pauses)
        self.assertEqual([LAG_FACTOR * 0.1], probe.extra_s)


class OwnFaultTest(TestCase):
    """A VM whose own link is full or cut reaches nobody."""

    def _ended(self, dead: set[int]) -> list[int]:
        """Returns whose flows were ended, where some do not answer."""
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
            core.catalog.get(known[0].name).health.ask(
                now, CheckReason.REPORTED
            )
            checker = _checker(Probe(None), core, packets)
            with anyio.move_on_after(2.0):
                await checker.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [reset.flow.client_port - 1024 for reset in packets.ended]

    @parameterized.expand(
        [
            ("endpoint_died", {1}, [1]),
            ("zone_cut", {1, 2}, [1]),
            ("own_link", {1, 2, 3}, []),
        ]
    )
    def test_timeouts(self, _, dead, ended):
        """A VM's link is full of configurations; no check gets through.

        Taken for dead endpoints, every flow that passes by would be reset
        though its endpoint serves, and clients would lose their sessions.
        """
        self.assertEqual(ended, self._ended(dead))


class ReasonTest(TestCase):
    """Each check is counted by its reason."""

    def test_dead_endpoint(self):
        """An endpoint died; its checks are told from their controls."""
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
            record.health.ask(now, CheckReason.TOLD)
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
            CheckReason.UNANSWERED: FAILED_CHECKS - 1,
            CheckReason.CONTROL: 2 * (FAILED_CHECKS - 1),
        }
        self.assertEqual(expected, counted)


class FullLinkTest(TestCase):
    """A VM's link is full by turns, some tenths of a second each."""

    def _ended(self, spell_s: float) -> list[int]:
        """Returns whose flows were ended in a minute of such spells."""
        packets = _Packets()

        class Probe(_Probe):
            async def check(self, endpoint, path, extra_s):
                full = anyio.current_time() % (2 * spell_s) < spell_s
                await super().check(endpoint, path, extra_s)
                return CheckResult.TIMEOUT if full else CheckResult.ANSWERED

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
                        record.health.ask(now, CheckReason.REPORTED)
                    await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [reset.flow.client_port - 1024 for reset in packets.ended]

    @parameterized.expand([(f"{ms}_ms", ms) for ms in range(60, 700, 40)])
    def test_spells(self, _, spell_ms):
        """A reader hands a great configuration on to its zone.

        Its checks fail in a row while the link is full; the moment after,
        another endpoint answers. Taken for a proof that the link is free, it
        would end the flows of endpoints that serve, and clients would lose
        sessions that work.
        """
        self.assertEqual([], self._ended(spell_ms / 1000.0))


class ManyDeadTest(TestCase):
    """Many endpoints die at the same moment, as when a machine room fails."""

    DEAD, ALIVE = 47, 12

    def _told(self, reads: bool) -> dict[int, float]:
        """Returns when each flow was ended, by its number."""
        told = {}

        class Packets:
            def send_resets(self, resets, now):
                for reset in resets:
                    told.setdefault(reset.flow.client_port - 1024, now)

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
            core.doubts.join(lambda: reads)
            for number in numbers:
                asked = group.segment(group.flow(number), number, length=10)
                core.on_segment(asked, now)
            checker = _checker(Probe(None), core, Packets())
            with anyio.move_on_after(2.0):
                await checker.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return told

    @parameterized.expand([("reader", True), ("other_vm", False)])
    def test_flows_told(self, _, reads):
        """Clients of a live feed wait on endpoints that lost power together.

        Each is told before it sends its request for the fourth time, and no
        client of an endpoint that lives is.
        """
        told = self._told(reads)
        self.assertEqual(set(range(1, self.DEAD + 1)), set(told))
        self.assertLess(max(told.values()), FOURTH_TRY_S)


class WakeTest(TestCase):
    """The checker looks when a look is due and sleeps otherwise."""

    def _looks(self, busy: bool) -> int:
        """Returns how often it looked in ten seconds."""
        looks = []

        async def main() -> None:
            core = group.steering(group.endpoint(1))
            inner = core.due_checks
            core.due_checks = lambda now: (looks.append(now), inner(now))[1]
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
        return len(looks)

    def test_idle(self):
        """No client is there: the VM's processor is left alone.

        With a fixed pace, 75 quiet VMs wake 30 times a second each, and all
        of their users pay for it.
        """
        self.assertLess(self._looks(False), 5)

    def test_opened_flows(self):
        """Flows that open at once cost two looks each at most."""
        self.assertLessEqual(self._looks(True), 21)
