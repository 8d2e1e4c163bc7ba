"""What the store holds under a prefix, put together from its pages."""

from typing import Any

from pollenmast.platform._early import EVERYTHING_PATH
from pollenmast.platform._items import read_items
from pollenmast.steering import Update

MOST_PAGES = 1000
"""Pages read in a row; a store may give as few as 50 items in each."""


class Listing:
    """The pages of one list, one after the other.

    Pages are not one snapshot: the list is complete up to the revision of the
    first, and a watch from there repeats what came meanwhile.
    """

    def __init__(self, path: str = EVERYTHING_PATH):
        """Takes the path of the first page, by default of everything."""
        self._path = path
        self._items: list[Any] = []
        self._revision: int | None = None
        self._epoch = 0
        self._pages = 0
        self._target = path

    @property
    def target(self) -> str | None:
        """The path of the next page, None after the last."""
        return self._target or None

    def add(self, page: Any, epoch: int) -> bool:
        """Takes in a page; returns whether it is one.

        A list longer than `MOST_PAGES` is refused: taken as whole, it would
        remove the endpoints beyond it.

        Args:
            page: The body of the store's answer.
            epoch: Which copy of the store has answered.
        """
        if not isinstance(page, dict):
            return False
        items, revision = page.get("items"), page.get("asOf")
        if not isinstance(items, list) or not isinstance(revision, int):
            return False
        self._items += items
        self._pages += 1
        if self._revision is None:
            self._revision, self._epoch = revision, epoch
        if page.get("morePages") is not True:
            self._target = ""
            return True
        last = items[-1] if items else None
        key = last.get("key") if isinstance(last, dict) else None
        if not isinstance(key, str) or self._pages >= MOST_PAGES:
            return False
        self._target = _after(self._path, key)
        return True

    @property
    def items(self) -> list[Any]:
        """The items of all pages."""
        return self._items

    @property
    def revision(self) -> int:
        """The revision up to which the list is complete."""
        if self._revision is None:
            raise ValueError("no page was read")
        return self._revision

    @property
    def epoch(self) -> int:
        """Which copy of the store has listed it."""
        return self._epoch

    def update(self) -> Update:
        """Returns what all pages tell; only after the last."""
        return read_items(
            self._items, self.revision, whole=True, epoch=self._epoch
        )


def _after(path: str, key: str) -> str:
    # Loaded only where a list has a second page: the first packet of a VM
    # that starts waits for every module above.
    import urllib.parse

    return f"{path}&after=" + urllib.parse.quote(key, safe="")
