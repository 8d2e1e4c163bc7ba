"""Rules for JSON lists and objects, built of the rules for single values."""

import json
from collections.abc import Callable

import attrs

from pollenmast.manifest._faults import FaultList, shown
from pollenmast.manifest._rules import MISSING, Rule

_MOST_KEY = 40
"""Characters of an unknown key that are shown."""


@attrs.frozen
class Field:
    """One key of an object.

    Attributes:
        name: The key, which is also the attribute's name.
        rule: What its value may be.
        meaning: What it means, for an operator.
        default: The value of a key left out, or MISSING when it must stand.
    """

    name: str
    rule: Rule
    meaning: str
    default: object = MISSING

    @property
    def required(self) -> bool:
        """Whether the key must stand."""
        return self.default is MISSING


class Object(Rule):
    """An object with known keys only, held as an attrs class."""

    def __init__(
        self, title: str, make: Callable[..., object], fields: tuple[Field, ...]
    ):
        self._title = title
        self._make = make
        self._fields = {field.name: field for field in fields}

    @property
    def title(self) -> str:
        """What the object stands for."""
        return self._title

    @property
    def fields(self) -> tuple[Field, ...]:
        """Its keys in their order."""
        return tuple(self._fields.values())

    @property
    def allowed(self) -> str:
        """That it is an object."""
        return f"an object ({self._title})"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        properties = {}
        for field in self.fields:
            properties[field.name] = {
                **field.rule.schema(),
                "description": field.meaning,
            }
            if isinstance(field.default, int | str):
                properties[field.name]["default"] = field.default
        return {
            "type": "object",
            "properties": properties,
            "required": [f.name for f in self.fields if f.required],
            "additionalProperties": False,
        }

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the attrs object, or None where a key is wrong."""
        if not isinstance(value, dict):
            self._refuse(value, path, faults)
            return None
        before = len(faults.faults)
        self._refuse_unknown(value, path, faults)
        values = {
            field.name: self._check_field(field, value, path, faults)
            for field in self.fields
        }
        if len(faults.faults) > before or faults.full:
            return None
        return self._make(
            **{k: v for k, v in values.items() if v is not MISSING}
        )

    def _refuse_unknown(
        self, value: dict[str, object], path: str, faults: FaultList
    ) -> None:
        names = ", ".join(self._fields)
        for key in value:
            if key not in self._fields:
                faults.add(path, f"unknown key {_short(key)}", names)

    def _check_field(
        self,
        field: Field,
        value: dict[str, object],
        path: str,
        faults: FaultList,
    ) -> object:
        inner = f"{path}.{field.name}" if path else field.name
        if field.name in value:
            return field.rule.check(value[field.name], inner, faults)
        if field.required:
            faults.add(inner, "nothing", field.rule.allowed)
        return MISSING


class Items(Rule):
    """A list with at least one item, whose items differ in some keys."""

    def __init__(self, item: Object, most: int, unique: tuple[str, ...]):
        self._item = item
        self._most = most
        self._unique = unique

    @property
    def item(self) -> Object:
        """What each item may be."""
        return self._item

    @property
    def unique(self) -> tuple[str, ...]:
        """The keys that no two items share."""
        return self._unique

    @property
    def allowed(self) -> str:
        """How many items."""
        return f"a list of 1 to {self._most} items"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {
            "type": "array",
            "items": self._item.schema(),
            "minItems": 1,
            "maxItems": self._most,
        }

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the items as a tuple."""
        if not isinstance(value, list) or not 1 <= len(value) <= self._most:
            self._refuse(value, path, faults)
            return ()
        items = tuple(
            self._item.check(item, f"{path}[{index}]", faults)
            for index, item in enumerate(value)
        )
        for key in self._unique:
            _refuse_twice(value, key, path, faults)
        return items


def _refuse_twice(
    items: list[object], key: str, path: str, faults: FaultList
) -> None:
    seen: dict[object, int] = {}
    for index, item in enumerate(items):
        value = item.get(key) if isinstance(item, dict) else None
        if not isinstance(value, int | str) or isinstance(value, bool):
            continue
        first = seen.setdefault(value, index)
        if first != index:
            faults.add(
                f"{path}[{index}].{key}",
                f"{shown(value)}, as {path}[{first}] has it",
                f"a {key} of its own",
            )


def _short(key: str) -> str:
    text = json.dumps(key)
    return text if len(text) <= _MOST_KEY else text[:_MOST_KEY] + "..."
