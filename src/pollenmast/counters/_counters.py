"""Counter values: plain integers, present from the start with value 0."""

import enum

from pollenmast.counters import _catalogue as catalogue


class Counters:
    """The counters of one process."""

    def __init__(self):
        self._values = {
            (definition.name, reason): 0
            for definition in catalogue.CATALOGUE
            for reason in definition.reasons
        }

    def add(
        self,
        definition: catalogue.CounterDefinition,
        reason: enum.Enum | str = "",
        amount: int = 1,
    ) -> None:
        """Adds `amount` to a counter.

        Raises:
            KeyError: The catalogue does not list this reason, which is an
                error in the calling code.
        """
        text = reason.value if isinstance(reason, enum.Enum) else reason
        self._values[definition.name, text] += amount

    def value(
        self,
        definition: catalogue.CounterDefinition,
        reason: enum.Enum | str = "",
    ) -> int:
        """Returns the value of a counter for one reason."""
        text = reason.value if isinstance(reason, enum.Enum) else reason
        return self._values[definition.name, text]

    def items(self) -> list[tuple[str, str, int]]:
        """Returns (name, reason, value) of every counter, including zeros."""
        return [
            (name, reason, value)
            for (name, reason), value in self._values.items()
        ]
