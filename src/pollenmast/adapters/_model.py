"""The interface that each adapter implements."""

import abc

from result import Result

Rows = list[tuple[str, str]]
"""Pairs of a name and a value, in display order."""


class Adapter(abc.ABC):
    """Translates the formats of one deployment environment for display."""

    @abc.abstractmethod
    def settings(self, text: str) -> Result[Rows, str]:
        """Returns the effective values of a settings file, or its error."""

    @abc.abstractmethod
    def configuration(self, data: bytes) -> Result[Rows, str]:
        """Returns the content of an operator's configuration, or its error."""

    @abc.abstractmethod
    def packet(self, data: bytes) -> Result[Rows, str]:
        """Returns the content of a client's packet, or why it has none."""
