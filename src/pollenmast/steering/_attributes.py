"""Validates values that come from the directory or from another VM.

An invalid optional attribute of a route or a service counts as not stated:
rejecting the configuration for it would keep its routes from the clients, which
need no attributes.
"""

from typing import Any

MAX_PRIORITY = 100
"""Largest priority, which is the least urgent."""

MAX_ROUTE_TIME_S = 3600
"""Longest target latency or timeout of a route in seconds."""

MAX_CONNS_LIMIT = 1 << 30
"""Largest limit of connections: more than any endpoint has, and small enough
for the encoding between VMs."""

MAX_TEXT_BYTES = 255
"""Longest name of an endpoint, a service or an availability zone, in UTF-8."""


def is_text(value: Any) -> bool:
    """Whether a value is a text that UTF-8 can encode.

    JSON can spell half of a surrogate pair, and Python keeps it. Such a text
    fails only when it is encoded, as for another VM.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_name(value: Any) -> bool:
    """Whether a value is a text of 1 to `MAX_TEXT_BYTES` bytes."""
    if not value or not is_text(value):
        return False
    return len(value.encode()) <= MAX_TEXT_BYTES


def is_integer(value: Any, minimum: int, maximum: int) -> bool:
    """Whether a value is a whole number of a range; a truth value is none."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return minimum <= value <= maximum


def valid_host(value: Any) -> str | None:
    """Returns an IPv4 address in its usual form, None for any other value."""
    if not isinstance(value, str):
        return None
    parts = value.split(".")
    if len(parts) != 4 or not all(
        part.isascii() and part.isdigit() and len(part) <= 3 for part in parts
    ):
        return None
    numbers = [int(part) for part in parts]
    if max(numbers) > 255:
        return None
    return ".".join(str(number) for number in numbers)


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
    return value if is_integer(value, minimum, maximum) else None
