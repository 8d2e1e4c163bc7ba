"""Keeps recent changes, so that a peer slightly behind is sent only those."""

import collections
import sys
from collections.abc import Iterable

from pollenmast.steering._changes import (
    Change,
    EndpointAnnounced,
    RoutesDelta,
    RoutesPublished,
    Update,
)
from pollenmast.steering._model import Route

MAX_CHANGES = 256
"""The number of changes kept: some minutes of usual operation, or one second
of a large release. A peer further behind is sent a complete listing."""

MAX_BYTES = 4 << 20
"""Limit on the memory of the changes kept, in bytes: those of some thousand
routes. A configuration alone may have more than that."""

_BASE_BYTES = 256
_ENDPOINT_BYTES = 1024
"""About what an endpoint takes with its texts, which are short."""

_ROUTE_BYTES = 512


class ChangeLog:
    """The most recent changes in order of revision, without gaps."""

    def __init__(self):
        self._changes: collections.deque[Change] = collections.deque()
        self._sizes: collections.deque[int] = collections.deque()
        self._bytes = 0
        self._complete_after: int | None = None

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the changes in bytes."""
        return self._bytes

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
            self._sizes.clear()
            self._bytes = 0
            self._complete_after = update.revision
            return
        for change in sorted(update.changes, key=lambda each: each.revision):
            if change.revision > known:
                self._append(change)
        while len(self._changes) > MAX_CHANGES or self._bytes > MAX_BYTES:
            self._bytes -= self._sizes.popleft()
            # Changes of one revision are sent all or none.
            revision = self._changes.popleft().revision
            self._complete_after = max(self._complete_after, revision)

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Returns all changes after a revision.

        Returns:
            The changes, None if the log no longer holds all of them.
        """
        if self._complete_after is None or revision < self._complete_after:
            return None
        return tuple(c for c in self._changes if c.revision > revision)

    def _append(self, change: Change) -> None:
        size = _size(change)
        self._changes.append(change)
        self._sizes.append(size)
        self._bytes += size


def _size(change: Change) -> int:
    """Returns about how many bytes of memory a change takes."""
    if isinstance(change, EndpointAnnounced):
        return _ENDPOINT_BYTES
    if isinstance(change, RoutesPublished):
        table = change.table
        routes, paths = table.routes.values(), table.health_paths
    elif isinstance(change, RoutesDelta):
        routes, paths = change.routes, change.health_paths
        removed = _BASE_BYTES * len(change.removed)
        return _BASE_BYTES + removed + _routes_size(routes, paths)
    else:
        return _BASE_BYTES
    return _BASE_BYTES + _routes_size(routes, paths)


def _routes_size(routes: Iterable[Route], paths: dict[str, str]) -> int:
    texts = [text for pair in paths.items() for text in pair]
    size = 0
    for route in routes:
        size += _ROUTE_BYTES
        texts.append(route.name)
        texts += [split.service for split in route.splits]
    return size + sum(map(sys.getsizeof, texts))
