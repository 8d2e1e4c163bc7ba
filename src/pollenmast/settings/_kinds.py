"""Types of settings values: parsing, validation and description."""

import abc
import ipaddress
import re

from result import Err, Ok, Result

from pollenmast.settings import _key_files


class ValueType(abc.ABC):
    """Base class: parses the value of a key from text and describes it."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Description of the allowed values, for operators."""

    @abc.abstractmethod
    def read(self, text: str) -> Result[object, None]:
        """Returns the parsed value, or Err if the text is not allowed."""


class Integer(ValueType):
    """An integer between two inclusive bounds."""

    def __init__(
        self, minimum: int, maximum: int, description: str = "a whole number"
    ):
        self._minimum = minimum
        self._maximum = maximum
        self._description = description

    @property
    def allowed(self) -> str:
        """Description of the range."""
        return f"{self._description}, {self._minimum} to {self._maximum}"

    def read(self, text: str) -> Result[object, None]:
        """Returns the number."""
        # int() also accepts signs, underscores and non-ASCII digits.
        if not re.fullmatch(r"[0-9]{1,15}", text, re.ASCII):
            return Err(None)
        value = int(text)
        return (
            Ok(value) if self._minimum <= value <= self._maximum else Err(None)
        )


class Seconds(ValueType):
    """A duration in seconds between two inclusive bounds."""

    def __init__(self, minimum: float, maximum: float):
        self._minimum = minimum
        self._maximum = maximum

    @property
    def allowed(self) -> str:
        """Description of the range."""
        return f"seconds, {self._minimum:g} to {self._maximum:g}"

    def read(self, text: str) -> Result[object, None]:
        """Returns the duration in seconds."""
        if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text, re.ASCII):
            return Err(None)
        value = float(text)
        return (
            Ok(value) if self._minimum <= value <= self._maximum else Err(None)
        )


class Name(ValueType):
    """A name in the form used by the manifest and the platform."""

    @property
    def allowed(self) -> str:
        """Description of the allowed characters."""
        return (
            "1 to 63 of a-z, 0-9, dot and hyphen, "
            "first and last a letter or digit"
        )

    def read(self, text: str) -> Result[object, None]:
        """Returns the name."""
        pattern = r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?"
        return Ok(text) if re.fullmatch(pattern, text, re.ASCII) else Err(None)


class Address(ValueType):
    """The IPv4 address of a single host."""

    @property
    def allowed(self) -> str:
        """Description of the allowed addresses."""
        return "the IPv4 number of one machine, such as 127.0.1.1"

    def read(self, text: str) -> Result[object, None]:
        """Returns the address, unchanged."""
        try:
            address = ipaddress.IPv4Address(text)
        except ValueError:
            return Err(None)
        broadcast = address == ipaddress.IPv4Address("255.255.255.255")
        if address.is_multicast or address.is_unspecified or broadcast:
            return Err(None)
        return Ok(text)


class SocketAddresses(ValueType):
    """Comma-separated list of IP:PORT."""

    def __init__(self, max_count: int):
        self._max_count = max_count

    @property
    def allowed(self) -> str:
        """Description of the format."""
        return f"up to {self._max_count} of IP:PORT, separated by commas"

    def read(self, text: str) -> Result[object, None]:
        """Returns a tuple of (IP address, port) pairs."""
        parts = [part.strip() for part in text.split(",") if part.strip()]
        sockets = [socket_address(part) for part in parts]
        if len(parts) > self._max_count or None in sockets:
            return Err(None)
        return Ok(tuple(sockets))


class Path(ValueType):
    """The path of a key file."""

    @property
    def allowed(self) -> str:
        """Description of the file."""
        return _key_files.ALLOWED

    def read(self, text: str) -> Result[object, None]:
        """Returns the path, unchanged."""
        return Ok(text) if text and "\0" not in text else Err(None)


PORT = Integer(1, 65_535, "a port")


def socket_address(text: str) -> tuple[str, int] | None:
    """Parses IP:PORT into (IP address, port); returns None if it is invalid."""
    address, colon, port = text.rpartition(":")
    checked = Address().read(address)
    number = PORT.read(port)
    if not colon or checked.is_err() or number.is_err():
        return None
    return address, number.unwrap()
