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
from pollenmast.steering import (
    NOTHING_KNOWN,
    Directory,
    DirectoryFault,
    Position,
    Update,
)

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
        position: How far they are complete.
    """

    items: list[Any]
    position: Position


class StoreDirectory(Directory):
    """The store, which lists the endpoints and the configuration.

    Watches and reads have connections of their own, so that a read never
    waits behind a watch.
    """

    def __init__(self, address: str, port: int, counters: Counters):
        self._reader = http1.Connection(address, port, MOST_BODY_BYTES)
        self._watcher = http1.Connection(address, port, MOST_BODY_BYTES)
        self._counters = counters

    async def read(
        self, known: Position = NOTHING_KNOWN
    ) -> Result[Update, DirectoryFault]:
        """Returns everything that is published now."""
        listed = await self._list(Listing(), known)
        return listed.map(Listing.update)

    async def catch_up(self, after: Position) -> Result[Update, DirectoryFault]:
        """Returns changes after a position, with the latest configuration."""
        listed = await self._list(Listing(_OPERATORS_PATH), after)
        if isinstance(listed, Err):
            return listed
        operators = listed.ok_value
        if operators.position.epoch != after.epoch:
            return self._refuse(DirectoryFault.RESTORED)
        # Asked after the list, so that together they are complete up to its
        # revision.
        target = _watch_target(ENDPOINT_PREFIX, after, 0.0)
        events = await self._events(target, after, READ_PATIENCE)
        if isinstance(events, Err):
            return events
        update = read_items(
            [*operators.items, *events.ok_value.items],
            operators.position.revision,
            whole=False,
            all_drains=True,
            epoch=operators.position.epoch,
        )
        return Ok(update)

    async def watch(
        self, after: Position, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Returns what changed after a position, or nothing in time."""
        first_s = wait_s + WATCH_MARGIN_S
        patience = http1.Patience(
            first_s, WATCH_IDLE_S, first_s + WATCH_TOTAL_S
        )
        target = _watch_target(_EVERYTHING, after, wait_s)
        events = await self._events(target, after, patience, MOST_WATCH_BYTES)
        if isinstance(events, Err):
            return events
        position = events.ok_value.position
        return Ok(
            read_items(
                events.ok_value.items,
                position.revision,
                whole=False,
                epoch=position.epoch,
            )
        )

    async def _list(
        self, listing: Listing, known: Position
    ) -> Result[Listing, DirectoryFault]:
        """Reads all pages of a list."""
        while (target := listing.target) is not None:
            answer = await self._get(
                self._reader, target, known.epoch, READ_PATIENCE
            )
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            added = listing.add(page.body, page.epoch)
            if isinstance(added, Err):
                return self._refuse(added.err_value)
        if listing.position < known:
            return self._refuse(DirectoryFault.STALE)
        return Ok(listing)

    async def _events(
        self,
        target: str,
        after: Position,
        patience: http1.Patience,
        most: int | None = None,
    ) -> Result[_Events, DirectoryFault]:
        """Returns a watch's events.

        A restored store may by now have a revision of the number that is
        watched from. What it has written up to there would be missing, so
        events of another epoch are of no use.
        """
        answer = await self._get(
            self._watcher, target, after.epoch, patience, most
        )
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value.body
        events, revision = body.get("events"), body.get("asOf")
        if not isinstance(events, list) or not isinstance(revision, int):
            return self._refuse(DirectoryFault.MALFORMED)
        position = Position(answer.ok_value.epoch, revision)
        if position < after:
            return self._refuse(DirectoryFault.STALE)
        if position.epoch != after.epoch:
            return self._refuse(DirectoryFault.RESTORED)
        return Ok(_Events(events, position))

    def _refuse(self, fault: DirectoryFault) -> Err[DirectoryFault]:
        self._counters.add(PLATFORM_CALLS, fault)
        return Err(fault)

    async def _get(
        self,
        connection: http1.Connection,
        target: str,
        known_epoch: int,
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
                return self._refuse(DirectoryFault.TOO_LONG)
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(DirectoryFault.UNREACHABLE)
        if response.ok_value.status != 200:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(_fault(response.ok_value.status))
        try:
            body = json.loads(response.ok_value.body)
        except (ValueError, RecursionError):
            return self._refuse(DirectoryFault.MALFORMED)
        epoch = read_epoch(response.ok_value.headers)
        if not isinstance(body, dict) or isinstance(epoch, Err):
            return self._refuse(DirectoryFault.MALFORMED)
        self._counters.add(PLATFORM_CALLS, "answered")
        named = epoch.ok_value
        return Ok(_Answer(body, known_epoch if named is None else named))


def _watch_target(prefix: str, after: Position, wait_s: float) -> str:
    wait_ms = int(wait_s * 1000)
    query = f"prefix={prefix}&after={after.revision}&waitMs={wait_ms}"
    return f"/kv-watch?{query}"


def _fault(status: int) -> DirectoryFault:
    if status == _GONE:
        return DirectoryFault.HISTORY_GONE
    if status in _BUSY:
        return DirectoryFault.BUSY
    return DirectoryFault.STATUS
