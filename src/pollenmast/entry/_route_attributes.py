"""Encodes the attributes of routes and services between VMs.

A VM of the previous build rejects a route with more than five fields and a
table with more than five, but passes any map of health paths on as it is. The
attributes therefore travel in that map, under a key that names no service:

    {"": [max_conns, [[priority, target_s, timeout_s, {host: [port]}]]]}

Routes are named by address rather than by their place in the message, since a
VM of the previous build may send the map on with other routes: after it applied
a change, its map is that of the change and its routes are those of the table.
Routes with equal attributes share an item, as gossip is limited in bytes. Times
are in seconds, as in the table: converted, they would not always be the same,
and routes that did not change would be sent again.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from pollenmast.steering import (
    Route,
    valid_max_conns,
    valid_priority,
    valid_time_s,
)

_KEY = ""
"""The key in the map of health paths. Names of services are not empty."""

_Triple = tuple[int | None, float | None, float | None]
"""Priority, target latency and timeout; times in seconds."""

_NONE_STATED: _Triple = (None, None, None)


@attrs.frozen
class Attributes:
    """The attributes in a message.

    Attributes:
        of_routes: The attributes of the routes that state any, by address.
        max_conns: The limit of connections of each service that states one.
    """

    of_routes: dict[tuple[str, int], _Triple] = attrs.field(factory=dict)
    max_conns: dict[str, int] = attrs.field(factory=dict)

    def add_to(self, route: Route) -> Route:
        """Returns the route with its attributes."""
        triple = self.of_routes.get((route.host, route.port), _NONE_STATED)
        if triple == _NONE_STATED:
            return route
        priority, target_latency_s, timeout_s = triple
        return attrs.evolve(
            route,
            priority=priority,
            target_latency_s=target_latency_s,
            timeout_s=timeout_s,
        )


def pack(
    health_paths: dict[str, str],
    routes: Iterable[Route],
    max_conns: dict[str, int],
) -> dict[str, Any]:
    """Returns the health paths with the attributes added, if there are any.

    Args:
        health_paths: The path of each service's health check.
        routes: The routes in the message.
        max_conns: The limit of connections of each service that states one.
    """
    by_triple: dict[_Triple, dict[str, list[int]]] = {}
    for route in routes:
        triple = (route.priority, route.target_latency_s, route.timeout_s)
        if triple != _NONE_STATED:
            ports = by_triple.setdefault(triple, {}).setdefault(route.host, [])
            ports.append(route.port)
    if not by_triple and not max_conns:
        return health_paths
    items = [(*triple, addresses) for triple, addresses in by_triple.items()]
    return {**health_paths, _KEY: (max_conns, items)}


def unpack(packed_paths: Any) -> tuple[dict[str, str], Attributes]:
    """Returns the health paths and the attributes of a message.

    Malformed attributes count as not stated: the routes are more important.

    Raises:
        TypeError, ValueError: The health paths are not a map.
    """
    health_paths = dict(packed_paths)
    packed = health_paths.pop(_KEY, None)
    if not isinstance(packed, list) or len(packed) < 2:
        return health_paths, Attributes()
    return health_paths, Attributes(
        _unpack_routes(packed[1]), _unpack_max_conns(packed[0])
    )


def _unpack_max_conns(packed: Any) -> dict[str, int]:
    return {
        service: limit
        for service, limit in _as_dict(packed).items()
        if isinstance(service, str) and valid_max_conns(limit) is not None
    }


def _unpack_routes(items: Any) -> dict[tuple[str, int], _Triple]:
    of_routes: dict[tuple[str, int], _Triple] = {}
    for item in _as_list(items):
        if not isinstance(item, list) or len(item) < 4:
            continue
        priority, target_latency_s, timeout_s, addresses = item[:4]
        triple = (
            valid_priority(priority),
            valid_time_s(target_latency_s),
            valid_time_s(timeout_s),
        )
        for host, ports in _as_dict(addresses).items():
            for port in _as_list(ports):
                if isinstance(port, int):
                    of_routes[host, port] = triple
    return of_routes


def _as_dict(value: Any) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []
