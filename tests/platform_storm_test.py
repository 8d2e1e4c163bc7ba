"""Tests of platform._store and entry._follow: changes faster than a link."""

import json

import anyio
from parameterized import parameterized

from tests.platform_entries_test import CONFIGURATION, ENTRY
from tests.store_group import StoreCase

APPLY_DEADLINE_S = 5.0
"""Seconds within which each version has to be in force."""


class StormTest(StoreCase):
    """Configurations are published faster than a link can transfer them."""

    def _routes(self, count: int) -> list[dict[str, object]]:
        route = CONFIGURATION["routeTable"][1]
        return [
            {**route, "name": f"r-{n}", "prefix": f"/{1000 + n}/"}
            for n in range(count)
        ]

    @parameterized.expand(
        [
            ("small_link", 240, 0.06, 3.1),
            ("many_routes", 1640, 0.06, 5.0),
            ("many_routes_slowly", 1640, 1.2, 5.0),
            ("all_at_once", 1640, 0.001, 10.0),
        ]
    )
    def test_in_force(self, _, routes, gap_s, mbps):
        """Each version, or a later one, is in force within the deadline.

        Otherwise VMs would apply no change until the storm is over, when the
        store has dropped the history of its changes.
        """
        entry = {**CONFIGURATION, "routeTable": self._routes(routes)}
        changes = min(64, int(4.0 / gap_s))
        self.link.bytes_per_s = mbps * 1e6 / 8
        late_versions = []

        async def script(core, follower):
            async def check_version(version: int) -> None:
                await anyio.sleep(APPLY_DEADLINE_S)
                if core.table.version < version:
                    late_versions.append(version)

            async with anyio.create_task_group() as tasks:
                for version in range(100, 100 + changes):
                    self.store.put("op/config", {**entry, "version": version})
                    tasks.start_soon(check_version, version)
                    await anyio.sleep(gap_s)
            self.assertIsNone(follower.unavailable_since)

        self.follow(script)
        self.assertEqual([], late_versions)

    def test_transferred_bytes(self):
        """The bytes that a VM reads do not grow with the number of versions."""

        async def script(core, follower):
            entry = {**CONFIGURATION, "routeTable": self._routes(400)}
            length = len(json.dumps(entry)) * 4 / 3
            await anyio.sleep(1.0)
            carried = self.link.carried
            for version in range(10, 210):
                self.store.put("op/config", {**entry, "version": version})
            await anyio.sleep(5.0)
            self.assertEqual(209, core.table.version)
            self.assertLess(self.link.carried - carried, 5 * length)

        self.follow(script)

    def test_drains_during_storm(self):
        """Drains that begin or end during a storm take effect as well."""

        async def script(core, follower):
            self.store.put("op/evacuate/a", {})
            await anyio.sleep(1.5)
            self.assertTrue(core.catalog.drains.is_drained("a"))
            self.store.delete("op/evacuate/a")
            self.store.put("op/evacuate/b", {})
            entry = {**CONFIGURATION, "routeTable": self._routes(1000)}
            for version in range(10, 40):
                self.store.put("op/config", {**entry, "version": version})
            await anyio.sleep(2.0)
            self.assertEqual({"b"}, set(core.catalog.drains.zones))
            changes = core.journal.since(core.revision - 31)
            self.assertIn("a", [c.zone for c in changes if hasattr(c, "zone")])

        self.follow(script)

    def test_many_endpoint_changes(self):
        """After thousands of changes at once, the whole list is read again."""

        async def script(core, follower):
            for number in range(1, 1501):
                self.store.put(f"servers/i-{number:08x}", ENTRY)
            await anyio.sleep(3.0)
            self.assertEqual(1501, len(core.catalog.records))

        self.follow(script)
