"""Tests of a fleet whose store comes back from an older copy."""

import anyio

from standins.store import Fault
from tests.fleet_group import APPLY_S, FleetCase, name

OUTAGE_S = 2.0
"""How long the store is away before it is back."""

PER_VM_CALLS_S = 3
"""Calls to the store that one VM may make a second, at the most."""


class RestoredStoreTest(FleetCase):
    """What was written to the restored store is in force everywhere."""

    async def _restore(self, lost: int = 6) -> None:
        """Brings the store back without its latest changes."""
        copy = self.store.copy()
        for version in range(8, 8 + lost):
            self.publish(version)
        await anyio.sleep(1.5)
        self.store.fault = Fault.DOWN
        await anyio.sleep(OUTAGE_S)
        self.store.restore(copy)
        self.store.fault = Fault.NONE
        await anyio.sleep(1.5)

    def _in_force(self, change, holds) -> None:
        """Makes a change, and tells whether it is in force in time."""

        async def script(tasks) -> None:
            await self._restore()
            change()
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(holds))

        self.play(script)

    def test_endpoint_drains(self):
        """An endpoint that leaves after the return goes on getting flows."""

        def holds(core) -> bool:
            return core.catalog.get(name(1)).endpoint.draining

        self._in_force(lambda: self.announce(1, state="draining"), holds)

    def test_configuration(self):
        """VMs that hear only from others go on with an old configuration."""
        self._in_force(
            lambda: self.publish(20), lambda core: core.table.version == 20
        )

    def test_calls(self):
        """Readers ask for everything again and again, as fast as they can."""

        async def script(tasks) -> None:
            await self._restore()
            calls = self.store.calls
            await anyio.sleep(2.0)
            most = 2.0 * PER_VM_CALLS_S * len(self.fleet.vms)
            self.assertLess(self.store.calls - calls, most)

        self.play(script)
