"""The configuration in force, and how news of it are taken in."""

from collections.abc import Iterable

from pollenmast.steering._changes import (
    Change,
    RoutesChanged,
    RoutesPublished,
)
from pollenmast.steering._model import RouteTable


class RouteBook:
    """The configuration of the greatest version that was told.

    Versions are the operator's own count: a directory restored from a copy
    that lists an older one takes nothing back.
    """

    def __init__(self):
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force."""
        return self._table

    def fits(self, changes: Iterable[Change]) -> bool:
        """Whether changes follow from the configuration in force."""
        version = self._table.version if self._table is not None else None
        for change in changes:
            if isinstance(change, RoutesPublished):
                version = max(version or 0, change.table.version)
            elif isinstance(change, RoutesChanged):
                if version is not None and change.version <= version:
                    continue
                if change.base != version:
                    return False
                version = change.version
        return True

    def take(self, change: Change) -> Change | None:
        """Takes in a configuration; returns a change as peers are told it."""
        old = self._table
        if isinstance(change, RoutesPublished):
            if old is not None and change.table.version <= old.version:
                return None
            self._table = change.table
            if old is None:
                return change
            return RoutesChanged.between(old, change.table, change.revision)
        if isinstance(change, RoutesChanged):
            if old is None or change.base != old.version:
                return None
            self._table = change.apply(old)
        return change
