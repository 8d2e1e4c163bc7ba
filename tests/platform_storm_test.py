"""Tests of platform._store and entry._follow: news faster than a link."""

import json

import anyio
from parameterized import parameterized

from tests.platform_entries_test import CONFIGURATION, ENTRY
from tests.store_group import StoreCase

IN_FORCE_S = 5.0
"""Within which each version has to be in force."""


class StormTest(StoreCase):
    """Configurations come faster than a narrow link carries them."""

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
        """Each version is in force in time, however many are written.

        Operators would see a fleet that follows no change until the storm is
        over, and the store has forgotten it.
        """
        entry = {**CONFIGURATION, "routeTable": self._routes(routes)}
        changes = min(64, int(4.0 / gap_s))
        self.link.bytes_per_s = mbps * 1e6 / 8
        late = []

        async def script(core, follower):
            async def judge(version: int) -> None:
                await anyio.sleep(IN_FORCE_S)
                if core.table.version < version:
                    late.append(version)

            async with anyio.create_task_group() as tasks:
                for version in range(100, 100 + changes):
                    self.store.put("op/config", {**entry, "version": version})
                    tasks.start_soon(judge, version)
                    await anyio.sleep(gap_s)
            self.assertIsNone(follower.lost_at)

        self.follow(script)
        self.assertEqual([], late)

    def test_bytes(self):
        """What a reader transfers does not grow with the number of versions."""

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

    def test_zones_meanwhile(self):
        """Drains that began or ended during a storm are in force as well."""

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
            told = core.journal.since(core.revision - 31)
            self.assertIn("a", [c.zone for c in told if hasattr(c, "zone")])

        self.follow(script)

    def test_long_news_of_endpoints(self):
        """Thousands of entries change at once: everything is read anew."""

        async def script(core, follower):
            for number in range(1500):
                self.store.put(f"servers/i-{number:08x}", ENTRY)
            await anyio.sleep(3.0)
            self.assertEqual(1501, len(core.catalog.records))

        self.follow(script)
