"""Tests of a fleet whose store is restored from an older copy."""

import anyio
from parameterized import parameterized

from standins.store import Fault
from tests.fleet_group import APPLY_S, FleetCase, name, name_key

OUTAGE_S = 2.0
"""Duration of the store's outage before the restore, in seconds."""

SETTLE_S = 1.5
"""Time after the restore until VMs have read the restored store, in seconds."""

PER_VM_CALLS_S = 3
"""Maximum number of calls to the store per VM and second."""

LOST = 6
"""Number of configuration versions that the copy lacks."""

ZONE = "pos-woodbrook"


def _drains(case) -> None:
    case.announce(1, state="draining")


def _leaves(case) -> None:
    case.store.delete(name_key(1))


def _comes(case) -> None:
    case.announce(3)


def _publishes(case) -> None:
    case.publish(20)


def _drains_zone(case) -> None:
    case.store.put(f"op/evacuate/{ZONE}", {})


def _is_draining(core) -> bool:
    return core.catalog.get(name(1)).endpoint.draining


def _is_missing(core) -> bool:
    return core.catalog.get(name(1)).announced is None


def _is_known(core) -> bool:
    return core.catalog.get(name(3)) is not None


def _is_published(core) -> bool:
    return core.table.version == 20


def _is_zone_drained(core) -> bool:
    return core.catalog.drains.is_drained(ZONE)


CHANGES = [
    ("endpoint_drains", _drains, _is_draining),
    ("endpoint_leaves", _leaves, _is_missing),
    ("endpoint_comes", _comes, _is_known),
    ("configuration", _publishes, _is_published),
    ("zone_drained", _drains_zone, _is_zone_drained),
]


class RestoredStoreTest(FleetCase):
    """What is written to the restored store comes into force on every VM."""

    async def _restore(self, meanwhile=None) -> None:
        """Restores the store without its latest changes, after an outage.

        Args:
            meanwhile: Writes to the restored store before a VM can reach it.
        """
        copy = self.store.copy()
        for version in range(8, 8 + LOST):
            self.publish(version)
        await anyio.sleep(1.5)
        self.store.fault = Fault.DOWN
        await anyio.sleep(OUTAGE_S)
        self.store.restore(copy)
        if meanwhile is not None:
            meanwhile()
        self.store.fault = Fault.NONE
        await anyio.sleep(SETTLE_S)

    def _in_force(self, change, holds) -> None:
        """Asserts that a change after a restore is applied in time."""

        async def script(tasks) -> None:
            await self._restore()
            change()
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(holds))

        self.play(script)

    def test_endpoint_drains(self):
        """Guards against new flows to an endpoint that drains afterwards."""
        self._in_force(lambda: _drains(self), _is_draining)

    def test_configuration(self):
        """Guards against an old configuration on VMs that only hear peers."""
        self._in_force(lambda: _publishes(self), _is_published)

    def test_calls(self):
        """Guards against readers that repeat full reads without a delay."""

        async def script(tasks) -> None:
            await self._restore()
            calls = self.store.calls
            await anyio.sleep(2.0)
            most = 2.0 * PER_VM_CALLS_S * len(self.fleet.vms)
            self.assertLess(self.store.calls - calls, most)

        self.play(script)

    @parameterized.expand(CHANGES)
    def test_change(self, _, change, holds):
        """A change's revision is below the one that VMs had reached.

        VMs that compared the two would ignore the change.
        """
        self._in_force(lambda: change(self), holds)

    @parameterized.expand(CHANGES)
    def test_numbers_given_out_again(self, _, change, holds):
        """The store has passed the old revision before a VM asks again.

        A watch from the old revision then succeeds, but misses the changes
        that were written below that revision.
        """

        async def script(tasks) -> None:
            def write() -> None:
                change(self)
                for number in range(2 * LOST):
                    self.announce(10 + number)

            await self._restore(write)
            await anyio.sleep(APPLY_S - SETTLE_S)
            self.assertEqual([], self.fleet.lacking(holds))

        self.play(script)

    @parameterized.expand(CHANGES)
    def test_restored_twice(self, _, change, holds):
        """The store is restored again within a second."""

        async def script(tasks) -> None:
            copy = self.store.copy()
            await self._restore()
            self.announce(9)
            await anyio.sleep(0.2)
            self.store.restore(copy)
            change(self)
            self.announce(8)
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(holds))

        self.play(script)

    @parameterized.expand(CHANGES)
    def test_cut_off(self, _, change, holds):
        """VMs that the store does not answer learn of the change from peers."""
        self.fleet.cut_off.update({"10.1.0.4", "10.2.0.1"})
        self._in_force(lambda: change(self), holds)

    def test_joins(self):
        """A VM starts after the restore and cannot reach the store.

        Guards against a VM that mistakes state from before the restore for
        current state.
        """

        async def script(tasks) -> None:
            await self._restore()
            vm = self.fleet.add(self, "10.1.0.9", "pos-frederick")
            self.fleet.cut_off.add(vm.host)
            tasks.start_soon(vm.run)
            await anyio.sleep(1.0)
            _drains(self)
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(_is_draining))

        self.play(script)

    def test_confirmed(self):
        """All VMs reach the same position in the restored store's epoch.

        Guards against VMs that confirm each other's state from before the
        restore.
        """

        async def script(tasks) -> None:
            await self._restore()
            positions = {vm.core.position for vm in self.fleet.vms.values()}
            self.assertEqual({2}, {each.epoch for each in positions})
            self.assertEqual(1, len(positions))

        self.play(script)
