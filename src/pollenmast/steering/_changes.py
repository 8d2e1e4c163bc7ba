"""Updates of the endpoint and route directory, and its interface."""

import abc
import enum

import attrs
from result import Result

from pollenmast.counters import EntryFault
from pollenmast.steering._model import Endpoint, Route, RouteTable, Warmup
from pollenmast.steering._position import Position

START_POSITION = Position()
"""The position before the first answer."""


class DirectoryFault(str, enum.Enum):
    """Why a request to the directory returned no update."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STATUS = "status"
    MALFORMED = "malformed"
    HISTORY_GONE = "history_gone"
    TOO_LONG = "too_long"
    """There are more changes than are worth transferring one by one."""

    RESTORED = "restored"
    """The directory was restored from a copy, so its changes do not continue
    the known state."""

    STALE = "stale"
    """The answer is older than the state known before the request."""


@attrs.frozen
class EndpointAnnounced:
    """An endpoint wrote its directory entry.

    Attributes:
        endpoint: The endpoint as described by the entry.
        revision: The directory's revision at that write.
        created: The directory's revision when the entry was created, None if
            not known.
    """

    endpoint: Endpoint
    revision: int
    created: int | None = None


@attrs.frozen
class EndpointRemoved:
    """An endpoint's entry was removed or no longer describes an endpoint.

    Attributes:
        name: The endpoint's name.
        revision: The directory's revision at the removal.
    """

    name: str
    revision: int


@attrs.frozen
class RoutesPublished:
    """The operator published a configuration.

    Attributes:
        table: The configuration.
        revision: The directory's revision at that write.
    """

    table: RouteTable
    revision: int


@attrs.frozen
class RoutesDelta:
    """A published configuration as the difference from its predecessor.

    A configuration of hundreds of routes may be published many times a second,
    each time with one route more or less. Sending all of it to every VM would
    saturate the links that carry the clients' packets.

    Attributes:
        base: The version that the difference applies to.
        version: The resulting version.
        routes: Routes that were added or changed.
        removed: Addresses and ports of the removed routes.
        health_paths: The path of each service's health check.
        idle_timeout_s: Flows idle for longer than this may be dropped from
            the flow table.
        warmups: The warm-up settings of each service that has any.
        revision: The directory's revision at that write.
        max_conns: The limit of connections of each service that states one.
    """

    base: int
    version: int
    routes: tuple[Route, ...]
    removed: tuple[tuple[str, int], ...]
    health_paths: dict[str, str]
    idle_timeout_s: float
    warmups: dict[str, Warmup]
    revision: int
    max_conns: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def between(
        cls, old: RouteTable, new: RouteTable, revision: int
    ) -> "RoutesDelta":
        """Returns the difference that turns `old` into `new`."""
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
            new.max_conns,
        )

    def apply(self, old: RouteTable) -> RouteTable:
        """Returns the table that results from applying this to `old`."""
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
            self.max_conns,
        )


@attrs.frozen
class ZoneDrained:
    """The operator drained an availability zone.

    Attributes:
        zone: The zone whose endpoints take no new flows.
        revision: The directory's revision at that write.
    """

    zone: str
    revision: int


@attrs.frozen
class ZoneRestored:
    """The operator returned an availability zone to service.

    Attributes:
        zone: The zone.
        revision: The directory's revision at the removal of the drain.
    """

    zone: str
    revision: int


Change = (
    EndpointAnnounced
    | EndpointRemoved
    | RoutesPublished
    | RoutesDelta
    | ZoneDrained
    | ZoneRestored
)


MAX_DESCRIPTION = 120
"""Maximum length of the description of a refused entry, in characters."""


def _shorten(text: str) -> str:
    return text.encode("ascii", "backslashreplace").decode()[:MAX_DESCRIPTION]


@attrs.frozen
class RefusedEntry:
    """An entry or a configuration, or a value in it, that is not used.

    Attributes:
        fault: Why it is not used.
        description: The key and the fault for the log, in ASCII and at most
            `MAX_DESCRIPTION` characters.
    """

    fault: EntryFault
    description: str = attrs.field(converter=_shorten)


@attrs.frozen
class Update:
    """An answer of the directory, or of a peer in its place.

    Attributes:
        changes: Changes, oldest first.
        revision: The revision up to which the answer is complete.
        complete: Whether this is a complete listing, so that anything not in it
            no longer exists.
        refused: The entries and configurations that are not used, and the
            values ignored in a configuration.
        unclear_zones: Zones whose drain entry could not be parsed; their
            known state stays in force.
        all_drains: Whether every drained zone is listed, so that all others
            are not drained.
        epoch: The directory's epoch. Revisions of different epochs cannot be
            compared.
        ages: The order of endpoints that share a token, from a peer; see
            `TokenOwners.ages`.
    """

    changes: tuple[Change, ...]
    revision: int
    complete: bool = False
    refused: tuple[RefusedEntry, ...] = ()
    unclear_zones: tuple[str, ...] = ()
    all_drains: bool = False
    epoch: int = 0
    ages: dict[str, int] = attrs.field(factory=dict)

    @property
    def position(self) -> Position:
        """The position up to which the update is complete."""
        return Position(self.epoch, self.revision)


class Directory(abc.ABC):
    """Read-only access to the directory of endpoints and routes."""

    @abc.abstractmethod
    async def read(
        self, known: Position = START_POSITION
    ) -> Result[Update, DirectoryFault]:
        """Returns a complete listing.

        Args:
            known: The position known so far; an older answer is rejected.
        """

    @abc.abstractmethod
    async def watch(
        self, after: Position, wait_s: float
    ) -> Result[Update, DirectoryFault]:
        """Waits for changes after a position.

        Args:
            after: The position known so far.
            wait_s: The longest wait in seconds.

        Returns:
            The changes; an update without any if none came in time.
        """

    @abc.abstractmethod
    async def catch_up(self, after: Position) -> Result[Update, DirectoryFault]:
        """Returns the changes after a position and the latest configuration.

        Intermediate configurations are omitted, so the answer's size does not
        grow with their number.
        """
