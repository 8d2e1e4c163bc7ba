"""Tests of entry._reach and steering._reach: a drained zone cut off."""

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CHECKS, CheckReason, Counters, Histograms
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._reach import PROBE_INTERVAL_S, ZoneProber
from pollenmast.entry._site import HttpHandler
from pollenmast.events import EventLog
from pollenmast.http1 import Request
from pollenmast.steering import (
    Catalog,
    Reach,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._reach import MAX_FAILED_ROUNDS, PROBE_AFTER_S
from tests import steering_group as group
from tests.entry_checks_test import _Probe

NEAR = group.endpoint(1)
FAR = group.endpoint(2, group.OTHER_ZONE)
THIRD = group.endpoint(3, "pos-laventille")

DETECTION_S = PROBE_AFTER_S + (MAX_FAILED_ROUNDS + 1) * (PROBE_INTERVAL_S + 0.1)
"""Seconds within which a partition must be detected; routers check readiness
twice a second."""


class _ZoneProbe(_Probe):
    """A probe that reaches only the given zones."""

    def __init__(self, *zones: str):
        super().__init__(None)
        self.zones = set(zones)
        self.probed = []

    async def reaches(self, endpoint, extra_s):
        """Returns whether the endpoint's zone can be reached."""
        self.probed.append(endpoint)
        await anyio.sleep(0.05)
        return endpoint.zone in self.zones


class ReachTest(TestCase):
    """When a VM reports that it is not ready."""

    def _run_script(
        self, probe: _ZoneProbe, script, drained: bool = True
    ) -> None:
        core = group.steering(NEAR, FAR, THIRD)
        counters = Counters()
        site = HttpHandler("/ready", core, counters, Histograms())
        self.counters = counters

        async def ready() -> bool:
            request = Request("GET", "/ready")
            return (await site.answer(request)).status == 200

        async def main() -> None:
            if drained:
                self._change(core, ZoneDrained(group.ZONE, 11))
            async with anyio.create_task_group() as tasks:
                prober = ZoneProber(
                    probe,
                    core.reach,
                    PauseDetector(lambda: 0.0),
                    counters,
                    EventLog("t", "vm"),
                )
                tasks.start_soon(prober.run)
                await script(core, ready)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    @staticmethod
    def _change(core, change) -> None:
        core.apply(Update((change,), change.revision), anyio.current_time())

    def test_cut_off(self):
        """A VM that reaches no other zone is not ready.

        Its clients go to other VMs.
        """

        async def script(core, ready):
            await anyio.sleep(DETECTION_S)
            self.assertFalse(await ready())

        self._run_script(_ZoneProbe(group.ZONE), script)

    def test_starts_cut_off(self):
        """A VM that starts in a drained zone that is cut off is never ready.

        If it were ready for a moment, all clients of the zone would return to
        VMs that cannot serve them.
        """

        async def script(core, ready):
            for _ in range(20):
                self.assertFalse(await ready())
                await anyio.sleep(0.05)

        self._run_script(_ZoneProbe(), script)

    def test_drain_known_later(self):
        """The same holds if targets are queried before the drain is known."""
        catalog = Catalog()
        reach = Reach(group.ZONE, catalog)
        self.assertEqual([], reach.targets(0.0))
        update = group.listing(NEAR, FAR)
        drained = ZoneDrained(group.ZONE, 10)
        changes = (*update.changes, drained)
        catalog.apply(Update(changes, 10, complete=True), ("registry",), 0.1)
        catalog.drains.apply(Update((drained,), 10))
        self.assertTrue(reach.cut_off)

    def test_served_by_other_zones(self):
        """A client returns that VMs of other zones have served meanwhile.

        The data that it received says nothing of this VM's paths, so the VM
        does not become ready.
        """

        async def script(core, ready):
            await anyio.sleep(DETECTION_S)
            for _ in range(20):
                now = anyio.current_time()
                core.catalog.get(FAR.name).health.on_progress(now)
                await anyio.sleep(PROBE_INTERVAL_S)
                self.assertFalse(await ready())

        self._run_script(_ZoneProbe(), script)

    def test_starts_connected(self):
        """A VM that starts in a drained zone is ready if it reaches another."""

        async def script(core, ready):
            await anyio.sleep(0.2)
            self.assertTrue(await ready())

        self._run_script(_ZoneProbe(FAR.zone), script)

    def test_partition_ends(self):
        """When the partition ends, the VM is ready after the next probe."""
        probe = _ZoneProbe()

        async def script(core, ready):
            await anyio.sleep(DETECTION_S)
            probe.zones.add(THIRD.zone)
            await anyio.sleep(2 * PROBE_INTERVAL_S)
            self.assertTrue(await ready())

        self._run_script(probe, script)

    def test_one_zone_is_enough(self):
        """A VM that reaches one of two other zones stays ready."""

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertTrue(await ready())

        self._run_script(_ZoneProbe(THIRD.zone), script)

    def test_not_drained(self):
        """A VM of a zone in use stays ready when cut off and never probes."""
        probe = _ZoneProbe()

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertTrue(await ready())
            self.assertEqual([], probe.probed)

        self._run_script(probe, script, drained=False)

    def test_clients_receive_answers(self):
        """No probes are sent while clients receive answers."""
        probe = _ZoneProbe()

        async def script(core, ready):
            await anyio.sleep(PROBE_INTERVAL_S)
            for step in range(50):
                now = anyio.current_time()
                core.catalog.get(FAR.name).health.on_progress(now)
                if not step:
                    self._change(core, ZoneDrained(group.ZONE, 11))
                await anyio.sleep(0.2)
            self.assertTrue(await ready())
            self.assertEqual([], probe.probed)

        self._run_script(probe, script, drained=False)

    @parameterized.expand(
        [
            ("restored", ZoneRestored(group.ZONE, 13)),
            ("nothing_left", ZoneDrained(group.OTHER_ZONE, 13)),
        ]
    )
    def test_drain_changes(self, _, change):
        """A VM that depends on no other zone is ready.

        It serves its clients again, or refuses them at once.
        """

        async def script(core, ready):
            await anyio.sleep(DETECTION_S)
            self.assertFalse(await ready())
            self._change(core, ZoneDrained(THIRD.zone, 12))
            self._change(core, change)
            await anyio.sleep(2 * PROBE_INTERVAL_S)
            self.assertTrue(await ready())

        self._run_script(_ZoneProbe(), script)

    def test_probe_count(self):
        """Each round makes at most one connection per zone."""
        probe = _ZoneProbe()

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertLessEqual(len(probe.probed), 2 * 10.0 / PROBE_INTERVAL_S)
            counted = self.counters.value(CHECKS, CheckReason.REACH)
            self.assertEqual(len(probe.probed), counted)

        self._run_script(probe, script)
