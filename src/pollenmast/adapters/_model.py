"""What an adapter tells a person about its place's formats."""

import abc

from result import Result

Rows = list[tuple[str, str]]
"""What was read: names and values, in the order to be shown."""


class Adapter(abc.ABC):
    """The formats of one place, in pollenmast's own words."""

    @abc.abstractmethod
    def settings(self, text: str) -> Result[Rows, str]:
        """Returns a settings file's values in force, or its fault."""

    @abc.abstractmethod
    def configuration(self, data: bytes) -> Result[Rows, str]:
        """Returns what an operator's configuration says, or its fault."""

    @abc.abstractmethod
    def packet(self, data: bytes) -> Result[Rows, str]:
        """Returns what a client's packet says, or why it says nothing."""
