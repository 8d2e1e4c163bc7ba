"""Reads and watches the platform's metadata store."""

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PLATFORM_CALLS, Counters
from pollenmast.platform._entries import ENDPOINT_PREFIX, OPERATOR_PREFIX
from pollenmast.platform._epoch import read_epoch
from pollenmast.platform._items import read_items
from pollenmast.platform._listing import Listing
from pollenmast.platform._question import MOST_BODY_BYTES
from pollenmast.steering import Directory, DirectoryFault, Update

READ_PATIENCE = http1.Patience(first_s=1.0, idle_s=1.0, total_s=8.0)
"""The store answers in 4 ms; a second without a byte means that it is away or
that the connection has been lost on the way. A megabyte takes a link of
3 Mbit/s almost three seconds, and more beside clients' packets."""

WATCH_MARGIN_S = 0.5
"""How much longer than the asked wait a watch is given to answer."""

WATCH_IDLE_S = 0.5
"""How long the rest of a watch's answer may stand still."""

WATCH_TOTAL_S = 2.0
"""How long the rest of it may take."""

MOST_WATCH_BYTES = 256 << 10
"""The longest answer of a watch that is read. It holds every version of the
configuration that was written meanwhile; beyond this the latest one alone,
read by itself, comes sooner."""

_OPERATORS_PATH = f"/kv-range?prefix={OPERATOR_PREFIX}"

_EVERYTHING = ""
"""Prefix of both the configuration and the endpoints; a watch of each would
cost twice the calls."""

_TOO_LONG = (http1.HttpFault.OVERSIZED, http1.HttpFault.INCOMPLETE)
_BUSY = (429, 503)
_GONE = 410


@attrs.frozen
class _Answer:
    """A successful answer.

    Attributes:
        body: Its content.
        epoch: Which copy of the store has answered.
    """

    body: dict[str, Any]
    epoch: int


@attrs.frozen
class _Events:
    """A watch's answer.

    Attributes:
        items: The events.
        revision: The revision up to which they are complete.
        epoch: Which copy of the store has answered.
    """

    items: list[Any]
    revision: int
    epoch: int


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
        listed = await self._list(Listing())
        return listed.map(Listing.update)

    async def catch_up(self, after: int) -> Result[Update, DirectoryFault]:
        """Returns changes after a revision, with the latest configuration."""
        listed = await self._list(Listing(_OPERATORS_PATH))
        if isinstance(listed, Err):
            return listed
        operators = listed.ok_value
        # Asked after the list, so that together they are complete up to its
        # revision.
        target = _watch_target(ENDPOINT_PREFIX, after, 0.0)
        events = await self._events(target, READ_PATIENCE, None)
        if isinstance(events, Err):
            return events
        update = read_items(
            [*operators.items, *events.ok_value.items],
            operators.revision,
            whole=False,
            all_drains=True,
            epoch=operators.epoch,
        )
        return Ok(update)

    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Returns what changed after a revision, or nothing in time."""
        first_s = wait_s + WATCH_MARGIN_S
        patience = http1.Patience(
            first_s, WATCH_IDLE_S, first_s + WATCH_TOTAL_S
        )
        target = _watch_target(_EVERYTHING, after, wait_s)
        events = await self._events(target, patience, MOST_WATCH_BYTES)
        if isinstance(events, Err):
            return events
        told = events.ok_value
        return Ok(
            read_items(told.items, told.revision, whole=False, epoch=told.epoch)
        )

    async def _list(self, listing: Listing) -> Result[Listing, DirectoryFault]:
        """Reads all pages of a list."""
        while (target := listing.target) is not None:
            answer = await self._get(self._reader, target, READ_PATIENCE)
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            if not listing.add(page.body, page.epoch):
                return self._malformed()
        return Ok(listing)

    async def _events(
        self, target: str, patience: http1.Patience, most: int | None
    ) -> Result[_Events, DirectoryFault]:
        """Returns a watch's events."""
        answer = await self._get(self._watcher, target, patience, most)
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value.body
        events = body.get("events")
        if not isinstance(events, list):
            return self._malformed()
        revision = body.get("asOf")
        if not isinstance(revision, int):
            return self._malformed()
        return Ok(_Events(events, revision, answer.ok_value.epoch))

    def _malformed(self) -> Err[DirectoryFault]:
        self._counters.add(PLATFORM_CALLS, "malformed")
        return Err(DirectoryFault.MALFORMED)

    async def _get(
        self,
        connection: http1.Connection,
        target: str,
        patience: http1.Patience,
        most: int | None = None,
    ) -> Result[_Answer, DirectoryFault]:
        before = connection.sent_bytes
        response = await connection.get(target, patience, most)
        self._counters.add(
            CONTROL_BYTES, "platform", connection.sent_bytes - before
        )
        if isinstance(response, Err):
            if response.err_value in _TOO_LONG:
                self._counters.add(PLATFORM_CALLS, "too_long")
                return Err(DirectoryFault.TOO_LONG)
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(DirectoryFault.UNREACHABLE)
        if response.ok_value.status != 200:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(_fault(response.ok_value.status))
        try:
            body = json.loads(response.ok_value.body)
        except (ValueError, RecursionError):
            return self._malformed()
        epoch = read_epoch(response.ok_value.headers)
        if not isinstance(body, dict) or isinstance(epoch, Err):
            return self._malformed()
        self._counters.add(PLATFORM_CALLS, "answered")
        return Ok(_Answer(body, epoch.ok_value or 0))


def _watch_target(prefix: str, after: int, wait_s: float) -> str:
    wait_ms = int(wait_s * 1000)
    return f"/kv-watch?prefix={prefix}&after={after}&waitMs={wait_ms}"


def _fault(status: int) -> DirectoryFault:
    if status == _GONE:
        return DirectoryFault.HISTORY_GONE
    if status in _BUSY:
        return DirectoryFault.BUSY
    return DirectoryFault.STATUS
