"""Parses entries of the platform's store into endpoints and routes."""

import json
import zlib
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from pollenmast.steering import (
    Endpoint,
    Route,
    RouteTable,
    Warmup,
    WeightedService,
    valid_max_conns,
    valid_priority,
    valid_time_ms,
)

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"

_TOKEN_BITS = 32
_STATES = ("ready", "draining")
_IDEMPOTENT_ROUTE_TYPES = ("idempotent", "download")
_MAX_DRAIN_BYTES = 64 << 10
"""Largest value of a drain entry; a larger one is invalid.

Its fields are not used.
"""

_MAX_WARM_IN_S = 60.0
_MAX_SLOTS = 1024
_MAX_FLOWS_PER_S = 1e6
"""New flows per second; more than any endpoint accepts."""

_MAX_WARMUP_S = 3600.0

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

_T = TypeVar("_T")


class _FieldError(ValueError):
    """A field is missing or its value is invalid."""


def parse_endpoint(name: str, value: bytes) -> Result[Endpoint, str]:
    """Parses an endpoint's entry, or returns an error message."""
    try:
        entry = _require_object(json.loads(value))
        host, port = _parse_address(_str_field(entry, "address"))
        state = _str_field(entry, "state")
        if state not in _STATES:
            raise _FieldError("state")
        number = _endpoint_number(name)
        return Ok(
            Endpoint(
                name=name,
                number=number,
                token=_endpoint_token(number),
                host=host,
                port=port,
                service=_str_field(entry, "service"),
                zone=_str_field(entry, "zone"),
                slots=_int_field(entry, "slots", 1, _MAX_SLOTS),
                draining=state == "draining",
                # Milliseconds, counted from the time of the write.
                warmup_left_s=min(
                    _int_field(entry, "warmupLeftMs", 0, 1 << 40) / 1000.0,
                    _MAX_WARM_IN_S,
                ),
            )
        )
    except (ValueError, RecursionError) as error:
        return Err(f"{name}: {_describe_error(error)}"[:120])


def parse_drain(zone: str, value: bytes) -> Result[str, str]:
    """Returns the availability zone that an entry drains, or an error message.

    Args:
        zone: The zone in the entry's key.
        value: The entry's value, which must be a JSON object.
    """
    try:
        if not zone or not zone.isprintable():
            raise _FieldError("zone")
        if len(value) > _MAX_DRAIN_BYTES:
            raise _FieldError("size")
        _require_object(json.loads(value))
        return Ok(zone)
    except (ValueError, RecursionError) as error:
        return Err(f"drain of {zone!r}: {_describe_error(error)}"[:120])


@attrs.frozen
class Configuration:
    """The operator's configuration and the values ignored in it.

    Attributes:
        table: The configuration.
        ignored: A description of the invalid optional values of each field.
    """

    table: RouteTable
    ignored: tuple[str, ...]


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
            name = _str_field(entry, "name")
            self._ignored.setdefault(field, []).append(name)
        return value

    def describe_ignored(self) -> tuple[str, ...]:
        """Returns one line for each field with invalid values."""
        return tuple(
            f"configuration: {field} not allowed and ignored, {len(names)} "
            f"times, first in {names[0]!r}"[:120]
            for field, names in self._ignored.items()
        )


def parse_configuration(value: bytes) -> Result[RouteTable, str]:
    """Parses the operator's configuration, or returns an error message."""
    return parse_with_ignored(value).map(lambda parsed: parsed.table)


def parse_with_ignored(value: bytes) -> Result[Configuration, str]:
    """Parses the operator's configuration and lists the ignored values.

    An invalid optional value does not make the configuration invalid.
    """
    optional = _OptionalFields()
    try:
        root = _require_object(json.loads(value))
        entries = list(_object_list_field(root, "services"))
        services = {
            _str_field(each, "name"): _str_field(each, "healthPath")
            for each in entries
        }
        routes = {}
        for each in _object_list_field(root, "routeTable"):
            route = _parse_route(each, services, optional)
            routes[route.host, route.port] = route
        limits = _require_object(root.get("limits"))
        table = RouteTable(
            version=_int_field(root, "version", 0, 1 << 62),
            routes=routes,
            health_paths=services,
            idle_timeout_s=_int_field(limits, "idleTimeoutMs", 1, 1 << 40)
            / 1000.0,
            warmups=_parse_warmups(entries),
            max_conns=_parse_max_conns(entries, optional),
        )
        return Ok(Configuration(table, optional.describe_ignored()))
    except (ValueError, RecursionError) as error:
        return Err(f"configuration: {_describe_error(error)}"[:120])


def _describe_error(error: Exception) -> str:
    if isinstance(error, _FieldError):
        return f"{error} is missing or not allowed"
    return f"{type(error).__name__} {error}"


def _parse_route(
    entry: dict[str, Any], services: dict[str, str], optional: _OptionalFields
) -> Route:
    # `hostname` holds an IP address and `prefix` a port between slashes.
    host = _parse_host(_str_field(entry, "hostname"))
    port = _parse_port(_str_field(entry, "prefix").strip("/"))
    if "trafficSplit" in entry:
        splits = tuple(
            WeightedService(
                _str_field(each, "service"),
                _int_field(each, "weight", 0, 1 << 30),
            )
            for each in _object_list_field(entry, "trafficSplit")
        )
    else:
        splits = (WeightedService(_str_field(entry, "service"), 1),)
    for split in splits:
        if split.service not in services:
            raise _FieldError("service")
    return Route(
        name=_str_field(entry, "name"),
        host=host,
        port=port,
        splits=tuple(split for split in splits if split.weight > 0),
        idempotent=_str_field(entry, "routeType") in _IDEMPOTENT_ROUTE_TYPES,
        priority=optional.read(entry, "priority", valid_priority),
        target_latency_s=optional.read(entry, "targetLatencyMs", valid_time_ms),
        timeout_s=optional.read(entry, "timeoutMs", valid_time_ms),
    )


def _parse_max_conns(
    services: list[dict[str, Any]], optional: _OptionalFields
) -> dict[str, int]:
    """Returns the limit of connections of each service that states one."""
    limits = {
        _str_field(each, "name"): optional.read(
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
        _str_field(each, "name"): Warmup(
            _float_field(each, "warmupS", _MAX_WARMUP_S),
            _float_field(each, "warmupPerS", _MAX_FLOWS_PER_S),
        )
        for each in services
        if "warmupPerS" in each
    }


def _float_field(entry: dict[str, Any], field: str, maximum: float) -> float:
    value = entry.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _FieldError(field)
    # This comparison is false for NaN too.
    if not 0 <= value <= maximum:
        raise _FieldError(field)
    return float(value)


def _endpoint_number(name: str) -> int:
    digits = "".join(
        char for char in name.split("-")[-1] if char in _HEX_DIGITS
    )
    if not digits or len(digits) > 16:
        raise _FieldError("id")
    return int(digits, 16)


def _endpoint_token(number: int) -> int:
    """Returns the 32-bit token of an endpoint, which is never zero.

    A number that fits in 32 bits is its own token, so no two of those collide.
    Larger numbers are hashed, with the same result on every VM. Zero is
    reserved to mean that there is no token.
    """
    if 0 < number < 1 << _TOKEN_BITS:
        return number
    return zlib.crc32(number.to_bytes(8, "big")) or 1


def _require_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _FieldError("an object")
    return value


def _object_list_field(
    entry: dict[str, Any], field: str
) -> Iterator[dict[str, Any]]:
    value = entry.get(field)
    if not isinstance(value, list):
        raise _FieldError(field)
    return map(_require_object, value)


def _str_field(entry: dict[str, Any], field: str) -> str:
    value = entry.get(field)
    if not isinstance(value, str) or not value:
        raise _FieldError(field)
    return value


def _int_field(
    entry: dict[str, Any], field: str, minimum: int, maximum: int
) -> int:
    value = entry.get(field)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _FieldError(field)
    if not minimum <= value <= maximum:
        raise _FieldError(field)
    return value


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(":")
    return _parse_host(host), _parse_port(port)


def _parse_host(text: str) -> str:
    parts = text.split(".")
    if len(parts) != 4 or not all(
        part.isascii() and part.isdigit() and int(part) < 256 for part in parts
    ):
        raise _FieldError("address")
    return ".".join(str(int(part)) for part in parts)


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 0 < int(text) < 1 << 16):
        raise _FieldError("port")
    return int(text)
