"""Tests of platform._store against answers in memory, and of entry._follow."""

import json
import math
import random
import urllib.parse

import anyio
import trio
import trio.testing
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast import http1
from pollenmast.counters import PLATFORM_CALLS, Counters, Histograms
from pollenmast.entry._follow import STALE_PART, WATCH_S, Follower
from pollenmast.events import EventLog
from pollenmast.http1 import HttpFault, Patience, Response
from pollenmast.platform import _listing
from pollenmast.platform._store import WATCH_MARGIN_S, StoreDirectory
from pollenmast.steering import (
    DirectoryFault,
    EndpointAnnounced,
    EndpointRemoved,
    Presence,
)
from standins.http import Request
from standins.store import PAGE_ITEMS, Fault, Store
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY, NAME

KEY = f"servers/{NAME}"
APPLY_S = 3.0


class _Link:
    """A VM's link to the store, which all its connections share.

    Attributes:
        bytes_per_s: Its width, infinite for a link that takes no time.
        carried: Bytes that have passed.
    """

    def __init__(self):
        self.bytes_per_s = math.inf
        self.carried = 0
        self._free_at = 0.0

    async def carry(self, length: int) -> None:
        """Waits until so many bytes have passed."""
        self.carried += length
        begin = max(anyio.current_time(), self._free_at)
        self._free_at = begin + length / self.bytes_per_s
        await anyio.sleep(self._free_at - anyio.current_time())


class _Connection:
    """Asks a stand-in without a network."""

    def __init__(self, store: Store, link: _Link):
        self._store = store
        self._link = link
        self.sent_bytes = 0

    async def get(self, target: str, patience: Patience, most=None):
        path, _, query = target.partition("?")
        pairs = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        with anyio.move_on_after(patience.first_s):
            request = Request("GET", path, pairs, b"")
            answer = await self._store.handle(request)
            if answer.status is None:
                return Err(HttpFault.UNREACHABLE)
            if most is not None and len(answer.body) > most:
                return Err(HttpFault.OVERSIZED)
            return await self._rest(answer, patience.total_s)
        return Err(HttpFault.TIMEOUT)

    async def _rest(self, answer, total_s: float):
        with anyio.CancelScope(shield=True), anyio.move_on_after(total_s):
            await self._link.carry(len(answer.body))
            return Ok(Response(answer.status, answer.body))
        return Err(HttpFault.INCOMPLETE)

    async def aclose(self) -> None:
        pass


class _StoreCase(TestCase):
    def setUp(self):
        super().setUp()
        self.store = Store()
        self.store.put("op/config", CONFIGURATION)
        self.store.put(KEY, ENTRY)
        self.link = _Link()
        self.patch(
            http1, "Connection", lambda *_: _Connection(self.store, self.link)
        )
        self.counters = Counters()
        self.directory = StoreDirectory("10.0.0.1", 1, self.counters)

    def run_main(self, main) -> object:
        """Runs with a clock that jumps over every wait."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)


class ReadTest(_StoreCase):
    """What is read, whole and page by page."""

    def _read(self):
        return self.run_main(self.directory.read)

    def test_everything(self):
        """Configuration and endpoints come with one call."""
        update = self._read().ok_value
        self.assertTrue(update.whole)
        self.assertEqual(self.store.revision, update.revision)
        self.assertEqual(2, len(update.changes))
        self.assertEqual(1, self.store.calls)

    def test_pages(self):
        """A long list comes in pages, up to the first one's revision."""
        for number in range(PAGE_ITEMS + 5):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        update = self._read().ok_value
        self.assertEqual(PAGE_ITEMS + 7, len(update.changes))

    def test_too_many_pages(self):
        """A list longer than any is refused whole.

        Cut off and taken for everything, it would remove the endpoints that
        stand behind its end, and their flows would be reset.
        """
        self.patch(_listing, "MOST_PAGES", 2)
        for number in range(3 * PAGE_ITEMS):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._read())

    @parameterized.expand(
        [
            ("bytes", b"\xff\x00"),
            ("fields", {"service": 1}),
            ("state", {**ENTRY, "state": "odd"}),
        ]
    )
    def test_junk_entry(self, _, value):
        """Another writer's entry is told of; the others hold."""
        self.store.put("servers/i-00000bad", value)
        update = self._read().ok_value
        announced = [
            c for c in update.changes if isinstance(c, EndpointAnnounced)
        ]
        self.assertEqual([NAME], [c.endpoint.name for c in announced])
        self.assertEqual(1, len(update.refused))

    def test_other_keys(self):
        """Keys that are not ours say nothing."""
        self.store.put("else/where", b"x")
        self.assertEqual(2, len(self._read().ok_value.changes))

    @parameterized.expand(
        [
            ("down", Fault.DOWN, DirectoryFault.UNREACHABLE),
            ("busy", Fault.BUSY, DirectoryFault.BUSY),
            ("silent", Fault.SILENT, DirectoryFault.UNREACHABLE),
        ]
    )
    def test_fault(self, _, fault, expected):
        """A store that does not answer is a fault, in bounded time."""
        self.store.fault = fault
        self.assertEqual(Err(expected), self._read())

    @parameterized.expand(
        [
            ("no_json", b"<html>"),
            ("a_list", b"[]"),
            ("no_items", b'{"asOf": 1}'),
            ("odd_items", b'{"items": {}, "asOf": 1}'),
            ("no_revision", b'{"items": []}'),
            ("no_next", b'{"items": [], "asOf": 1, "morePages": true}'),
            ("deep", b"[" * 100_000),
        ]
    )
    def test_malformed_answer(self, _, body):
        """An answer that is none is refused whole, and counted."""

        async def handle(request):
            return Response(200, body)

        self.patch(self.store, "handle", handle)
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._read())
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))


class WatchTest(_StoreCase):
    """What is told of changes."""

    def _watch(self, after: int):
        return self.run_main(lambda: self.directory.watch(after, WATCH_S))

    def test_removed(self):
        """A removal names the endpoint."""
        before = self.store.revision
        self.store.delete(KEY)
        update = self._watch(before).ok_value
        self.assertEqual((EndpointRemoved(NAME, before + 1),), update.changes)

    def test_overwritten(self):
        """An entry that became unreadable no longer names its endpoint."""
        before = self.store.revision
        self.store.put(KEY, b"junk")
        update = self._watch(before).ok_value
        self.assertEqual((EndpointRemoved(NAME, before + 1),), update.changes)

    def test_history_gone(self):
        """A dropped history is told apart: everything has to be read."""
        before = self.store.revision
        self.store.delete(KEY)
        self.store.compact()
        self.assertEqual(Err(DirectoryFault.HISTORY_GONE), self._watch(before))


class FollowerTest(_StoreCase):
    """A VM's beliefs follow the store through its troubles."""

    def _follow(self, script, join=None, known=False):
        core = group.steering()
        follower = Follower(
            self.directory,
            core,
            Histograms(),
            EventLog("t", "vm"),
            APPLY_S,
            random.Random(1),
        )
        if join is not None:
            follower.join(lambda: False, join)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run, known)
                await anyio.sleep(0.5)
                await script(core, follower)
                tasks.cancel_scope.cancel()

        self.run_main(main)

    def test_change(self):
        """A new configuration is in force at once."""

        async def script(core, follower):
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(0.1)
            self.assertEqual(9, core.table.version)

        self._follow(script)

    def test_silent_connection(self):
        """The watch's connection falls silent for good; new ones work.

        Operators would see one VM follow an old configuration.
        """

        async def script(core, follower):
            self.store.fault = Fault.SILENT
            await anyio.sleep(WATCH_S)
            self.store.fault = Fault.NONE
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(WATCH_S + WATCH_MARGIN_S)
            self.assertEqual(9, core.table.version)

        self._follow(script)

    def test_history_dropped(self):
        """A change is made and the history dropped while the store is away."""

        async def script(core, follower):
            self.store.fault = Fault.DOWN
            await anyio.sleep(1.0)
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            self.store.delete(KEY)
            self.store.compact()
            self.store.fault = Fault.NONE
            await anyio.sleep(1.5)
            self.assertEqual(9, core.table.version)
            self.assertIs(Presence.LAPSED, core.catalog.get(NAME).presence)

        self._follow(script)

    def test_outage(self):
        """While the store is down, nothing known is forgotten."""

        async def script(core, follower):
            self.store.fault = Fault.DOWN
            await anyio.sleep(30.0)
            self.assertIsNotNone(follower.lost_at)
            self.assertIs(Presence.LISTED, core.catalog.get(NAME).presence)
            calls = self.store.calls
            await anyio.sleep(10.0)
            self.assertLess(self.store.calls - calls, 20)

        self._follow(script)

    def test_no_reader(self):
        """This VM leaves the watching to others, and hears nothing of them.

        It asks for itself in time for a change to be in force when it must.
        """
        news = []

        async def script(core, follower):
            calls = self.store.calls
            await anyio.sleep(APPLY_S * STALE_PART - 1.0)
            self.assertEqual(calls, self.store.calls)
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(APPLY_S)
            self.assertEqual(9, core.table.version)
            self.assertTrue(news)

        self._follow(script, join=lambda: news.append(1))

    @parameterized.expand([("known", True, 0), ("unknown", False, 1)])
    def test_start(self, _, known, calls):
        """A VM that read everything in its first stage does not ask again.

        When a hundred VMs start at once, each would cost a second call. A VM
        that knows nothing asks at once.
        """

        async def script(core, follower):
            self.assertEqual(calls, self.store.calls)
            self.assertIsNone(follower.lost_at)
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            core.on_confirmed(-APPLY_S)
            await anyio.sleep(APPLY_S)
            self.assertEqual(9, core.table.version)

        self._follow(script, join=lambda: None, known=known)

    def test_release(self):
        """A service is released: a dozen entries change each second.

        Readers that called for each would use up the store's rate, and turn
        away VMs that start meanwhile.
        """

        async def script(core, follower):
            calls = self.store.calls
            for number in range(60):
                changed = {**ENTRY, "seqNo": number}
                self.store.put(f"servers/i-{number:08x}", changed)
                await anyio.sleep(1.0 / 12)
            self.assertLessEqual(self.store.calls - calls, 4 * 5)
            await anyio.sleep(1.0)
            self.assertEqual(61, len(core.catalog.records))

        self._follow(script)

    def test_told_by_peers(self):
        """Peers say that nothing is newer: the store is not asked."""

        async def script(core, follower):
            calls = self.store.calls
            for _ in range(40):
                core.on_confirmed(anyio.current_time())
                await anyio.sleep(0.5)
            self.assertEqual(calls, self.store.calls)

        self._follow(script, join=lambda: None)


class StormTest(_StoreCase):
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
        core = group.steering()
        follower = Follower(
            self.directory,
            core,
            Histograms(),
            EventLog("t", "vm"),
            5.0,
            random.Random(1),
        )
        late = []

        async def write() -> None:
            for version in range(100, 100 + changes):
                self.store.put("op/config", {**entry, "version": version})
                tasks.start_soon(judge, version)
                await anyio.sleep(gap_s)

        async def judge(version: int) -> None:
            await anyio.sleep(5.0)
            if core.table.version < version:
                late.append(version)

        async def main() -> None:
            nonlocal tasks
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                await anyio.sleep(1.0)
                await write()
                await anyio.sleep(6.0)
                tasks.cancel_scope.cancel()

        tasks = None
        self.run_main(main)
        self.assertEqual([], late)
        self.assertIsNone(follower.lost_at)

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

        FollowerTest._follow(self, script)

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

        FollowerTest._follow(self, script)

    def test_long_news_of_endpoints(self):
        """Thousands of entries change at once: everything is read anew."""

        async def script(core, follower):
            for number in range(1500):
                self.store.put(f"servers/i-{number:08x}", ENTRY)
            await anyio.sleep(3.0)
            self.assertEqual(1501, len(core.catalog.records))

        FollowerTest._follow(self, script)
