"""Rules for JSON values; each one both checks a value and describes it.

The published schema and the checks come from the same rules, so that they
cannot drift apart.
"""

import abc
import enum
import ipaddress
import re

from pollenmast.manifest._faults import FaultList, shown

MISSING = object()
"""Stands for the default of a field that must be given."""


class Rule(abc.ABC):
    """What one JSON value may be."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """What may stand here, in an operator's words."""

    @abc.abstractmethod
    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""

    @abc.abstractmethod
    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the value as the model holds it; adds what is wrong."""

    def _refuse(self, value: object, path: str, faults: FaultList) -> None:
        faults.add(path, shown(value), self.allowed)


class Whole(Rule):
    """A whole number between two bounds."""

    def __init__(self, least: int, most: int, what: str = "a whole number"):
        self._least = least
        self._most = most
        self._what = what

    @property
    def allowed(self) -> str:
        """The bounds."""
        return f"{self._what}, {self._least} to {self._most}"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {
            "type": "integer",
            "minimum": self._least,
            "maximum": self._most,
        }

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the number."""
        # A bool is an int in Python, but `true` is no number in JSON.
        number = isinstance(value, int) and not isinstance(value, bool)
        if not number or not self._least <= value <= self._most:
            self._refuse(value, path, faults)
        return value


class Text(Rule):
    """A string that matches a pattern."""

    def __init__(self, pattern: str, what: str):
        self._pattern = re.compile(pattern, re.ASCII)
        self._what = what

    @property
    def allowed(self) -> str:
        """What the pattern takes, in words."""
        return self._what

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "string", "pattern": f"^{self._pattern.pattern}$"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the string."""
        if not isinstance(value, str) or not self._pattern.fullmatch(value):
            self._refuse(value, path, faults)
        return value


class Address(Rule):
    """An IPv4 number of one machine."""

    @property
    def allowed(self) -> str:
        """Which IP numbers."""
        return "the IPv4 number of one machine, such as 127.0.2.1"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "string", "format": "ipv4"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the IP number."""
        if not isinstance(value, str) or not is_machine_address(value):
            self._refuse(value, path, faults)
        return value


class Flag(Rule):
    """`true` or `false`."""

    @property
    def allowed(self) -> str:
        """Both values."""
        return "true or false"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"type": "boolean"}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the flag."""
        if not isinstance(value, bool):
            self._refuse(value, path, faults)
        return value


class Choice(Rule):
    """One of an enum's values."""

    def __init__(self, choices: type[enum.Enum]):
        self._choices = {choice.value: choice for choice in choices}

    @property
    def allowed(self) -> str:
        """The values."""
        return " or ".join(f'"{name}"' for name in self._choices)

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {"enum": list(self._choices)}

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the enum's member."""
        if not isinstance(value, str) or value not in self._choices:
            self._refuse(value, path, faults)
            return None
        return self._choices[value]


def is_machine_address(text: str) -> bool:
    """Tells whether the text is the IPv4 number of one machine."""
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    broadcast = address == ipaddress.IPv4Address("255.255.255.255")
    return not (address.is_multicast or address.is_unspecified or broadcast)
