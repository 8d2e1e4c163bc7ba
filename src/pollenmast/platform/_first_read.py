"""The first read of the store, done while the program loads."""

import json
import time
from typing import Any

from result import Err, Ok, Result

from pollenmast.counters import PLATFORM_CALLS, Counters
from pollenmast.entry import InitialRead
from pollenmast.exchange import (
    ConnectionClosedError,
    ProtocolError,
    TooLargeError,
)
from pollenmast.platform._early_client import EarlyStoreClient
from pollenmast.platform._epoch import read_epoch
from pollenmast.platform._listing import Listing
from pollenmast.steering import DirectoryFault, Update

_OK = 200

_PageResult = Result[Any, DirectoryFault]


class StoreFirstRead(InitialRead):
    """Lists all keys of the store, page by page, over one connection.

    Each page is requested as soon as the previous one has arrived, if need be
    between the imports of two modules. If the rest of a long list were left to
    the loaded program, the VM would forward no packets until all modules are
    loaded.
    """

    def __init__(self, client: EarlyStoreClient, counters: Counters):
        self._client = client
        self._counters = counters
        self._listing = Listing()

    @property
    def is_arriving(self) -> bool:
        """Whether any bytes of a response have arrived."""
        return self._client.response_started

    def close(self) -> None:
        """Closes the connection, abandoning an unfinished list."""
        self._client.close()

    def poll(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
        """Continues the read.

        Args:
            wait_s: Seconds to wait for the rest of the list.

        Returns:
            The whole list, a fault, or None if the list is still incomplete.
        """
        deadline = time.monotonic() + wait_s
        while True:
            page = self._next_page(max(0.0, deadline - time.monotonic()))
            if page is None:
                return None
            self._counters.add(
                PLATFORM_CALLS, "answered" if page.is_ok() else "failed"
            )
            if isinstance(page, Err):
                return page
            target = self._listing.next_path
            if target is None:
                return Ok(self._listing.to_update())
            if not self._request_next(target):
                return Err(DirectoryFault.UNREACHABLE)

    def _request_next(self, target: str) -> bool:
        try:
            return self._client.request_next(target)
        except (OSError, ProtocolError):
            return False

    def _next_page(self, wait_s: float) -> _PageResult | None:
        """Receives one page and adds it to the list.

        Returns:
            The page, the fault that made it unusable, or None if it has not
            arrived in time.
        """
        try:
            response = self._client.receive(wait_s)
        except (OSError, ConnectionClosedError):
            return Err(DirectoryFault.UNREACHABLE)
        except (ProtocolError, TooLargeError):
            return Err(DirectoryFault.MALFORMED)
        if response is None:
            return None
        if response.status != _OK:
            return Err(DirectoryFault.STATUS)
        try:
            page = json.loads(response.body)
        except (ValueError, RecursionError):
            return Err(DirectoryFault.MALFORMED)
        epoch = read_epoch(response.headers)
        if isinstance(epoch, Err):
            return Err(DirectoryFault.MALFORMED)
        added = self._listing.add(page, epoch.ok_value or 0)
        return added.map(lambda _: page)
