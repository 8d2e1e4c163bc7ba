"""Tests of platform._store against answers in memory, and of entry._follow."""

import json

import anyio
from parameterized import parameterized
from result import Err

from pollenmast.counters import PLATFORM_CALLS
from pollenmast.entry._follow import STALE_PART, WATCH_S
from pollenmast.http1 import Response
from pollenmast.platform import _listing
from pollenmast.platform._store import WATCH_MARGIN_S
from pollenmast.steering import (
    DirectoryFault,
    EndpointAnnounced,
    EndpointRemoved,
    Position,
    Presence,
)
from standins import http
from standins.store import PAGE_ITEMS, Fault
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY, NAME
from tests.store_group import APPLY_S, KEY, StoreCase


class ReadTest(StoreCase):
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

    def test_pages_of_two_epochs(self):
        """The store is restored while a long list is read.

        The pages together are nothing that the store has ever held.
        """
        for number in range(PAGE_ITEMS + 5):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        copy, answer = self.store.copy(), self.store.handle

        async def handle(request):
            told = await answer(request)
            self.store.restore(copy)
            return told

        self.patch(self.store, "handle", handle)
        self.assertEqual(Err(DirectoryFault.RESTORED), self._read())

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
        self.store.put("op/configuration", b"x")
        update = self._read().ok_value
        self.assertEqual(2, len(update.changes))
        self.assertEqual((), update.refused)

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


class WatchTest(StoreCase):
    """What is told of changes."""

    def _watch(self, after: int):
        position = Position(self.store.epoch, after)
        return self.run_main(lambda: self.directory.watch(position, WATCH_S))

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

    @parameterized.expand(
        [
            ("restored", 1, 5, DirectoryFault.RESTORED),
            ("earlier_epoch", 4, 5, DirectoryFault.STALE),
            ("revision_went_back", 2, 99, DirectoryFault.STALE),
        ]
    )
    def test_out_of_order(self, _, epoch, revision, expected):
        """Events of another copy are taken for what follows the known ones."""
        self._answer({"events": [], "asOf": 12}, {"store-era": "2"})
        position = Position(epoch, revision)
        watch = self.directory.watch
        told = self.run_main(lambda: watch(position, WATCH_S))
        self.assertEqual(Err(expected), told)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, expected))

    @parameterized.expand([("absent", {}), ("same", {"store-era": "3"})])
    def test_epoch(self, _, headers):
        """An answer that names no epoch is taken for the known one's."""
        self._answer({"events": [], "asOf": 12}, headers)
        watch = self.directory.watch
        told = self.run_main(lambda: watch(Position(3, 11), WATCH_S))
        self.assertEqual(Position(3, 12), told.ok_value.position)

    @parameterized.expand(
        [("words", "new"), ("negative", "-1"), ("long", "1" * 400)]
    )
    def test_odd_epoch(self, _, era):
        """An answer whose epoch cannot be read is refused, and counted."""
        self._answer({"events": [], "asOf": 12}, {"store-era": era})
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._watch(11))
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))

    def _answer(self, body, headers) -> None:
        async def handle(request):
            return http.Response(200, json.dumps(body).encode(), headers)

        self.patch(self.store, "handle", handle)


class FollowerTest(StoreCase):
    """A VM's beliefs follow the store through its troubles."""

    def test_change(self):
        """A new configuration is in force at once."""

        async def script(core, follower):
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(0.1)
            self.assertEqual(9, core.table.version)

        self.follow(script)

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

        self.follow(script)

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

        self.follow(script)

    def test_overtaken(self):
        """A peer tells of a restore while an old answer is under way.

        Taken in, or for a sign that nothing is newer, the late answer would
        put the VM back behind the restore.
        """

        async def script(core, follower):
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            told = group.listing(epoch=9, revision=3)
            core.apply(told, anyio.current_time())
            await anyio.sleep(1.0)
            self.assertEqual(Position(9, 3), core.position)
            self.assertEqual(7, core.table.version)
            self.assertGreaterEqual(core.age_s(anyio.current_time()), 1.0)
            self.assertIsNotNone(follower.lost_at)

        self.follow(script)

    def test_history_always_gone(self):
        """Each watch is refused although everything has just been read.

        Asked again at once, a store in trouble gets sixty calls a second.
        """

        async def gone(request):
            return http.Response(410)

        async def script(core, follower):
            self.patch(self.store, "_watch", gone)
            await anyio.sleep(2.0)
            calls = self.store.calls
            await anyio.sleep(10.0)
            self.assertLess(self.store.calls - calls, 40)

        self.follow(script)

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

        self.follow(script)

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

        self.follow(script, join=lambda: news.append(1))

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

        self.follow(script, join=lambda: None, known=known)

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

        self.follow(script)

    def test_told_by_peers(self):
        """Peers say that nothing is newer: the store is not asked."""

        async def script(core, follower):
            calls = self.store.calls
            for _ in range(40):
                core.on_confirmed(anyio.current_time())
                await anyio.sleep(0.5)
            self.assertEqual(calls, self.store.calls)

        self.follow(script, join=lambda: None)
