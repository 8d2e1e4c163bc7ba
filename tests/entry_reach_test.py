"""Tests of entry._reach and steering._reach: a drained zone that is cut off."""

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CHECKS, CheckReason, Counters, Histograms
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._reach import PROBE_INTERVAL_S, ReachWatch
from pollenmast.entry._site import Site
from pollenmast.events import EventLog
from pollenmast.http1 import Request
from pollenmast.steering import (
    Catalog,
    Reach,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._reach import FAILED_PROBES, QUIET_S
from tests import steering_group as group
from tests.entry_checks_test import _Probe

NEAR = group.endpoint(1)
FAR = group.endpoint(2, group.OTHER_ZONE)
THIRD = group.endpoint(3, "pos-laventille")

NOTICED_S = QUIET_S + (FAILED_PROBES + 1) * (PROBE_INTERVAL_S + 0.1)
"""Within which a cut must be noticed; routers ask twice a second."""


class _Probing(_Probe):
    """Reaches the zones that it is told to."""

    def __init__(self, *zones: str):
        super().__init__(None)
        self.zones = set(zones)
        self.asked = []

    async def reaches(self, endpoint, extra_s):
        """Whether the endpoint's zone can be reached."""
        self.asked.append(endpoint)
        await anyio.sleep(0.05)
        return endpoint.zone in self.zones


class ReachTest(TestCase):
    """When a VM says that it is not ready."""

    def _play(self, probe: _Probing, script, drained: bool = True) -> None:
        core = group.steering(NEAR, FAR, THIRD)
        counters = Counters()
        site = Site("/ready", core, counters, Histograms())
        self.counters = counters

        async def ready() -> bool:
            request = Request("GET", "/ready")
            return (await site.answer(request)).status == 200

        async def main() -> None:
            if drained:
                self._change(core, ZoneDrained(group.ZONE, 11))
            async with anyio.create_task_group() as tasks:
                watch = ReachWatch(
                    probe,
                    core.reach,
                    PauseWatch(lambda: 0.0),
                    counters,
                    EventLog("t", "vm"),
                )
                tasks.start_soon(watch.run)
                await script(core, ready)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    @staticmethod
    def _change(core, change) -> None:
        core.apply(Update((change,), change.revision), anyio.current_time())

    def test_cut_off(self):
        """No other zone is reached: other VMs get the clients."""

        async def script(core, ready):
            await anyio.sleep(NOTICED_S)
            self.assertFalse(await ready())

        self._play(_Probing(group.ZONE), script)

    def test_starts(self):
        """A VM starts in a zone that is drained and cut off.

        Ready for a moment, it would draw all clients of the zone back to VMs
        that cannot serve them.
        """

        async def script(core, ready):
            for _ in range(20):
                self.assertFalse(await ready())
                await anyio.sleep(0.05)

        self._play(_Probing(), script)

    def test_learns_of_drain_last(self):
        """The same VM looks before it knows that its zone is drained."""
        catalog = Catalog()
        reach = Reach(group.ZONE, catalog)
        self.assertEqual([], reach.targets(0.0))
        update = group.listing(NEAR, FAR)
        drained = ZoneDrained(group.ZONE, 10)
        changes = (*update.changes, drained)
        catalog.apply(Update(changes, 10, whole=True), 0.1)
        catalog.drains.apply(Update((drained,), 10))
        self.assertTrue(reach.cut_off)

    def test_carried_by_others(self):
        """A client comes back that other zones' VMs have carried meanwhile.

        That it received something says nothing of this VM's paths.
        """

        async def script(core, ready):
            await anyio.sleep(NOTICED_S)
            for _ in range(20):
                now = anyio.current_time()
                core.catalog.get(FAR.name).health.on_advance(now)
                await anyio.sleep(PROBE_INTERVAL_S)
                self.assertFalse(await ready())

        self._play(_Probing(), script)

    def test_starts_connected(self):
        """A VM that starts in a drained zone is ready once it reaches one."""

        async def script(core, ready):
            await anyio.sleep(0.2)
            self.assertTrue(await ready())

        self._play(_Probing(FAR.zone), script)

    def test_returns(self):
        """The cut ends: the VM is ready at the next look."""
        probe = _Probing()

        async def script(core, ready):
            await anyio.sleep(NOTICED_S)
            probe.zones.add(THIRD.zone)
            await anyio.sleep(2 * PROBE_INTERVAL_S)
            self.assertTrue(await ready())

        self._play(probe, script)

    def test_one_zone_is_enough(self):
        """Of two other zones one is lost: the VM carries on."""

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertTrue(await ready())

        self._play(_Probing(THIRD.zone), script)

    def test_not_drained(self):
        """A zone in use serves its clients through a cut, and asks nobody."""
        probe = _Probing()

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertTrue(await ready())
            self.assertEqual([], probe.asked)

        self._play(probe, script, drained=False)

    def test_clients_go_on(self):
        """While clients receive answers no connection is made."""
        probe = _Probing()

        async def script(core, ready):
            await anyio.sleep(PROBE_INTERVAL_S)
            for step in range(50):
                now = anyio.current_time()
                core.catalog.get(FAR.name).health.on_advance(now)
                if not step:
                    self._change(core, ZoneDrained(group.ZONE, 11))
                await anyio.sleep(0.2)
            self.assertTrue(await ready())
            self.assertEqual([], probe.asked)

        self._play(probe, script, drained=False)

    @parameterized.expand(
        [
            ("restored", ZoneRestored(group.ZONE, 13)),
            ("nothing_left", ZoneDrained(group.OTHER_ZONE, 13)),
        ]
    )
    def test_drain_changes(self, _, change):
        """A VM that depends on no path is ready: it serves, or refuses."""

        async def script(core, ready):
            await anyio.sleep(NOTICED_S)
            self.assertFalse(await ready())
            self._change(core, ZoneDrained(THIRD.zone, 12))
            self._change(core, change)
            await anyio.sleep(2 * PROBE_INTERVAL_S)
            self.assertTrue(await ready())

        self._play(_Probing(), script)

    def test_cost(self):
        """Connections are few: one a zone at each look."""
        probe = _Probing()

        async def script(core, ready):
            await anyio.sleep(10.0)
            self.assertLessEqual(len(probe.asked), 2 * 10.0 / PROBE_INTERVAL_S)
            asked = self.counters.value(CHECKS, CheckReason.REACH)
            self.assertEqual(len(probe.asked), asked)

        self._play(probe, script)
