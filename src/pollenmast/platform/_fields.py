"""Reads the fields of the platform's JSON objects."""

import json
from collections.abc import Iterator
from typing import Any

from pollenmast.counters import EntryFault
from pollenmast.steering import (
    InvalidEndpointError,
    RefusedEntry,
    is_integer,
    is_text,
    valid_host,
)

_MAX_REVISION = (1 << 63) - 1


class FieldError(ValueError):
    """A field is missing or its value is invalid.

    Attributes:
        fault: Why the entry is refused for it.
    """

    def __init__(self, field: str, fault: EntryFault = EntryFault.FIELD):
        super().__init__(field)
        self.fault = fault


def parse_object(value: bytes) -> dict[str, Any]:
    """Parses an object from JSON in UTF-8.

    Raises:
        FieldError: The value is of another type.
        ValueError: The bytes are no JSON or no UTF-8.
        RecursionError: The value is nested too deeply.
    """
    # Given bytes, `json.loads` would let encoded surrogates pass.
    return require_object(json.loads(value.decode()))


def is_revision(value: Any) -> bool:
    """Whether a value can be a revision of the store."""
    return is_integer(value, 0, _MAX_REVISION)


def require_object(value: Any) -> dict[str, Any]:
    """Returns the value if it is an object.

    Raises:
        FieldError: It is not.
    """
    if not isinstance(value, dict):
        raise FieldError("an object")
    return value


def read_objects(entry: dict[str, Any], field: str) -> Iterator[dict[str, Any]]:
    """Returns the objects of a list.

    Raises:
        FieldError: The field holds no list, or one of other values.
    """
    value = entry.get(field)
    if not isinstance(value, list):
        raise FieldError(field)
    return map(require_object, value)


def read_text(entry: dict[str, Any], field: str) -> str:
    """Returns a text that is not empty and that UTF-8 can encode.

    Raises:
        FieldError: The field holds no such text.
    """
    value = entry.get(field)
    if not value or not is_text(value):
        raise FieldError(field)
    return value


def read_integer(
    entry: dict[str, Any], field: str, minimum: int, maximum: int
) -> int:
    """Returns a whole number of a range.

    Raises:
        FieldError: The field holds no such number.
    """
    value = entry.get(field)
    if not is_integer(value, minimum, maximum):
        raise FieldError(field)
    return value


def read_number(entry: dict[str, Any], field: str, maximum: float) -> float:
    """Returns a number from 0 to a maximum, 0 if the field is absent.

    Raises:
        FieldError: The field holds something else.
    """
    value = entry.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(field)
    # This comparison is false for NaN too.
    if not 0 <= value <= maximum:
        raise FieldError(field)
    return float(value)


def parse_address(text: str) -> tuple[str, int]:
    """Parses an IPv4 address and a port separated by a colon.

    Raises:
        FieldError: The text is something else.
    """
    host, _, port = text.partition(":")
    return parse_host(host), parse_port(port)


def parse_host(text: str) -> str:
    """Parses an IPv4 address and returns it in its usual form.

    Raises:
        FieldError: The text is no address.
    """
    host = valid_host(text)
    if host is None:
        raise FieldError("address")
    return host


def parse_port(text: str) -> int:
    """Parses a port number.

    Raises:
        FieldError: The text is no port number.
    """
    if not (text.isascii() and text.isdigit() and 0 < int(text) < 1 << 16):
        raise FieldError("port")
    return int(text)


def refuse(what: str, error: Exception) -> RefusedEntry:
    """Returns the refusal of an entry.

    Args:
        what: The entry, for the log.
        error: Why it could not be parsed.
    """
    if isinstance(error, FieldError):
        reason = f"{error} is missing or not allowed"
        return RefusedEntry(error.fault, f"{what}: {reason}")
    if isinstance(error, InvalidEndpointError):
        reason = f"{error} is not allowed"
        return RefusedEntry(EntryFault.FIELD, f"{what}: {reason}")
    reason = f"{type(error).__name__} {error}"
    return RefusedEntry(EntryFault.UNREADABLE, f"{what}: {reason}")
