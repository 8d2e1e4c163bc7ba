"""What the store holds under a prefix, put together from its pages."""

from typing import Any

from result import Err, Ok, Result

from pollenmast.platform._early import EVERYTHING_PATH
from pollenmast.platform._items import read_items
from pollenmast.steering import DirectoryFault, Position, Update

MOST_PAGES = 1000
"""Pages read in a row; a store may give as few as 50 items in each."""


_MALFORMED = Err(DirectoryFault.MALFORMED)


class Listing:
    """The pages of one list, one after the other.

    Pages are not one snapshot: the list is complete up to the revision of the
    first, and a watch from there repeats what came meanwhile.
    """

    def __init__(self, path: str = EVERYTHING_PATH):
        """Takes the path of the first page, by default of everything."""
        self._path = path
        self._items: list[Any] = []
        self._position: Position | None = None
        self._pages = 0
        self._target = path

    @property
    def target(self) -> str | None:
        """The path of the next page, None after the last."""
        return self._target or None

    def add(self, page: Any, epoch: int) -> Result[None, DirectoryFault]:
        """Takes in a page, or tells why it cannot.

        A list longer than `MOST_PAGES` is refused: taken as whole, it would
        remove the endpoints beyond it. So is one whose pages come from
        different copies of the store.

        Args:
            page: The body of the store's answer.
            epoch: Which copy of the store has answered.
        """
        if not isinstance(page, dict):
            return _MALFORMED
        items, revision = page.get("items"), page.get("asOf")
        if not isinstance(items, list) or not isinstance(revision, int):
            return _MALFORMED
        if self._position is None:
            self._position = Position(epoch, revision)
        if self._position.epoch != epoch:
            return Err(DirectoryFault.RESTORED)
        self._items += items
        self._pages += 1
        if page.get("morePages") is not True:
            self._target = ""
            return Ok(None)
        last = items[-1] if items else None
        key = last.get("key") if isinstance(last, dict) else None
        if not isinstance(key, str) or self._pages >= MOST_PAGES:
            return _MALFORMED
        self._target = _after(self._path, key)
        return Ok(None)

    @property
    def items(self) -> list[Any]:
        """The items of all pages."""
        return self._items

    @property
    def position(self) -> Position:
        """How far the list is complete."""
        if self._position is None:
            raise ValueError("no page was read")
        return self._position

    def update(self) -> Update:
        """Returns what all pages tell; only after the last."""
        return read_items(
            self._items,
            self.position.revision,
            whole=True,
            epoch=self.position.epoch,
        )


def _after(path: str, key: str) -> str:
    # Loaded only where a list has a second page: the first packet of a VM
    # that starts waits for every module above.
    import urllib.parse

    return f"{path}&after=" + urllib.parse.quote(key, safe="")
