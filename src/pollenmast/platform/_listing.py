"""Assembles a list of the store's items from its pages."""

from typing import Any

from result import Err, Ok, Result

from pollenmast.platform._early import LIST_ALL_PATH
from pollenmast.platform._fields import is_revision
from pollenmast.platform._items import parse_items
from pollenmast.steering import DirectoryFault, Position, Update

MAX_PAGES = 1000
"""Most pages of one list; a store may return as few as 50 items per page."""


_MALFORMED = Err(DirectoryFault.MALFORMED)


class Listing:
    """A list of items that is read page by page.

    The pages are not one snapshot. The list is complete up to the revision of
    its first page; a watch from that revision repeats all later changes.
    """

    def __init__(self, path: str = LIST_ALL_PATH):
        """Starts an empty list.

        Args:
            path: The path of the first page, by default that of all keys.
        """
        self._path = path
        self._items: list[Any] = []
        self._position: Position | None = None
        self._pages = 0
        self._next_path = path

    @property
    def next_path(self) -> str | None:
        """The path of the next page, or None after the last one."""
        return self._next_path or None

    def add(self, page: Any, epoch: int) -> Result[None, DirectoryFault]:
        """Adds the next page.

        Args:
            page: The parsed body of the store's response.
            epoch: The store's epoch in that response.

        Returns:
            The fault that makes the list unusable, if any. A list of more than
            `MAX_PAGES` pages is malformed: treated as complete, it would
            remove the endpoints on the pages after that. A list whose pages
            are of different epochs is unusable too.
        """
        if not isinstance(page, dict):
            return _MALFORMED
        items, revision = page.get("items"), page.get("asOf")
        if not isinstance(items, list) or not is_revision(revision):
            return _MALFORMED
        if self._position is None:
            self._position = Position(epoch, revision)
        if self._position.epoch != epoch:
            return Err(DirectoryFault.RESTORED)
        self._items += items
        self._pages += 1
        if page.get("morePages") is not True:
            self._next_path = ""
            return Ok(None)
        last = items[-1] if items else None
        key = last.get("key") if isinstance(last, dict) else None
        if not isinstance(key, str) or self._pages >= MAX_PAGES:
            return _MALFORMED
        self._next_path = _next_page_path(self._path, key)
        return Ok(None)

    @property
    def items(self) -> list[Any]:
        """The items of all pages added so far."""
        return self._items

    @property
    def position(self) -> Position:
        """The position up to which the list is complete.

        Raises:
            ValueError: No page has been added.
        """
        if self._position is None:
            raise ValueError("no page was read")
        return self._position

    def to_update(self) -> Update:
        """Converts the list to an update; valid only after the last page."""
        return parse_items(
            self._items,
            self.position.revision,
            complete=True,
            epoch=self.position.epoch,
        )


def _next_page_path(path: str, key: str) -> str:
    # Imported only for lists with a second page: every module-level import
    # delays the first packet of a VM that starts.
    import urllib.parse

    # A key need not be valid Unicode; the page after it has valid ones.
    quoted = urllib.parse.quote(key, safe="", errors="surrogatepass")
    return f"{path}&after={quoted}"
