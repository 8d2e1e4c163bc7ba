"""What a directory of endpoints and routes tells of itself."""

import abc
import enum

import attrs
from result import Result

from pollenmast.steering._model import Endpoint, Route, RouteTable, Warmup
from pollenmast.steering._position import Position

NOTHING_KNOWN = Position()
"""Before the first answer."""


class DirectoryFault(str, enum.Enum):
    """Why a directory gave nothing."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STATUS = "status"
    MALFORMED = "malformed"
    HISTORY_GONE = "history_gone"
    TOO_LONG = "too_long"
    """There is more news than is worth its transfer."""

    RESTORED = "restored"
    """The directory was restored from a copy: what it tells does not follow
    from what was known."""

    STALE = "stale"
    """The answer is older than what was known before the question."""


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


@attrs.frozen
class RoutesChanged:
    """The same as what differs from the version before.

    Load pattern: a configuration of hundreds of routes is published many
    times a second, each time with a route more or less. Told whole to every
    VM, it fills the links that carry the clients' packets.

    Attributes:
        base: The version that it changes.
        version: The version that results.
        routes: Routes that are new or different.
        removed: Addresses and ports of routes that are gone.
        health_paths: The path of each service's health check.
        idle_timeout_s: Idle flows older than this may be forgotten.
        warmups: How the endpoints of a service start.
        revision: The directory's count of changes at that write.
    """

    base: int
    version: int
    routes: tuple[Route, ...]
    removed: tuple[tuple[str, int], ...]
    health_paths: dict[str, str]
    idle_timeout_s: float
    warmups: dict[str, Warmup]
    revision: int

    @classmethod
    def between(
        cls, old: RouteTable, new: RouteTable, revision: int
    ) -> "RoutesChanged":
        """Returns what leads from one table to another."""
        changed = tuple(
            route
            for address, route in new.routes.items()
            if old.routes.get(address) != route
        )
        removed = tuple(a for a in old.routes if a not in new.routes)
        return cls(
            old.version,
            new.version,
            changed,
            removed,
            new.health_paths,
            new.idle_timeout_s,
            new.warmups,
            revision,
        )

    def apply(self, old: RouteTable) -> RouteTable:
        """Returns the table that results from the one it changes."""
        routes = dict(old.routes)
        for address in self.removed:
            routes.pop(address, None)
        for route in self.routes:
            routes[route.host, route.port] = route
        return RouteTable(
            self.version,
            routes,
            self.health_paths,
            self.idle_timeout_s,
            self.warmups,
        )


@attrs.frozen
class ZoneDrained:
    """The operator drains an availability zone.

    Attributes:
        zone: The zone whose endpoints take no new flows.
        revision: The directory's count of changes at that write.
    """

    zone: str
    revision: int


@attrs.frozen
class ZoneRestored:
    """The operator takes an availability zone back into service.

    Attributes:
        zone: The zone.
        revision: The directory's count of changes at the removal.
    """

    zone: str
    revision: int


Change = (
    EndpointAnnounced
    | EndpointRemoved
    | RoutesPublished
    | RoutesChanged
    | ZoneDrained
    | ZoneRestored
)


@attrs.frozen
class Update:
    """What a directory answered.

    Attributes:
        changes: Changes, the oldest first.
        revision: Up to which change the answer is complete.
        whole: Whether it lists everything, so that what it does not name no
            longer exists.
        refused: Entries and configurations that could not be understood.
        unclear_zones: Zones whose drain could not be understood; what was
            known of them before holds.
        all_drains: Whether it names every drained zone, so that the others
            are not drained.
        epoch: Which copy of the directory has answered. Revisions of
            different epochs cannot be compared.
    """

    changes: tuple[Change, ...]
    revision: int
    whole: bool = False
    refused: tuple[str, ...] = ()
    unclear_zones: tuple[str, ...] = ()
    all_drains: bool = False
    epoch: int = 0

    @property
    def position(self) -> Position:
        """How far it is complete."""
        return Position(self.epoch, self.revision)


class Directory(abc.ABC):
    """Where endpoints and routes are published; it can only be read."""

    @abc.abstractmethod
    async def read(
        self, known: Position = NOTHING_KNOWN
    ) -> Result[Update, DirectoryFault]:
        """Returns everything that is published now.

        Args:
            known: What is known already; an older answer is refused.
        """

    @abc.abstractmethod
    async def watch(
        self, after: Position, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Returns what changed after a position, or nothing in time."""

    @abc.abstractmethod
    async def catch_up(self, after: Position) -> Result[Update, DirectoryFault]:
        """Returns changes after a position, with the latest configuration.

        Configurations in between are left out, so that its length does not
        grow with their number.
        """
