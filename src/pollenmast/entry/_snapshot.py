"""What one VM tells another of endpoints and routes, as msgpack."""

from typing import Any

import attrs
import msgpack
from result import Err, Ok, Result

from pollenmast.steering import (
    Endpoint,
    EndpointAnnounced,
    Presence,
    Route,
    RoutesPublished,
    RouteTable,
    Split,
    Steering,
    Update,
)

FORMAT = 1
"""Number of this format; another one is refused, and the directory asked."""


def encode(steering: Steering) -> bytes:
    """Returns everything that this VM believes to be published."""
    endpoints = [
        (record.revision, *attrs.astuple(record.endpoint))
        for record in steering.catalog.records
        if record.presence is Presence.LISTED
    ]
    table = steering.table
    routes = [attrs.astuple(route) for route in table.routes.values()]
    body = (
        FORMAT,
        steering.revision,
        (table.version, routes, table.health_paths, table.idle_timeout_s),
        endpoints,
    )
    return msgpack.packb(body)


def decode(data: bytes) -> Result[Update, str]:
    """Returns what a peer has told, or what is wrong with it."""
    try:
        number, revision, table, endpoints = msgpack.unpackb(data)
        if number != FORMAT or not isinstance(revision, int):
            return Err(f"format {number!r}")
        published = RoutesPublished(_table(*table), revision)
        announced = tuple(_endpoint(*each) for each in endpoints)
        return Ok(Update((published, *announced), revision, whole=True))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Err(f"{type(error).__name__}: {error}"[:120])


def _table(
    version: int, routes: list[Any], paths: dict[str, str], idle_s: float
) -> RouteTable:
    by_address = {}
    for each in routes:
        route = _route(*each)
        by_address[route.host, route.port] = route
    return RouteTable(version, by_address, paths, idle_s)


def _route(
    name: str, host: str, port: int, splits: list[Any], idempotent: bool
) -> Route:
    return Route(name, host, port, tuple(Split(*s) for s in splits), idempotent)


def _endpoint(revision: int, *fields: Any) -> EndpointAnnounced:
    return EndpointAnnounced(Endpoint(*fields), revision)
