"""A store in memory and a VM that follows it, for tests of both."""

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


class Connection:
    """Asks a stand-in without a network."""

    def __init__(self, store: Store, link: Link):
        self._store = store
        self._link = link
        self.sent_bytes = 0

    async def get(self, target: str, patience: Patience, most=None):
        """Answers as an HTTP connection does."""
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
            headers = {
                name.lower(): value for name, value in answer.headers.items()
            }
            return Ok(Response(answer.status, answer.body, headers))
        return Err(HttpFault.INCOMPLETE)

    async def aclose(self) -> None:
        """Closes nothing."""


class StoreCase(TestCase):
    """A directory over a stand-in for the store, and a shared link to it."""

    def setUp(self):
        """Makes a store with one endpoint and a configuration."""
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
        """Runs with a clock that jumps over every wait."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def follow(self, script, join=None, known=False):
        """Lets a VM follow the store while a script plays.

        Args:
            script: Awaited with the VM's beliefs and its follower.
            join: Called at news, if the VM leaves watching to others.
            known: Whether everything has just been read.
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
        if join is not None:
            follower.join(lambda: False, join)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run, known)
                await anyio.sleep(0.5)
                await script(core, follower)
                tasks.cancel_scope.cancel()

        self.run_main(main)
