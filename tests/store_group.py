"""Test fixtures: an in-memory store, a link to it and a VM that follows it."""

import math
import random
import urllib.parse

import anyio
import trio
import trio.testing
from result import Err, Ok
from testtools import TestCase

from pollenmast import http1
from pollenmast.counters import Counters, Histograms
from pollenmast.entry._follow import Follower
from pollenmast.events import EventLog
from pollenmast.http1 import HttpFault, Patience, Response
from pollenmast.platform._store import StoreDirectory
from standins.http import Request
from standins.store import Store
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY, NAME

KEY = f"servers/{NAME}"
APPLY_S = 3.0


class Link:
    """A VM's link to the store, shared by all of its connections.

    Attributes:
        bytes_per_s: The bandwidth; infinite if transfers take no time.
        carried: The number of bytes transferred.
    """

    def __init__(self):
        self.bytes_per_s = math.inf
        self.carried = 0
        self._idle_from = 0.0

    async def carry(self, length: int) -> None:
        """Waits until a number of bytes has been transferred."""
        self.carried += length
        begin = max(anyio.current_time(), self._idle_from)
        self._idle_from = begin + length / self.bytes_per_s
        await anyio.sleep(self._idle_from - anyio.current_time())


class Connection:
    """Sends requests to an in-memory store instead of over HTTP."""

    def __init__(self, store: Store, link: Link):
        self._store = store
        self._link = link
        self.sent_bytes = 0

    async def get(self, target: str, patience: Patience, most=None):
        """Returns a response as `http1.Connection.get` does."""
        path, _, query = target.partition("?")
        pairs = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        with anyio.move_on_after(patience.first_s):
            request = Request("GET", path, pairs, b"")
            response = await self._store.handle(request)
            if response.status is None:
                return Err(HttpFault.UNREACHABLE)
            if most is not None and len(response.body) > most:
                return Err(HttpFault.OVERSIZED)
            return await self._transfer(response, patience.total_s)
        return Err(HttpFault.TIMEOUT)

    async def _transfer(self, response, total_s: float):
        with anyio.CancelScope(shield=True), anyio.move_on_after(total_s):
            await self._link.carry(len(response.body))
            headers = {
                name.lower(): value for name, value in response.headers.items()
            }
            return Ok(Response(response.status, response.body, headers))
        return Err(HttpFault.INCOMPLETE)

    async def aclose(self) -> None:
        """Does nothing, as there is no real connection."""


class StoreCase(TestCase):
    """A test case with a `StoreDirectory` for an in-memory store."""

    def setUp(self):
        """Creates a store with one endpoint and a configuration."""
        super().setUp()
        self.store = Store()
        self.store.put("op/config", CONFIGURATION)
        self.store.put(KEY, ENTRY)
        self.link = Link()
        self.patch(
            http1, "Connection", lambda *_: Connection(self.store, self.link)
        )
        self.counters = Counters()
        self.directory = StoreDirectory("10.0.0.1", 1, self.counters)

    def run_main(self, main) -> object:
        """Runs an async function with a mock clock that skips all waits."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def follow(self, script, on_change=None, known=False):
        """Runs a script while a VM follows the store.

        Args:
            script: An async function, called with the VM's steering core and
                its follower.
            on_change: Called when an update arrives, if the VM leaves watching
                the store to other VMs; None if it watches the store itself.
            known: Whether the VM has just read the whole store.
        """
        core = group.steering(epoch=self.store.epoch)
        follower = Follower(
            self.directory,
            core,
            Histograms(),
            EventLog("t", "vm"),
            APPLY_S,
            random.Random(1),
        )
        if on_change is not None:
            follower.divide_watching(lambda: False, on_change)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run, known)
                await anyio.sleep(0.5)
                await script(core, follower)
                tasks.cancel_scope.cancel()

        self.run_main(main)
