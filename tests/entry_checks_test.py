"""Tests of entry._checks: from a doubt to the end of an endpoint's flows."""

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters, Histograms
from pollenmast.entry._checks import Checker
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import EventLog
from pollenmast.steering import CheckResult
from pollenmast.steering._health import FAILED_CHECKS
from tests import steering_group as group

CHECK_S = 0.05
"""How long the probe of these tests takes."""


class _Probe(HealthProbe):
    """Answers as told."""

    def __init__(self, result: CheckResult, on_check=lambda: None):
        self._result = result
        self._on_check = on_check
        self.checks = 0

    async def check(self, endpoint, path):
        self.checks += 1
        self._on_check()
        await anyio.sleep(CHECK_S)
        return self._result


class _Packets:
    """Keeps the resets that it is told to send."""

    def __init__(self):
        self.ended = []

    def end(self, resets, now):
        self.ended += resets


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
            core.catalog.get(group.endpoint(1).name).health.ask(now)
            checker = Checker(
                probe,
                core,
                packets,
                pauses or PauseWatch(lambda: 0.0),
                Counters(),
                Histograms(),
                EventLog("t", "vm"),
            )
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
        probe = _Probe(CheckResult.TIMEOUT, pauses.look)
        self.assertEqual([], self._run(probe, 1.0, pauses))
        self.assertGreater(probe.checks, FAILED_CHECKS)


class WakeTest(TestCase):
    """The checker looks when a look is due and sleeps otherwise."""

    def _looks(self, busy: bool) -> int:
        """Returns how often it looked in ten seconds."""
        looks = []

        async def main() -> None:
            core = group.steering(group.endpoint(1))
            inner = core.due_checks
            core.due_checks = lambda now: (looks.append(now), inner(now))[1]
            checker = Checker(
                _Probe(CheckResult.ANSWERED),
                core,
                _Packets(),
                PauseWatch(lambda: 0.0),
                Counters(),
                Histograms(),
                EventLog("t", "vm"),
            )
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
