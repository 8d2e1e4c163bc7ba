"""Validates the optional attributes of routes and services.

The attributes come from the operator's configuration or from another VM. An
invalid one counts as not stated: rejecting the configuration for it would keep
its routes from the clients, which need no attributes.
"""

from typing import Any

MAX_PRIORITY = 100
"""Largest priority, which is the least urgent."""

MAX_ROUTE_TIME_S = 3600
"""Longest target latency or timeout of a route in seconds."""

MAX_CONNS_LIMIT = 1 << 30
"""Largest limit of connections: more than any endpoint has, and small enough
for the encoding between VMs."""


def valid_priority(value: Any) -> int | None:
    """Returns a valid priority, None for any other value."""
    return _valid_int(value, 0, MAX_PRIORITY)


def valid_max_conns(value: Any) -> int | None:
    """Returns a valid limit of connections, None for any other value."""
    return _valid_int(value, 1, MAX_CONNS_LIMIT)


def valid_time_s(value_s: Any) -> float | None:
    """Returns a valid time of a route in seconds, None for any other value."""
    return _valid_time(value_s, 1)


def valid_time_ms(value_ms: Any) -> float | None:
    """Returns `valid_time_s` of a time that is stated in milliseconds."""
    return _valid_time(value_ms, 1000)


def _valid_time(value: Any, units_per_s: int) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    # This comparison is false for NaN too.
    if not 0 < value <= MAX_ROUTE_TIME_S * units_per_s:
        return None
    # The smallest floating-point numbers give 0 here.
    return value / units_per_s or None


def _valid_int(value: Any, minimum: int, maximum: int) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if minimum <= value <= maximum else None
