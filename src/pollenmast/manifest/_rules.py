"""Validation rules for scalar JSON values.

Each rule both validates a value and generates the value's JSON schema, so the
published schema cannot diverge from the validation.
"""

import abc
import enum
import ipaddress
import re

from pollenmast.manifest._faults import FaultList, format_value

MISSING = object()
"""Sentinel: the default of a required field, and the value of an absent one."""


class Rule(abc.ABC):
    """Base class: validates one JSON value and describes it."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Description of the allowed values, for operators."""

    @abc.abstractmethod
    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""

    @abc.abstractmethod
    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Validates a value and converts it to the type used by the model.

        Args:
            value: The decoded JSON value.
            path: Path of the value within the manifest, for fault messages.
            faults: Receives a fault for each violation.

        Returns:
            The converted value; only meaningful if no fault was added.
        """

    def _reject(self, value: object, path: str, faults: FaultList) -> None:
        faults.add(path, format_value(value), self.allowed)


class Integer(Rule):
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

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {
            "type": "integer",
            "minimum": self._minimum,
            "maximum": self._maximum,
        }

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the number, unchanged."""
        # bool is a subclass of int in Python, but `true` is not a JSON number.
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not self._minimum <= value <= self._maximum:
            self._reject(value, path, faults)
        return value


class String(Rule):
    """A string that matches a regular expression."""

    def __init__(self, pattern: str, description: str):
        self._pattern = re.compile(pattern, re.ASCII)
        self._description = description

    @property
    def allowed(self) -> str:
        """Description of the pattern."""
        return self._description

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "string", "pattern": f"^{self._pattern.pattern}$"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the string, unchanged."""
        if not isinstance(value, str) or not self._pattern.fullmatch(value):
            self._reject(value, path, faults)
        return value


class Address(Rule):
    """The IPv4 address of a single host."""

    @property
    def allowed(self) -> str:
        """Description of the allowed addresses."""
        return "the IPv4 number of one machine, such as 127.0.2.1"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "string", "format": "ipv4"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the address, unchanged."""
        if not isinstance(value, str) or not is_host_address(value):
            self._reject(value, path, faults)
        return value


class Boolean(Rule):
    """A boolean: `true` or `false`."""

    @property
    def allowed(self) -> str:
        """Description of both values."""
        return "true or false"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "boolean"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the boolean, unchanged."""
        if not isinstance(value, bool):
            self._reject(value, path, faults)
        return value


class Choice(Rule):
    """The value of one member of an enum."""

    def __init__(self, choices: type[enum.Enum]):
        self._choices = {choice.value: choice for choice in choices}

    @property
    def allowed(self) -> str:
        """Description of the enum's values."""
        return " or ".join(f'"{name}"' for name in self._choices)

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"enum": list(self._choices)}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the enum member with this value, or None."""
        if not isinstance(value, str) or value not in self._choices:
            self._reject(value, path, faults)
            return None
        return self._choices[value]


def is_host_address(text: str) -> bool:
    """Returns whether the text is the IPv4 address of a single host.

    Multicast, unspecified and limited broadcast addresses do not count as such.
    """
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    broadcast = address == ipaddress.IPv4Address("255.255.255.255")
    return not (address.is_multicast or address.is_unspecified or broadcast)
