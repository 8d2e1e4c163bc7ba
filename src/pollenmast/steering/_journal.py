"""Keeps recent changes, so that a peer slightly behind is sent only those."""

import collections

from pollenmast.steering._changes import Change, Update

MAX_CHANGES = 256
"""The number of changes kept: some minutes of usual operation, or one second
of a large release. A peer further behind is sent a complete listing."""


class ChangeLog:
    """The most recent changes in order of revision, without gaps."""

    def __init__(self):
        self._changes: collections.deque[Change] = collections.deque()
        self._complete_after: int | None = None

    def add(self, update: Update, known: int) -> None:
        """Appends the changes of an update.

        The first update and each complete listing leave a gap in the sequence
        of changes, so the log starts anew after them.

        Args:
            update: An update from the directory or a peer.
            known: The revision known before; changes up to it are left out.
        """
        starts_anew = self._complete_after is None or update.complete
        if starts_anew:
            self._changes.clear()
            self._complete_after = update.revision
            return
        # Of a VM that catches up, the operator's entries come before events.
        self._changes.extend(
            sorted(
                (each for each in update.changes if each.revision > known),
                key=lambda each: each.revision,
            )
        )
        while len(self._changes) > MAX_CHANGES:
            self._complete_after = self._changes.popleft().revision

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Returns all changes after a revision.

        Returns:
            The changes, None if the log no longer holds all of them.
        """
        if self._complete_after is None or revision < self._complete_after:
            return None
        return tuple(c for c in self._changes if c.revision > revision)
