"""The latest changes, so that a peer that is a little behind gets only them."""

import collections

from pollenmast.steering._changes import Change, Update

MOST_CHANGES = 256
"""Changes kept: some minutes of usual ones, a second of a great release. A
peer that is further behind is told everything."""


class Journal:
    """Changes in the order of their revisions, without a gap."""

    def __init__(self):
        self._changes: collections.deque[Change] = collections.deque()
        self._complete_after: int | None = None

    def add(self, update: Update, known: int) -> None:
        """Takes in an update.

        Args:
            update: What the directory or a peer told.
            known: The revision known before; a list of everything, or news
                from further on, leaves a gap and starts anew.
        """
        gap = self._complete_after is None or update.whole
        if gap:
            self._changes.clear()
            self._complete_after = update.revision
            return
        self._changes.extend(
            change for change in update.changes if change.revision > known
        )
        while len(self._changes) > MOST_CHANGES:
            self._complete_after = self._changes.popleft().revision

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Returns every change after a revision, None if some are gone."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        return tuple(c for c in self._changes if c.revision > revision)
