"""Counting: plain integers that exist at zero from the start."""

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
        """Counts once more, or `amount` times.

        Raises:
            KeyError: The catalogue does not list this reason; a fault of the
                caller.
        """
        text = reason.value if isinstance(reason, enum.Enum) else reason
        self._values[definition.name, text] += amount

    def value(
        self,
        definition: catalogue.CounterDefinition,
        reason: enum.Enum | str = "",
    ) -> int:
        """Returns how often this was counted."""
        text = reason.value if isinstance(reason, enum.Enum) else reason
        return self._values[definition.name, text]

    def items(self) -> list[tuple[str, str, int]]:
        """Returns (name, reason, value) of every counter, zeros included."""
        return [(name, why, n) for (name, why), n in self._values.items()]
