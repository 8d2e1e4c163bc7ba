"""Tests of entry._follow over connections that stop delivering data."""

import random
import urllib.parse

import anyio
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters, Histograms
from pollenmast.entry._follow import Follower
from pollenmast.events import EventLog
from pollenmast.platform._store import StoreDirectory
from standins import http
from standins.store import Store
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY, NAME

RESPONSE_TIME_S = 0.004
LAST_CONFIRMED_S = 12.0
"""When the other VMs end, just after they have confirmed the VM's state. The
configuration changes at the same moment."""

MAX_STRETCH_S = 12.0
"""How much later a change may be in force while the store is disturbed."""

MARGIN_S = 0.1
"""What is left of the time limit for the VM's own delays."""


class _LateRandom(random.Random):
    """Draws the latest time at which a VM asks by itself."""

    def random(self) -> float:
        return 0.999


class _Stream:
    """A connection to the store; once silent it delivers nothing for good."""

    def __init__(self, store: Store):
        self._store = store
        self._request: http.Request | None = None
        self.is_silent = False

    async def send(self, data: bytes) -> None:
        target = data.split(b" ", 2)[1].decode()
        path, _, query = target.partition("?")
        pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
        self._request = http.Request("GET", path, dict(pairs), b"")

    async def receive(self, _: int) -> bytes:
        request, self._request = self._request, None
        answer = None
        if not self.is_silent:
            answer = await self._store.handle(request)
            await anyio.sleep(RESPONSE_TIME_S)
        if self.is_silent:
            await anyio.sleep_forever()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer.body)}\r\n\r\n"
        return head.encode() + answer.body

    async def aclose(self) -> None:
        """Does nothing, as there is no socket."""


class SilentConnectionTest(TestCase):
    """When a change is in force although connections have gone silent."""

    def setUp(self):
        """Creates a store and a VM that may be a reader."""
        super().setUp()
        self.store = Store()
        self.store.epoch = None
        self._publish(7)
        self.store.put(f"servers/{NAME}", {**ENTRY, "service": "a"})
        self.streams: list[_Stream] = []
        self.patch(anyio, "connect_tcp", self._connect)
        self.is_reader = False
        self.core = group.steering()

    def _publish(self, version: int) -> None:
        self.store.put("op/config", {**CONFIGURATION, "version": version})

    async def _connect(self, *_) -> _Stream:
        await anyio.sleep(RESPONSE_TIME_S / 2)
        self.streams.append(_Stream(self.store))
        return self.streams[-1]

    async def _silence(self, times: list[float]) -> None:
        """Silences all open connections, later ones as they are first used."""
        first, *later = times
        await anyio.sleep_until(first)
        for stream in self.streams:
            stream.is_silent = True
        for at in later:
            opened = len(self.streams)
            await anyio.sleep_until(at)
            while len(self.streams) == opened:
                await anyio.sleep(0.001)
            self.streams[-1].is_silent = True

    async def _confirm(self) -> None:
        """Confirms the VM's state as a reader's reports do."""
        while anyio.current_time() <= LAST_CONFIRMED_S:
            self.core.on_confirmed(anyio.current_time())
            await anyio.sleep(0.5)

    def _in_force_after(self, apply_s: float, silent: list[float]) -> float:
        """Returns how long after its change a configuration is in force."""
        follower = Follower(
            StoreDirectory("10.200.0.1", 1, Counters()),
            self.core,
            Histograms(),
            EventLog("t", "vm"),
            apply_s,
            _LateRandom(1),
        )
        follower.divide_watching(lambda: self.is_reader, lambda: None)

        async def main() -> float:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                if not self.is_reader:
                    tasks.start_soon(self._confirm)
                await anyio.sleep(0.0)
                if silent:
                    tasks.start_soon(
                        self._silence, [LAST_CONFIRMED_S + at for at in silent]
                    )
                await anyio.sleep_until(LAST_CONFIRMED_S + 0.001)
                self._publish(8)
                with anyio.move_on_after(2.0 * MAX_STRETCH_S):
                    while self.core.table.version != 8:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()
            return anyio.current_time() - LAST_CONFIRMED_S

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    @parameterized.expand(
        [
            (f"{kind}_{delay_s}", kind == "reader", delay_s)
            for kind in ("reader", "other")
            for delay_s in (0.2, 0.6, 1.2)
        ]
    )
    def test_slow_store(self, _, is_reader, delay_s):
        """A VM whose state is old waits for a slow store's answer.

        If it gave up the sooner the older its state is, it would get none
        while the store is slow.
        """
        self.is_reader = is_reader
        self.store.delay_s = delay_s
        after = self._in_force_after(3.0, [])
        self.assertLessEqual(after, 3.0 + MAX_STRETCH_S)

    @parameterized.expand(
        [
            (f"{name}_{apply_s:g}", apply_s, is_reader, silent)
            for apply_s in (3.0, 5.0)
            for name, is_reader, silent in (
                ("never", False, []),
                ("long_before", False, [-6.0]),
                ("just_before", False, [-0.1]),
                ("before_and_when_asking", False, [-6.0, 0.0]),
                ("reader_never", True, []),
                ("reader_watching", True, [-0.01]),
                ("reader_watching_before", True, [-0.4]),
                ("reader_watching_long", True, [-0.8]),
                ("reader_answered", True, [0.01]),
                ("reader_twice", True, [-0.01, 0.0]),
            )
        ]
    )
    def test_in_force(self, _, apply_s, is_reader, silent):
        """A silent connection does not keep an outdated route in force.

        The other VMs, which told this one of changes, end at the same moment.
        The VM asked over its idle connection, and noticed too late that it had
        gone silent long before.
        """
        self.is_reader = is_reader
        after = self._in_force_after(apply_s, silent)
        self.assertLessEqual(after, apply_s - MARGIN_S)
