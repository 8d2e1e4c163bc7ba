"""Reads and watches the platform's metadata store."""

import json
from typing import Any

from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PLATFORM_CALLS, Counters
from pollenmast.platform._items import read_items
from pollenmast.platform._listing import Listing
from pollenmast.platform._question import MOST_BODY_BYTES
from pollenmast.steering import Directory, DirectoryFault, Update

READ_TIMEOUT_S = 1.0
"""The store answers in 4 ms; a second without an answer means that it is away
or that the connection has been lost on the way, in seconds."""

WATCH_MARGIN_S = 0.5
"""How much longer than the asked wait a watch is given to answer."""

_EVERYTHING = ""
"""Prefix of both the configuration and the endpoints; a watch of each would
cost twice the calls."""

_BUSY = (429, 503)
_GONE = 410


class StoreDirectory(Directory):
    """The store, which lists the endpoints and the configuration.

    Watches and reads have connections of their own, so that a read never
    waits behind a watch.
    """

    def __init__(self, address: str, port: int, counters: Counters):
        self._reader = http1.Connection(address, port, MOST_BODY_BYTES)
        self._watcher = http1.Connection(address, port, MOST_BODY_BYTES)
        self._counters = counters

    async def read(self) -> Result[Update, DirectoryFault]:
        """Returns everything that is published now."""
        listing = Listing()
        while (target := listing.target) is not None:
            answer = await self._get(self._reader, target, READ_TIMEOUT_S)
            if isinstance(answer, Err):
                return answer
            if not listing.add(answer.ok_value):
                return self._malformed()
        return Ok(listing.update())

    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Returns what changed after a revision, or nothing in time."""
        target = (
            f"/kv-watch?prefix={_EVERYTHING}"
            f"&after={after}&waitMs={int(wait_s * 1000)}"
        )
        answer = await self._get(self._watcher, target, wait_s + WATCH_MARGIN_S)
        if isinstance(answer, Err):
            return answer
        events = answer.ok_value.get("events")
        if not isinstance(events, list):
            return self._malformed()
        revision = answer.ok_value.get("asOf")
        if not isinstance(revision, int):
            return self._malformed()
        return Ok(read_items(events, revision, whole=False))

    def _malformed(self) -> Err[DirectoryFault]:
        self._counters.add(PLATFORM_CALLS, "malformed")
        return Err(DirectoryFault.MALFORMED)

    async def _get(
        self, connection: http1.Connection, target: str, timeout_s: float
    ) -> Result[dict[str, Any], DirectoryFault]:
        before = connection.sent_bytes
        response = await connection.get(target, timeout_s)
        self._counters.add(
            CONTROL_BYTES, "platform", connection.sent_bytes - before
        )
        if isinstance(response, Err):
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(DirectoryFault.UNREACHABLE)
        if response.ok_value.status != 200:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(_fault(response.ok_value.status))
        try:
            body = json.loads(response.ok_value.body)
        except (ValueError, RecursionError):
            return self._malformed()
        if not isinstance(body, dict):
            return self._malformed()
        self._counters.add(PLATFORM_CALLS, "answered")
        return Ok(body)


def _fault(status: int) -> DirectoryFault:
    if status == _GONE:
        return DirectoryFault.HISTORY_GONE
    if status in _BUSY:
        return DirectoryFault.BUSY
    return DirectoryFault.STATUS
