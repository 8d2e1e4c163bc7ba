"""Tests of a fleet whose store is restored from an older copy."""

import anyio
from parameterized import parameterized

from standins.store import Fault
from tests.fleet_group import APPLY_S, FleetCase, name, name_key

OUTAGE_S = 2.0
"""Duration of the store's outage before the restore, in seconds."""

SETTLE_S = 1.5
"""Time after the restore until VMs have read the restored store, in seconds."""

MAX_CALLS_PER_VM_S = 3
"""Maximum number of calls to the store per VM and second."""

LOST_VERSIONS = 6
"""Number of configuration versions that the copy lacks."""

ZONE = "pos-woodbrook"


def _drain_endpoint(case) -> None:
    case.announce(1, state="draining")


def _remove_endpoint(case) -> None:
    case.store.delete(name_key(1))


def _add_endpoint(case) -> None:
    case.announce(3)


def _publish_configuration(case) -> None:
    case.publish(20)


def _drain_zone(case) -> None:
    case.store.put(f"op/evacuate/{ZONE}", {})


def _is_draining(core) -> bool:
    return core.catalog.get(name(1)).endpoint.draining


def _is_removed(core) -> bool:
    return core.catalog.get(name(1)).announced is None


def _is_known(core) -> bool:
    return core.catalog.get(name(3)) is not None


def _is_published(core) -> bool:
    return core.table.version == 20


def _is_zone_drained(core) -> bool:
    return core.catalog.drains.is_drained(ZONE)


CHANGES = [
    ("endpoint_drains", _drain_endpoint, _is_draining),
    ("endpoint_leaves", _remove_endpoint, _is_removed),
    ("endpoint_comes", _add_endpoint, _is_known),
    ("configuration", _publish_configuration, _is_published),
    ("zone_drained", _drain_zone, _is_zone_drained),
]


class RestoredStoreTest(FleetCase):
    """What is written to the restored store comes into force on every VM."""

    async def _restore(self, on_restored=None) -> None:
        """Restores the store without its latest changes, after an outage.

        Args:
            on_restored: Writes to the restored store before a VM can reach it.
        """
        copy = self.store.copy()
        for version in range(8, 8 + LOST_VERSIONS):
            self.publish(version)
        await anyio.sleep(1.5)
        self.store.fault = Fault.DOWN
        await anyio.sleep(OUTAGE_S)
        self.store.restore(copy)
        if on_restored is not None:
            on_restored()
        self.store.fault = Fault.NONE
        await anyio.sleep(SETTLE_S)

    def _assert_applied(self, change, is_applied) -> None:
        """Asserts that a change after a restore is applied in time."""

        async def scenario(tasks) -> None:
            await self._restore()
            change()
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(is_applied))

        self.play(scenario)

    def test_endpoint_drains(self):
        """Guards against new flows to an endpoint that drains afterwards."""
        self._assert_applied(lambda: _drain_endpoint(self), _is_draining)

    def test_configuration(self):
        """Guards against an old configuration on VMs that only hear peers."""
        self._assert_applied(
            lambda: _publish_configuration(self), _is_published
        )

    def test_call_rate(self):
        """Guards against readers that repeat full reads without a delay."""

        async def scenario(tasks) -> None:
            await self._restore()
            calls = self.store.calls
            await anyio.sleep(2.0)
            most = 2.0 * MAX_CALLS_PER_VM_S * len(self.fleet.vms)
            self.assertLess(self.store.calls - calls, most)

        self.play(scenario)

    @parameterized.expand(CHANGES)
    def test_change_below_known_revision(self, _, change, is_applied):
        """A change's revision is below the one that VMs had reached.

        VMs that compared the two would ignore the change.
        """
        self._assert_applied(lambda: change(self), is_applied)

    @parameterized.expand(CHANGES)
    def test_revisions_reused(self, _, change, is_applied):
        """The store has passed the old revision before a VM asks again.

        A watch from the old revision then succeeds, but misses the changes
        that were written below that revision.
        """

        async def scenario(tasks) -> None:
            def write() -> None:
                change(self)
                for number in range(2 * LOST_VERSIONS):
                    self.announce(10 + number)

            await self._restore(write)
            await anyio.sleep(APPLY_S - SETTLE_S)
            self.assertEqual([], self.fleet.lacking(is_applied))

        self.play(scenario)

    @parameterized.expand(CHANGES)
    def test_restored_twice(self, _, change, is_applied):
        """The store is restored again within a second."""

        async def scenario(tasks) -> None:
            copy = self.store.copy()
            await self._restore()
            self.announce(9)
            await anyio.sleep(0.2)
            self.store.restore(copy)
            change(self)
            self.announce(8)
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(is_applied))

        self.play(scenario)

    @parameterized.expand(CHANGES)
    def test_cut_off(self, _, change, is_applied):
        """VMs that the store does not answer learn of the change from peers."""
        self.fleet.cut_off.update({"10.1.0.4", "10.2.0.1"})
        self._assert_applied(lambda: change(self), is_applied)

    def test_vm_starts_after_restore(self):
        """A VM starts after the restore and cannot reach the store.

        Guards against a VM that mistakes state from before the restore for
        current state.
        """

        async def scenario(tasks) -> None:
            await self._restore()
            vm = self.fleet.add(self, "10.1.0.9", "pos-frederick")
            self.fleet.cut_off.add(vm.host)
            tasks.start_soon(vm.run)
            await anyio.sleep(1.0)
            _drain_endpoint(self)
            await anyio.sleep(APPLY_S)
            self.assertEqual([], self.fleet.lacking(_is_draining))

        self.play(scenario)

    def test_positions_converge(self):
        """All VMs reach the same position in the restored store's epoch.

        Guards against VMs that confirm each other's state from before the
        restore.
        """

        async def scenario(tasks) -> None:
            await self._restore()
            positions = {vm.core.position for vm in self.fleet.vms.values()}
            self.assertEqual({2}, {each.epoch for each in positions})
            self.assertEqual(1, len(positions))

        self.play(scenario)
