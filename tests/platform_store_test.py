"""Tests of platform._store and entry._follow with an in-memory store."""

import json

import anyio
from parameterized import parameterized
from result import Err

from pollenmast.counters import PLATFORM_CALLS
from pollenmast.entry._follow import STALE_FRACTION, WATCH_TIMEOUT_S
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
    """Reads of the whole store, in one page or several."""

    def _read(self):
        return self.run_main(self.directory.read)

    def test_single_page(self):
        """Configuration and endpoints are read with a single call."""
        update = self._read().ok_value
        self.assertTrue(update.complete)
        self.assertEqual(self.store.revision, update.revision)
        self.assertEqual(2, len(update.changes))
        self.assertEqual(1, self.store.calls)

    def test_multiple_pages(self):
        """A long list is read in pages, up to the first page's revision."""
        for number in range(1, PAGE_ITEMS + 6):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        update = self._read().ok_value
        self.assertEqual(PAGE_ITEMS + 7, len(update.changes))

    def test_pages_of_two_epochs(self):
        """A list is rejected if the store is restored between its pages.

        Together, such pages are a state that the store has never been in.
        """
        for number in range(1, PAGE_ITEMS + 6):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        copy, handle_request = self.store.copy(), self.store.handle

        async def handle(request):
            response = await handle_request(request)
            self.store.restore(copy)
            return response

        self.patch(self.store, "handle", handle)
        self.assertEqual(Err(DirectoryFault.RESTORED), self._read())

    def test_too_many_pages(self):
        """A list with too many pages is rejected as a whole.

        If it were cut off and treated as complete, the endpoints after the cut
        would be removed and their flows reset.
        """
        self.patch(_listing, "MAX_PAGES", 2)
        for number in range(1, 3 * PAGE_ITEMS + 1):
            self.store.put(f"servers/i-{number:08x}", ENTRY)
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._read())

    @parameterized.expand(
        [
            ("bytes", b"\xff\x00"),
            ("fields", {"service": 1}),
            ("state", {**ENTRY, "state": "odd"}),
        ]
    )
    def test_invalid_entry(self, _, value):
        """Another writer's invalid entry is reported; the others are used."""
        self.store.put("servers/i-00000bad", value)
        update = self._read().ok_value
        announced = [
            c for c in update.changes if isinstance(c, EndpointAnnounced)
        ]
        self.assertEqual([NAME], [c.endpoint.name for c in announced])
        self.assertEqual(1, len(update.refused))

    def test_ignored_value(self):
        """An invalid optional value is reported; the configuration is used.

        Unreported, an operator would not learn why a route has no priority.
        """
        route = {**CONFIGURATION["routeTable"][0], "priority": -1}
        self.store.put("op/config", {**CONFIGURATION, "routeTable": [route]})
        update = self._read().ok_value
        self.assertEqual(2, len(update.changes))
        (line,) = update.refused
        self.assertIn("priority", line.description)

    def test_unrelated_keys(self):
        """Unrelated keys are ignored."""
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
        """A store that does not respond is a fault, within a bounded time."""
        self.store.fault = fault
        self.assertEqual(Err(expected), self._read())

    @parameterized.expand(
        [
            ("not_json", b"<html>"),
            ("a_list", b"[]"),
            ("no_items", b'{"asOf": 1}'),
            ("items_not_a_list", b'{"items": {}, "asOf": 1}'),
            ("no_revision", b'{"items": []}'),
            ("no_next", b'{"items": [], "asOf": 1, "morePages": true}'),
            ("deep", b"[" * 100_000),
        ]
    )
    def test_malformed_response(self, _, body):
        """A malformed response is rejected as a whole and counted."""

        async def handle(request):
            return Response(200, body)

        self.patch(self.store, "handle", handle)
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._read())
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))


class WatchTest(StoreCase):
    """Watches of changes."""

    def _watch(self, after: int):
        position = Position(self.store.epoch, after)
        return self.run_main(
            lambda: self.directory.watch(position, WATCH_TIMEOUT_S)
        )

    def test_removed(self):
        """A deleted entry removes its endpoint."""
        before = self.store.revision
        self.store.delete(KEY)
        update = self._watch(before).ok_value
        self.assertEqual((EndpointRemoved(NAME, before + 1),), update.changes)

    def test_entry_becomes_invalid(self):
        """An entry that becomes invalid removes its endpoint."""
        before = self.store.revision
        self.store.put(KEY, b"junk")
        update = self._watch(before).ok_value
        self.assertEqual((EndpointRemoved(NAME, before + 1),), update.changes)

    def test_history_gone(self):
        """Dropped history is a fault of its own: a full read has to follow."""
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
        """Events that do not follow the known position are rejected.

        They come from another epoch or from an older revision of the store.
        """
        self._respond_with({"events": [], "asOf": 12}, {"store-era": "2"})
        position = Position(epoch, revision)
        watch = self.directory.watch
        result = self.run_main(lambda: watch(position, WATCH_TIMEOUT_S))
        self.assertEqual(Err(expected), result)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, expected))

    @parameterized.expand([("absent", {}), ("same", {"store-era": "3"})])
    def test_epoch(self, _, headers):
        """A response without an epoch counts as one of the known epoch."""
        self._respond_with({"events": [], "asOf": 12}, headers)
        watch = self.directory.watch
        result = self.run_main(lambda: watch(Position(3, 11), WATCH_TIMEOUT_S))
        self.assertEqual(Position(3, 12), result.ok_value.position)

    @parameterized.expand(
        [("words", "new"), ("negative", "-1"), ("long", "1" * 400)]
    )
    def test_invalid_epoch(self, _, era):
        """A response with an invalid epoch is rejected and counted."""
        self._respond_with({"events": [], "asOf": 12}, {"store-era": era})
        self.assertEqual(Err(DirectoryFault.MALFORMED), self._watch(11))
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "malformed"))

    def _respond_with(self, body, headers) -> None:
        async def handle(request):
            return http.Response(200, json.dumps(body).encode(), headers)

        self.patch(self.store, "handle", handle)


class FollowerTest(StoreCase):
    """A VM follows the store through changes and failures."""

    def test_configuration_change(self):
        """A new configuration is in force immediately."""

        async def script(core, follower):
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(0.1)
            self.assertEqual(9, core.table.version)

        self.follow(script)

    def test_silent_connection(self):
        """A watch whose connection stops responding is sent on a new one.

        Otherwise one VM would stay on an old configuration.
        """

        async def script(core, follower):
            self.store.fault = Fault.SILENT
            await anyio.sleep(WATCH_TIMEOUT_S)
            self.store.fault = Fault.NONE
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(WATCH_TIMEOUT_S + WATCH_MARGIN_S)
            self.assertEqual(9, core.table.version)

        self.follow(script)

    def test_history_dropped(self):
        """Changes during an outage are applied although history was dropped."""

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

    def test_restore_during_request(self):
        """A response is ignored if a peer has reported a restore meanwhile.

        If the late response were applied, or counted as confirmation that
        nothing is newer, the VM would return to the state before the restore.
        """

        async def script(core, follower):
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            update = group.listing(epoch=9, revision=3)
            core.apply(update, anyio.current_time())
            await anyio.sleep(1.0)
            self.assertEqual(Position(9, 3), core.position)
            self.assertEqual(7, core.table.version)
            self.assertGreaterEqual(core.age_s(anyio.current_time()), 1.0)
            self.assertIsNotNone(follower.unavailable_since)

        self.follow(script)

    def test_history_always_gone(self):
        """Watches that fail although reads succeed are retried with a delay.

        Without the delay, a faulty store would get 60 calls per second.
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
        """During an outage, known entries are kept and retries are few."""

        async def script(core, follower):
            self.store.fault = Fault.DOWN
            await anyio.sleep(30.0)
            self.assertIsNotNone(follower.unavailable_since)
            self.assertIs(Presence.LISTED, core.catalog.get(NAME).presence)
            calls = self.store.calls
            await anyio.sleep(10.0)
            self.assertLess(self.store.calls - calls, 20)

        self.follow(script)

    def test_silent_peers(self):
        """A VM that leaves watching to silent peers reads the store itself.

        It does so early enough for a change to be in force within its limit.
        """
        updates = []

        async def script(core, follower):
            calls = self.store.calls
            await anyio.sleep(APPLY_S * STALE_FRACTION - 1.0)
            self.assertEqual(calls, self.store.calls)
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            await anyio.sleep(APPLY_S)
            self.assertEqual(9, core.table.version)
            self.assertTrue(updates)

        self.follow(script, on_change=lambda: updates.append(1))

    @parameterized.expand([("known", True, 0), ("unknown", False, 1)])
    def test_first_read(self, _, known, calls):
        """A VM that read the whole store while loading does not read again.

        Otherwise each of a hundred VMs that start at once would cost a second
        call. A VM that has read nothing reads at once.
        """

        async def script(core, follower):
            self.assertEqual(calls, self.store.calls)
            self.assertIsNone(follower.unavailable_since)
            self.store.put("op/config", {**CONFIGURATION, "version": 9})
            core.on_confirmed(-APPLY_S)
            await anyio.sleep(APPLY_S)
            self.assertEqual(9, core.table.version)

        self.follow(script, on_change=lambda: None, known=known)

    def test_frequent_changes(self):
        """A release that changes a dozen entries per second needs few calls.

        One call per change would exhaust the store's rate limit, and VMs that
        start meanwhile would be refused.
        """

        async def script(core, follower):
            calls = self.store.calls
            for number in range(1, 61):
                changed = {**ENTRY, "seqNo": number}
                self.store.put(f"servers/i-{number:08x}", changed)
                await anyio.sleep(1.0 / 12)
            self.assertLessEqual(self.store.calls - calls, 4 * 5)
            await anyio.sleep(1.0)
            self.assertEqual(61, len(core.catalog.records))

        self.follow(script)

    def test_confirmed_by_peers(self):
        """The store is not called while peers confirm that nothing is newer."""

        async def script(core, follower):
            calls = self.store.calls
            for _ in range(40):
                core.on_confirmed(anyio.current_time())
                await anyio.sleep(0.5)
            self.assertEqual(calls, self.store.calls)

        self.follow(script, on_change=lambda: None)
