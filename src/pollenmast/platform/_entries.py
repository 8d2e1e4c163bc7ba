"""Entries of the platform's store, as endpoints and routes."""

import json
import zlib
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from pollenmast.steering import Endpoint, Route, RouteTable, Split, Warmup

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"

_TOKEN_BITS = 32
_STATES = ("ready", "draining")
_IDEMPOTENT_KINDS = ("idempotent", "download")
_MOST_DRAIN_BYTES = 64 << 10
"""Bytes of a drain's entry, of which nothing is read; a larger one is none."""

_MOST_WARM_S = 60.0
_MOST_SLOTS = 1024
_MOST_RATE = 1e6
"""New flows a second; more than any endpoint takes."""

_MOST_WARMUP_S = 3600.0

_HEX = frozenset("0123456789abcdefABCDEF")


class _FaultError(ValueError):
    """A field is missing, or says what it cannot say."""


def parse_endpoint(name: str, value: bytes) -> Result[Endpoint, str]:
    """Returns the endpoint that an entry names, or what is wrong with it."""
    try:
        entry = _object(json.loads(value))
        host, port = _address(_text(entry, "address"))
        state = _text(entry, "state")
        if state not in _STATES:
            raise _FaultError("state")
        number = _number(name)
        return Ok(
            Endpoint(
                name=name,
                number=number,
                token=_token(number),
                host=host,
                port=port,
                service=_text(entry, "service"),
                zone=_text(entry, "zone"),
                slots=_whole(entry, "slots", 1, _MOST_SLOTS),
                draining=state == "draining",
                # Milliseconds counted from the moment of the write.
                warm_in_s=min(
                    _whole(entry, "warmupLeftMs", 0, 1 << 40) / 1000.0,
                    _MOST_WARM_S,
                ),
            )
        )
    except (ValueError, RecursionError) as error:
        return Err(f"{name}: {_reason(error)}"[:120])


def parse_drain(zone: str, value: bytes) -> Result[str, str]:
    """Returns the availability zone that an entry drains, or its fault."""
    try:
        if not zone or not zone.isprintable():
            raise _FaultError("zone")
        if len(value) > _MOST_DRAIN_BYTES:
            raise _FaultError("size")
        _object(json.loads(value))
        return Ok(zone)
    except (ValueError, RecursionError) as error:
        return Err(f"drain of {zone!r}: {_reason(error)}"[:120])


def parse_configuration(value: bytes) -> Result[RouteTable, str]:
    """Returns the operator's configuration, or what is wrong with it."""
    try:
        root = _object(json.loads(value))
        entries = list(_objects(root, "services"))
        services = {
            _text(each, "name"): _text(each, "healthPath") for each in entries
        }
        routes = {}
        for each in _objects(root, "routeTable"):
            route = _route(each, services)
            routes[route.host, route.port] = route
        limits = _object(root.get("limits"))
        return Ok(
            RouteTable(
                version=_whole(root, "version", 0, 1 << 62),
                routes=routes,
                health_paths=services,
                idle_timeout_s=_whole(limits, "idleTimeoutMs", 1, 1 << 40)
                / 1000.0,
                warmups=_warmups(entries),
            )
        )
    except (ValueError, RecursionError) as error:
        return Err(f"configuration: {_reason(error)}"[:120])


def _reason(error: Exception) -> str:
    if isinstance(error, _FaultError):
        return f"{error} is missing or not allowed"
    return f"{type(error).__name__} {error}"


def _route(entry: dict[str, Any], services: dict[str, str]) -> Route:
    # `hostname` is an address, and `prefix` a port between slashes.
    host = _host(_text(entry, "hostname"))
    port = _port(_text(entry, "prefix").strip("/"))
    if "trafficSplit" in entry:
        splits = tuple(
            Split(_text(each, "service"), _whole(each, "weight", 0, 1 << 30))
            for each in _objects(entry, "trafficSplit")
        )
    else:
        splits = (Split(_text(entry, "service"), 1),)
    for split in splits:
        if split.service not in services:
            raise _FaultError("service")
    return Route(
        name=_text(entry, "name"),
        host=host,
        port=port,
        splits=tuple(split for split in splits if split.weight > 0),
        idempotent=_text(entry, "routeType") in _IDEMPOTENT_KINDS,
    )


def _warmups(services: list[dict[str, Any]]) -> dict[str, Warmup]:
    """Returns how the services start that state a rate for it.

    A rate of 0 is a limit as well: the endpoint bears nothing that is planned.
    """
    return {
        _text(each, "name"): Warmup(
            _quantity(each, "warmupS", _MOST_WARMUP_S),
            _quantity(each, "warmupPerS", _MOST_RATE),
        )
        for each in services
        if "warmupPerS" in each
    }


def _quantity(entry: dict[str, Any], field: str, most: float) -> float:
    value = entry.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _FaultError(field)
    # A number that is none is not in any order.
    if not 0 <= value <= most:
        raise _FaultError(field)
    return float(value)


def _number(name: str) -> int:
    digits = "".join(char for char in name.split("-")[-1] if char in _HEX)
    if not digits or len(digits) > 16:
        raise _FaultError("id")
    return int(digits, 16)


def _token(number: int) -> int:
    """Returns the 32 bits that name an endpoint; zero means none.

    Shorter names stand for themselves, so that no two share a token; longer
    ones are hashed, alike on every VM.
    """
    if 0 < number < 1 << _TOKEN_BITS:
        return number
    return zlib.crc32(number.to_bytes(8, "big")) or 1


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _FaultError("an object")
    return value


def _objects(entry: dict[str, Any], field: str) -> Iterator[dict[str, Any]]:
    value = entry.get(field)
    if not isinstance(value, list):
        raise _FaultError(field)
    return map(_object, value)


def _text(entry: dict[str, Any], field: str) -> str:
    value = entry.get(field)
    if not isinstance(value, str) or not value:
        raise _FaultError(field)
    return value


def _whole(entry: dict[str, Any], field: str, least: int, most: int) -> int:
    value = entry.get(field)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _FaultError(field)
    if not least <= value <= most:
        raise _FaultError(field)
    return value


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(":")
    return _host(host), _port(port)


def _host(text: str) -> str:
    parts = text.split(".")
    if len(parts) != 4 or not all(
        part.isascii() and part.isdigit() and int(part) < 256 for part in parts
    ):
        raise _FaultError("address")
    return ".".join(str(int(part)) for part in parts)


def _port(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 0 < int(text) < 1 << 16):
        raise _FaultError("port")
    return int(text)
