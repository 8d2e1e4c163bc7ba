"""The store's answer to a VM's first question, as endpoints and routes."""

import json

from result import Err, Ok, Result

from pollenmast.counters import PLATFORM_CALLS, Counters
from pollenmast.entry import FirstRead
from pollenmast.exchange import EndedError, ProtocolError, TooLargeError
from pollenmast.platform._items import read_items
from pollenmast.platform._question import StoreQuestion
from pollenmast.steering import DirectoryFault, Update

_OK = 200


class StoreFirstRead(FirstRead):
    """Reads everything, as far as one page holds it.

    A longer list is left to the program: a page after the other could not be
    awaited here without holding packets back.
    """

    def __init__(self, question: StoreQuestion, counters: Counters):
        self._question = question
        self._counters = counters

    @property
    def begun(self) -> bool:
        """Whether some of the answer has arrived."""
        return self._question.begun

    def close(self) -> None:
        """Gives the question up."""
        self._question.close()

    def poll(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
        """Returns the answer, or None if it is not there in time."""
        answer = self._answer(wait_s)
        if answer is not None:
            outcome = "answered" if answer.is_ok() else "failed"
            self._counters.add(PLATFORM_CALLS, outcome)
        return answer

    def _answer(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
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
        return _update(response.body)


def _update(body: bytes) -> Result[Update, DirectoryFault]:
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        return Err(DirectoryFault.MALFORMED)
    if not isinstance(page, dict) or page.get("morePages") is True:
        return Err(DirectoryFault.MALFORMED)
    items, revision = page.get("items"), page.get("asOf")
    if not isinstance(items, list) or not isinstance(revision, int):
        return Err(DirectoryFault.MALFORMED)
    return Ok(read_items(items, revision, whole=True))
