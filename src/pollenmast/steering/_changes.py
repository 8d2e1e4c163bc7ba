"""What a directory of endpoints and routes tells of itself."""

import abc
import enum

import attrs
from result import Result

from pollenmast.steering._model import Endpoint, RouteTable


class DirectoryFault(str, enum.Enum):
    """Why a directory gave nothing."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STATUS = "status"
    MALFORMED = "malformed"
    HISTORY_GONE = "history_gone"


@attrs.frozen
class EndpointAnnounced:
    """An endpoint wrote its entry.

    Attributes:
        endpoint: What it says of itself.
        revision: The directory's count of changes at that write.
    """

    endpoint: Endpoint
    revision: int


@attrs.frozen
class EndpointRemoved:
    """An endpoint's entry is gone, or no longer names an endpoint.

    Attributes:
        name: The endpoint's name.
        revision: The directory's count of changes at the removal.
    """

    name: str
    revision: int


@attrs.frozen
class RoutesPublished:
    """The operator published a configuration.

    Attributes:
        table: The configuration.
        revision: The directory's count of changes at that write.
    """

    table: RouteTable
    revision: int


Change = EndpointAnnounced | EndpointRemoved | RoutesPublished


@attrs.frozen
class Update:
    """What a directory answered.

    Attributes:
        changes: Changes, the oldest first.
        revision: Up to which change the answer is complete.
        whole: Whether it lists everything, so that what it does not name no
            longer exists.
        refused: Entries and configurations that could not be understood.
    """

    changes: tuple[Change, ...]
    revision: int
    whole: bool = False
    refused: tuple[str, ...] = ()


class Directory(abc.ABC):
    """Where endpoints and routes are published; it can only be read."""

    @abc.abstractmethod
    async def read(self) -> Result[Update, DirectoryFault]:
        """Returns everything that is published now."""

    @abc.abstractmethod
    async def watch(
        self, after: int, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Returns what changed after a revision, or nothing in time."""
