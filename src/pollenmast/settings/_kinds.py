"""Kinds of settings values: how each is read from text and described."""

import abc
import ipaddress
import re

from result import Err, Ok, Result

from pollenmast.settings import _key_files


class Kind(abc.ABC):
    """What one key's value may be."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """What may stand here, in an operator's words."""

    @abc.abstractmethod
    def read(self, text: str) -> Result[object, None]:
        """Returns the value, or Err where it is not allowed."""


class Whole(Kind):
    """A whole number between two bounds."""

    def __init__(self, least: int, most: int, what: str = "a whole number"):
        self._least = least
        self._most = most
        self._what = what

    @property
    def allowed(self) -> str:
        """The bounds."""
        return f"{self._what}, {self._least} to {self._most}"

    def read(self, text: str) -> Result[object, None]:
        """Returns the number."""
        # int() takes signs, underscores and other scripts' digits as well.
        if not re.fullmatch(r"[0-9]{1,15}", text, re.ASCII):
            return Err(None)
        value = int(text)
        return Ok(value) if self._least <= value <= self._most else Err(None)


class Seconds(Kind):
    """A time in seconds between two bounds."""

    def __init__(self, least: float, most: float):
        self._least = least
        self._most = most

    @property
    def allowed(self) -> str:
        """The bounds."""
        return f"seconds, {self._least:g} to {self._most:g}"

    def read(self, text: str) -> Result[object, None]:
        """Returns the seconds."""
        if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text, re.ASCII):
            return Err(None)
        value = float(text)
        return Ok(value) if self._least <= value <= self._most else Err(None)


class Name(Kind):
    """A name as the manifest and the platform write it."""

    @property
    def allowed(self) -> str:
        """The letters."""
        return (
            "1 to 63 of a-z, 0-9, dot and hyphen, "
            "first and last a letter or digit"
        )

    def read(self, text: str) -> Result[object, None]:
        """Returns the name."""
        pattern = r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?"
        return Ok(text) if re.fullmatch(pattern, text, re.ASCII) else Err(None)


class Address(Kind):
    """An IPv4 number of one machine."""

    @property
    def allowed(self) -> str:
        """Which IP numbers."""
        return "the IPv4 number of one machine, such as 127.0.1.1"

    def read(self, text: str) -> Result[object, None]:
        """Returns the IP number."""
        try:
            address = ipaddress.IPv4Address(text)
        except ValueError:
            return Err(None)
        broadcast = address == ipaddress.IPv4Address("255.255.255.255")
        if address.is_multicast or address.is_unspecified or broadcast:
            return Err(None)
        return Ok(text)


class Sockets(Kind):
    """IP numbers with ports, separated by commas."""

    def __init__(self, most: int):
        self._most = most

    @property
    def allowed(self) -> str:
        """The form."""
        return f"up to {self._most} of IP:PORT, separated by commas"

    def read(self, text: str) -> Result[object, None]:
        """Returns the pairs of IP number and port."""
        parts = [part.strip() for part in text.split(",") if part.strip()]
        sockets = [socket_address(part) for part in parts]
        if len(parts) > self._most or None in sockets:
            return Err(None)
        return Ok(tuple(sockets))


class Path(Kind):
    """The path of a file."""

    @property
    def allowed(self) -> str:
        """That it is a path."""
        return _key_files.ALLOWED

    def read(self, text: str) -> Result[object, None]:
        """Returns the path."""
        return Ok(text) if text and "\0" not in text else Err(None)


PORT = Whole(1, 65_535, "a port")


def socket_address(text: str) -> tuple[str, int] | None:
    """Returns the IP number and port of IP:PORT, or None."""
    address, colon, port = text.rpartition(":")
    checked = Address().read(address)
    number = PORT.read(port)
    if not colon or checked.is_err() or number.is_err():
        return None
    return address, number.unwrap()
