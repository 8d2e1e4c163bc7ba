"""A client that lists and watches the platform's metadata store."""

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PLATFORM_CALLS, Counters
from pollenmast.platform._early_client import MAX_BODY_BYTES
from pollenmast.platform._entries import ENDPOINT_PREFIX, OPERATOR_PREFIX
from pollenmast.platform._epoch import read_epoch
from pollenmast.platform._fields import is_revision
from pollenmast.platform._items import parse_items
from pollenmast.platform._listing import Listing
from pollenmast.steering import (
    START_POSITION,
    Directory,
    DirectoryFault,
    Position,
    Update,
)

READ_TIMEOUTS = http1.Timeouts(first_s=1.0, idle_s=1.0, total_s=8.0)
"""Timeouts of reads, in seconds.

The store responds in 4 ms; a second without a byte means that the store is down
or the connection is lost. A megabyte takes almost 3 s on a link of 3 Mbit/s,
and longer when the link also carries clients' packets.
"""

MAX_IDLE_S = 1.0
"""Seconds after which an unused connection is not used again.

It may have gone silent, and a VM that asks only when others have told it
nothing has no time left to notice that. The watches of a reader follow each
other faster, so it keeps its connection.
"""

WATCH_MARGIN_S = 0.5
"""Seconds past its requested wait that a watch may take to begin responding."""

WATCH_IDLE_TIMEOUT_S = 0.5
"""Seconds that the rest of a watch's response may pause."""

WATCH_BODY_TIMEOUT_S = 2.0
"""Seconds that the rest of a watch's response may take in total."""

MAX_WATCH_BYTES = 256 << 10
"""Longest body of a watch's response that is read.

The response contains every version of the configuration written since the last
one. If it is longer than this, reading only the latest version is faster.
"""

_OPERATOR_LIST_PATH = f"/kv-range?prefix={OPERATOR_PREFIX}"

_ALL_KEYS_PREFIX = ""
"""Common prefix of the configuration and the endpoints.

A separate watch for each would double the number of calls.
"""

_TOO_LONG_FAULTS = (http1.HttpFault.OVERSIZED, http1.HttpFault.INCOMPLETE)
_BUSY_STATUSES = (429, 503)
_GONE_STATUS = 410


@attrs.frozen
class _StoreResponse:
    """A successful response.

    Attributes:
        body: The parsed JSON object.
        epoch: The store's epoch.
    """

    body: dict[str, Any]
    epoch: int


@attrs.frozen
class _WatchedEvents:
    """The result of a watch.

    Attributes:
        items: The events.
        position: The position up to which the events are complete.
    """

    items: list[Any]
    position: Position


class StoreDirectory(Directory):
    """Reads endpoints and configuration from the store.

    Watches and reads use separate connections, so that a read never waits for
    a watch to finish.
    """

    def __init__(self, address: str, port: int, counters: Counters):
        self._read_connection = http1.Connection(
            address, port, MAX_BODY_BYTES, MAX_IDLE_S
        )
        self._watch_connection = http1.Connection(
            address, port, MAX_BODY_BYTES, MAX_IDLE_S
        )
        self._counters = counters

    async def read(
        self, known: Position = START_POSITION
    ) -> Result[Update, DirectoryFault]:
        """Returns everything that is currently published."""
        listed = await self._read_pages(Listing(), known)
        return listed.map(Listing.to_update)

    async def catch_up(self, after: Position) -> Result[Update, DirectoryFault]:
        """Returns the changes after a position and the latest configuration."""
        listed = await self._read_pages(Listing(_OPERATOR_LIST_PATH), after)
        if isinstance(listed, Err):
            return listed
        operators = listed.ok_value
        if operators.position.epoch != after.epoch:
            return self._reject(DirectoryFault.RESTORED)
        # Requested after the list, so that list and events together are
        # complete up to the list's revision.
        target = _watch_target(ENDPOINT_PREFIX, after, 0.0)
        events = await self._fetch_events(target, after, READ_TIMEOUTS)
        if isinstance(events, Err):
            return events
        update = parse_items(
            [*operators.items, *events.ok_value.items],
            operators.position.revision,
            complete=False,
            all_drains=True,
            epoch=operators.position.epoch,
        )
        return Ok(update)

    async def watch(
        self, after: Position, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Waits for changes after a position.

        Args:
            after: The position up to which changes are known.
            wait_s: Seconds that the store waits for a change.

        Returns:
            The changes, none if nothing changed within `wait_s`, or a fault.
        """
        first_s = wait_s + WATCH_MARGIN_S
        timeouts = http1.Timeouts(
            first_s, WATCH_IDLE_TIMEOUT_S, first_s + WATCH_BODY_TIMEOUT_S
        )
        target = _watch_target(_ALL_KEYS_PREFIX, after, wait_s)
        events = await self._fetch_events(
            target, after, timeouts, MAX_WATCH_BYTES
        )
        if isinstance(events, Err):
            return events
        position = events.ok_value.position
        return Ok(
            parse_items(
                events.ok_value.items,
                position.revision,
                complete=False,
                epoch=position.epoch,
            )
        )

    async def _read_pages(
        self, listing: Listing, known: Position
    ) -> Result[Listing, DirectoryFault]:
        """Reads all remaining pages of a list."""
        while (target := listing.next_path) is not None:
            response = await self._get_json(
                self._read_connection, target, known.epoch, READ_TIMEOUTS
            )
            if isinstance(response, Err):
                return response
            page = response.ok_value
            added = listing.add(page.body, page.epoch)
            if isinstance(added, Err):
                return self._reject(added.err_value)
        if listing.position < known:
            return self._reject(DirectoryFault.STALE)
        return Ok(listing)

    async def _fetch_events(
        self,
        target: str,
        after: Position,
        timeouts: http1.Timeouts,
        max_bytes: int | None = None,
    ) -> Result[_WatchedEvents, DirectoryFault]:
        """Requests a watch and returns its events.

        Events of another epoch are rejected. A restored store may already have
        reached the revision that the watch starts from, and the changes that
        it made up to that revision would be missing.
        """
        response = await self._get_json(
            self._watch_connection, target, after.epoch, timeouts, max_bytes
        )
        if isinstance(response, Err):
            return response
        body = response.ok_value.body
        events, revision = body.get("events"), body.get("asOf")
        if not isinstance(events, list) or not is_revision(revision):
            return self._reject(DirectoryFault.MALFORMED)
        position = Position(response.ok_value.epoch, revision)
        if position < after:
            return self._reject(DirectoryFault.STALE)
        if position.epoch != after.epoch:
            return self._reject(DirectoryFault.RESTORED)
        return Ok(_WatchedEvents(events, position))

    def _reject(self, fault: DirectoryFault) -> Err[DirectoryFault]:
        """Counts a fault and returns it as an error."""
        self._counters.add(PLATFORM_CALLS, fault)
        return Err(fault)

    async def _get_json(
        self,
        connection: http1.Connection,
        target: str,
        known_epoch: int,
        timeouts: http1.Timeouts,
        max_bytes: int | None = None,
    ) -> Result[_StoreResponse, DirectoryFault]:
        """Requests a JSON object.

        Args:
            connection: The connection to use.
            target: The path and query to request.
            known_epoch: The epoch of a response that has no epoch header.
            timeouts: How long to wait for the response.
            max_bytes: The longest body to read; None for the connection's own
                limit.
        """
        before = connection.sent_bytes
        response = await connection.get(target, timeouts, max_bytes)
        self._counters.add(
            CONTROL_BYTES, "platform", connection.sent_bytes - before
        )
        if isinstance(response, Err):
            if response.err_value in _TOO_LONG_FAULTS:
                return self._reject(DirectoryFault.TOO_LONG)
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(DirectoryFault.UNREACHABLE)
        if response.ok_value.status != 200:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(_fault_of_status(response.ok_value.status))
        try:
            body = json.loads(response.ok_value.body)
        except (ValueError, RecursionError):
            return self._reject(DirectoryFault.MALFORMED)
        epoch = read_epoch(response.ok_value.headers)
        if not isinstance(body, dict) or isinstance(epoch, Err):
            return self._reject(DirectoryFault.MALFORMED)
        self._counters.add(PLATFORM_CALLS, "answered")
        answered_epoch = epoch.ok_value
        return Ok(
            _StoreResponse(
                body, known_epoch if answered_epoch is None else answered_epoch
            )
        )


def _watch_target(prefix: str, after: Position, wait_s: float) -> str:
    wait_ms = int(wait_s * 1000)
    query = f"prefix={prefix}&after={after.revision}&waitMs={wait_ms}"
    return f"/kv-watch?{query}"


def _fault_of_status(status: int) -> DirectoryFault:
    if status == _GONE_STATUS:
        return DirectoryFault.HISTORY_GONE
    if status in _BUSY_STATUSES:
        return DirectoryFault.BUSY
    return DirectoryFault.STATUS
