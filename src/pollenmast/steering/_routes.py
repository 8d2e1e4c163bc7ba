"""The route configuration in force and how updates are applied to it."""

from collections.abc import Iterable

import attrs

from pollenmast.steering._changes import (
    Change,
    RoutesDelta,
    RoutesPublished,
)
from pollenmast.steering._model import Route, RouteTable

_ATTRIBUTES = ("priority", "target_latency_s", "timeout_s")


class ActiveRoutes:
    """Holds the configuration with the highest version received.

    The operator assigns the versions. An older configuration listed by a
    directory that was restored from a copy therefore replaces nothing.
    """

    def __init__(self):
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force, None before the first."""
        return self._table

    def can_apply(self, changes: Iterable[Change]) -> bool:
        """Whether changes can be applied to the configuration in force."""
        version = self._table.version if self._table is not None else None
        for change in changes:
            if isinstance(change, RoutesPublished):
                version = max(version or 0, change.table.version)
            elif isinstance(change, RoutesDelta):
                if version is not None and change.version <= version:
                    continue
                if change.base != version:
                    return False
                version = change.version
        return True

    def apply(self, change: Change) -> Change | None:
        """Applies a change if it is one of the configuration.

        Returns:
            The change to forward to peers, a configuration as the difference
            where possible; None if the configuration is not newer or does not
            continue the one in force. Other changes are returned as they are.
        """
        old = self._table
        if isinstance(change, RoutesPublished):
            if old is not None and change.table.version <= old.version:
                if change.table.version == old.version:
                    self._table = _with_attributes(old, change.table)
                return None
            self._table = change.table
            if old is None:
                return change
            return RoutesDelta.between(old, change.table, change.revision)
        if isinstance(change, RoutesDelta):
            if old is None or change.base != old.version:
                return None
            self._table = change.apply(old)
        return change


def _with_attributes(old: RouteTable, same: RouteTable) -> RouteTable:
    """Fills in attributes that the known table lacks.

    A peer of a build that does not know them sends tables without them; the
    directory's table of the same version has them. Attributes are never
    removed, as such a peer may send its table later.
    """
    routes = {
        address: _fill(route, same.routes.get(address))
        for address, route in old.routes.items()
    }
    max_conns = {**same.max_conns, **old.max_conns}
    if routes == old.routes and max_conns == old.max_conns:
        return old
    return attrs.evolve(old, routes=routes, max_conns=max_conns)


def _fill(route: Route, same: Route | None) -> Route:
    if same is None:
        return route
    missing = {
        name: getattr(same, name)
        for name in _ATTRIBUTES
        if getattr(route, name) is None and getattr(same, name) is not None
    }
    return attrs.evolve(route, **missing) if missing else route
