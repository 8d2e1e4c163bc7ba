"""The store's answer to a VM's first question, as endpoints and routes."""

import json
import time
from typing import Any

from result import Err, Ok, Result

from pollenmast.counters import PLATFORM_CALLS, Counters
from pollenmast.entry import FirstRead
from pollenmast.exchange import EndedError, ProtocolError, TooLargeError
from pollenmast.platform._epoch import read_epoch
from pollenmast.platform._listing import Listing
from pollenmast.platform._question import StoreQuestion
from pollenmast.steering import DirectoryFault, Update

_OK = 200

_Page = Result[Any, DirectoryFault]


class StoreFirstRead(FirstRead):
    """Reads everything, page after page, over one connection.

    Each page is asked for as soon as the one before is there, between two
    modules if need be: a VM that left the rest of a long list to its program
    would carry nothing until all of that is loaded.
    """

    def __init__(self, question: StoreQuestion, counters: Counters):
        self._question = question
        self._counters = counters
        self._listing = Listing()

    @property
    def begun(self) -> bool:
        """Whether some of the answer has arrived."""
        return self._question.begun

    def close(self) -> None:
        """Gives the question up."""
        self._question.close()

    def poll(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
        """Returns the answer, or None if it is not there in time."""
        until = time.monotonic() + wait_s
        while True:
            page = self._page(max(0.0, until - time.monotonic()))
            if page is None:
                return None
            self._counters.add(
                PLATFORM_CALLS, "answered" if page.is_ok() else "failed"
            )
            if isinstance(page, Err):
                return page
            target = self._listing.target
            if target is None:
                return Ok(self._listing.update())
            if not self._follow(target):
                return Err(DirectoryFault.UNREACHABLE)

    def _follow(self, target: str) -> bool:
        try:
            return self._question.follow(target)
        except (OSError, ProtocolError):
            return False

    def _page(self, wait_s: float) -> _Page | None:
        """Returns a page that has been added to the list, or why not."""
        try:
            response = self._question.answer(wait_s)
        except (OSError, EndedError):
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
