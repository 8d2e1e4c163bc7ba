"""Validation rules for JSON objects and arrays, composed of other rules."""

import json
from collections.abc import Callable

import attrs

from pollenmast.manifest._faults import FaultList, format_value
from pollenmast.manifest._rules import MISSING, Rule

_MAX_KEY_CHARS = 40
"""Characters after which an unknown key is cut in a fault."""


@attrs.frozen
class Field:
    """One key of a JSON object.

    Attributes:
        name: The key; also the name of the attribute in the model.
        rule: Validates the value.
        meaning: Description for operators, published in the JSON schema.
        default: Default published in the JSON schema, None to publish none,
            or MISSING if the key is required. For an absent key the model
            applies its own default.
    """

    name: str
    rule: Rule
    meaning: str
    default: object = MISSING

    @property
    def required(self) -> bool:
        """Whether the key must be present."""
        return self.default is MISSING


class Object(Rule):
    """A JSON object without unknown keys, converted to an attrs class.

    Args:
        title: Name of the object, for descriptions.
        factory: Called with the values of the keys that are present, as
            keyword arguments.
        fields: The known keys.
    """

    def __init__(
        self,
        title: str,
        factory: Callable[..., object],
        fields: tuple[Field, ...],
    ):
        self._title = title
        self._factory = factory
        self._fields = {field.name: field for field in fields}

    @property
    def title(self) -> str:
        """Name of the object, for descriptions."""
        return self._title

    @property
    def fields(self) -> tuple[Field, ...]:
        """The known keys, in the order of their definition."""
        return tuple(self._fields.values())

    @property
    def allowed(self) -> str:
        """Description of the object."""
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
        """Returns the object that the factory builds, or None on a fault."""
        if not isinstance(value, dict):
            self._reject(value, path, faults)
            return None
        initial_count = len(faults.faults)
        self._reject_unknown_keys(value, path, faults)
        values = {
            field.name: self._check_field(field, value, path, faults)
            for field in self.fields
        }
        if len(faults.faults) > initial_count or faults.full:
            return None
        return self._factory(
            **{k: v for k, v in values.items() if v is not MISSING}
        )

    def _reject_unknown_keys(
        self, value: dict[str, object], path: str, faults: FaultList
    ) -> None:
        names = ", ".join(self._fields)
        for key in value:
            if key not in self._fields:
                faults.add(path, f"unknown key {_truncate(key)}", names)

    def _check_field(
        self,
        field: Field,
        value: dict[str, object],
        path: str,
        faults: FaultList,
    ) -> object:
        field_path = f"{path}.{field.name}" if path else field.name
        if field.name in value:
            return field.rule.check(value[field.name], field_path, faults)
        if field.required:
            faults.add(field_path, "nothing", field.rule.allowed)
        return MISSING


class Array(Rule):
    """A JSON array of 1 to `max_items` objects.

    Args:
        item: Validates each item.
        max_items: Maximum number of items.
        unique: Keys whose values must be unique across the items.
    """

    def __init__(self, item: Object, max_items: int, unique: tuple[str, ...]):
        self._item = item
        self._max_items = max_items
        self._unique = unique

    @property
    def item(self) -> Object:
        """Rule that validates each item."""
        return self._item

    @property
    def unique(self) -> tuple[str, ...]:
        """Keys whose values must be unique across the items."""
        return self._unique

    @property
    def allowed(self) -> str:
        """Description of the number of items."""
        return f"a list of 1 to {self._max_items} items"

    def schema(self) -> dict[str, object]:
        """Returns the rule as a JSON schema."""
        return {
            "type": "array",
            "items": self._item.schema(),
            "minItems": 1,
            "maxItems": self._max_items,
        }

    def check(self, value: object, path: str, faults: FaultList) -> object:
        """Returns the converted items, or () if the array itself is invalid."""
        if (
            not isinstance(value, list)
            or not 1 <= len(value) <= self._max_items
        ):
            self._reject(value, path, faults)
            return ()
        items = tuple(
            self._item.check(item, f"{path}[{index}]", faults)
            for index, item in enumerate(value)
        )
        for key in self._unique:
            _reject_duplicates(value, key, path, faults)
        return items


def _reject_duplicates(
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
                f"{format_value(value)}, as {path}[{first}] has it",
                f"a {key} of its own",
            )


def _truncate(key: str) -> str:
    text = json.dumps(key)
    return (
        text if len(text) <= _MAX_KEY_CHARS else text[:_MAX_KEY_CHARS] + "..."
    )
