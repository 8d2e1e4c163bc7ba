"""Parses the operator's configuration into routes."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from pollenmast.counters import EntryFault
from pollenmast.platform._fields import (
    FieldError,
    parse_host,
    parse_object,
    parse_port,
    read_integer,
    read_number,
    read_objects,
    read_text,
    refuse,
    require_object,
)
from pollenmast.steering import (
    RefusedEntry,
    Route,
    RouteTable,
    Warmup,
    WeightedService,
    valid_max_conns,
    valid_priority,
    valid_time_ms,
)

_IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")
_MAX_FLOWS_PER_S = 1e6
"""New flows per second; more than any endpoint accepts."""

_MAX_WARMUP_S = 3600.0

_T = TypeVar("_T")


@attrs.frozen
class Configuration:
    """The operator's configuration and the values ignored in it.

    Attributes:
        table: The configuration.
        ignored: The invalid optional values, one refusal for each field.
    """

    table: RouteTable
    ignored: tuple[RefusedEntry, ...]


class _OptionalFields:
    """Reads optional fields and records their invalid values."""

    def __init__(self):
        self._ignored: dict[str, list[str]] = {}

    def read(
        self, entry: dict[str, Any], field: str, validate: Callable[[Any], _T]
    ) -> _T | None:
        """Returns the valid value, None if it is absent or invalid."""
        if field not in entry:
            return None
        value = validate(entry[field])
        if value is None:
            name = read_text(entry, "name")
            self._ignored.setdefault(field, []).append(name)
        return value

    def ignored(self) -> tuple[RefusedEntry, ...]:
        """Returns one refusal for each field with invalid values."""
        return tuple(
            RefusedEntry(
                EntryFault.IGNORED,
                f"configuration: {field} not allowed and ignored, {len(names)} "
                f"times, first in {names[0]!r}",
            )
            for field, names in self._ignored.items()
        )


def parse_configuration(value: bytes) -> Result[RouteTable, RefusedEntry]:
    """Parses the operator's configuration, or returns why it is refused."""
    return parse_with_ignored(value).map(lambda parsed: parsed.table)


def parse_with_ignored(value: bytes) -> Result[Configuration, RefusedEntry]:
    """Parses the operator's configuration and lists the ignored values.

    An invalid optional value does not make the configuration invalid.
    """
    optional = _OptionalFields()
    try:
        root = parse_object(value)
        entries = list(read_objects(root, "services"))
        services = {
            read_text(each, "name"): read_text(each, "healthPath")
            for each in entries
        }
        routes = {}
        for each in read_objects(root, "routeTable"):
            route = _parse_route(each, services, optional)
            routes[route.host, route.port] = route
        limits = require_object(root.get("limits"))
        table = RouteTable(
            version=read_integer(root, "version", 0, 1 << 62),
            routes=routes,
            health_paths=services,
            idle_timeout_s=read_integer(limits, "idleTimeoutMs", 1, 1 << 40)
            / 1000.0,
            warmups=_parse_warmups(entries),
            max_conns=_parse_max_conns(entries, optional),
        )
        return Ok(Configuration(table, optional.ignored()))
    except (ValueError, RecursionError) as error:
        return Err(refuse("configuration", error))


def _parse_route(
    entry: dict[str, Any], services: dict[str, str], optional: _OptionalFields
) -> Route:
    # `hostname` holds an IP address and `prefix` a port between slashes.
    host = parse_host(read_text(entry, "hostname"))
    port = parse_port(read_text(entry, "prefix").strip("/"))
    if "trafficSplit" in entry:
        splits = tuple(
            WeightedService(
                read_text(each, "service"),
                read_integer(each, "weight", 0, 1 << 30),
            )
            for each in read_objects(entry, "trafficSplit")
        )
    else:
        splits = (WeightedService(read_text(entry, "service"), 1),)
    for split in splits:
        if split.service not in services:
            raise FieldError("service")
    return Route(
        name=read_text(entry, "name"),
        host=host,
        port=port,
        splits=tuple(split for split in splits if split.weight > 0),
        idempotent=read_text(entry, "routeType") in _IDEMPOTENT_ROUTE_TYPES,
        priority=optional.read(entry, "priority", valid_priority),
        target_latency_s=optional.read(entry, "targetLatencyMs", valid_time_ms),
        timeout_s=optional.read(entry, "timeoutMs", valid_time_ms),
    )


def _parse_max_conns(
    services: list[dict[str, Any]], optional: _OptionalFields
) -> dict[str, int]:
    """Returns the limit of connections of each service that states one."""
    limits = {
        read_text(each, "name"): optional.read(
            each, "maxConns", valid_max_conns
        )
        for each in services
    }
    return {name: limit for name, limit in limits.items() if limit is not None}


def _parse_warmups(services: list[dict[str, Any]]) -> dict[str, Warmup]:
    """Returns the warm-up of each service that specifies a rate for it.

    A rate of 0 is a limit too: the endpoint can take no planned flows.
    """
    return {
        read_text(each, "name"): Warmup(
            read_number(each, "warmupS", _MAX_WARMUP_S),
            read_number(each, "warmupPerS", _MAX_FLOWS_PER_S),
        )
        for each in services
        if "warmupPerS" in each
    }
