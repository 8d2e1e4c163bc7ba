"""Encodes endpoints and routes for another VM, as compressed msgpack.

When a configuration grows by a thousand routes, a reader sends them to each VM
of its availability zone. Uncompressed, the routes are 37 kB per VM: sending
them to 15 VMs occupies a link of 5 Mbit/s for 0.9 s, during which clients'
packets are lost. Host and service names repeat, so that compression reduces
this to a quarter.
"""

import zlib
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import msgpack
from result import Err, Ok, Result

from pollenmast.counters import EntryFault
from pollenmast.entry import _route_attributes as route_attributes
from pollenmast.entry._route_attributes import Attributes
from pollenmast.steering import (
    START_POSITION,
    Change,
    Endpoint,
    EndpointAnnounced,
    EndpointIdentity,
    EndpointRemoved,
    InvalidEndpointError,
    Position,
    RefusedEntry,
    Route,
    RoutesDelta,
    RoutesPublished,
    RouteTable,
    Steering,
    Update,
    Warmup,
    WeightedService,
    ZoneDrained,
    ZoneRestored,
    is_name,
)

Identify = Callable[[str], EndpointIdentity | None]

FORMAT = 6
"""Version of this format. Data in another version is rejected, and the VM asks
the directory instead."""

MAX_DECODED_BYTES = 8 << 20
"""Maximum size of a decompressed body: four times what 11,000 endpoints and
2,500 routes take, and little compared with the memory of a VM."""

MAX_EXTRA_BYTES = 256 << 10
"""Maximum size of what follows a body: the starts of 11,000 endpoints take up
to 99 kB, and hardly two of them share a token."""

_STARTS = ""
"""Key of the endpoints' starts among the ages; no endpoint has this name."""

_COMPRESSION_LEVEL = 1
"""Compression level of zlib. Compressing 47 kB takes 0.4 ms at this level; a
result that is smaller by a sixth would take 0.6 ms."""

_ANNOUNCED, _REMOVED, _ROUTES, _ROUTES_CHANGED = 1, 2, 3, 4
_DRAINED, _RESTORED = 5, 6


def encode(steering: Steering, after: Position = START_POSITION) -> bytes:
    """Encodes the changes after a position.

    Args:
        steering: The state to encode.
        after: The position that the receiver has reached.

    Returns:
        The changes, or the whole state where some of them are no longer known.
    """
    changes = changes_since(steering, after)
    complete = changes is None
    if changes is None:
        changes = _full_state(steering)
    epoch, revision = attrs.astuple(steering.position)
    body = (FORMAT, epoch, revision, complete, [_pack(c) for c in changes])
    data = zlib.compress(msgpack.packb(body), _COMPRESSION_LEVEL)
    # Older builds take only the ages from what follows the compressed body.
    extra: dict[str, Any] = dict(steering.catalog.owners.ages())
    starts = [
        change.endpoint.started_ms
        for change in changes
        if isinstance(change, EndpointAnnounced)
    ]
    if any(start is not None for start in starts):
        extra[_STARTS] = starts
    return data + msgpack.packb(extra) if extra else data


def encode_ages(steering: Steering) -> bytes:
    """Encodes an update without changes that tells who has shared tokens.

    Returns:
        The update; empty if no endpoints share a token, as is usual.
    """
    if not steering.catalog.owners.ages():
        return b""
    return encode(steering, steering.position)


def changes_since(
    steering: Steering, after: Position
) -> tuple[Change, ...] | None:
    """Returns the changes after a position, None if some are not known."""
    if not after.revision or after.epoch != steering.position.epoch:
        return None
    return steering.journal.since(after.revision)


def decode(
    data: bytes, identify: Identify | None = None
) -> Result[Update, str]:
    """Decodes the update that a peer has sent.

    The peer may be of a build that lets pass what this one refuses. Such an
    endpoint is refused here too; the rest of the update is used.

    Args:
        data: The encoded update.
        identify: Returns the identity of the endpoint of a name, None if no
            endpoint can have it. Without it, what the peer says is used.

    Returns:
        The update, or why it cannot be decoded.
    """
    try:
        inflater = zlib.decompressobj()
        body = inflater.decompress(data, MAX_DECODED_BYTES)
        if not inflater.eof:
            return Err("truncated, or too long when inflated")
        version, epoch, revision, complete, changes = msgpack.unpackb(body)
        if version != FORMAT or not _are_non_negative_ints(epoch, revision):
            return Err(
                f"unsupported format or invalid position: format {version!r}"
            )
        extra = _unpack_extra(inflater.unused_data)
        starts = extra.pop(_STARTS, None)
        unpacker = _Unpacker(
            identify, iter(starts if isinstance(starts, list) else ())
        )
        unpacked = [unpacker.unpack(*each) for each in changes]
        return Ok(
            Update(
                tuple(change for change in unpacked if change is not None),
                revision,
                complete is True,
                tuple(unpacker.refused),
                epoch=epoch,
                ages={
                    name: age
                    for name, age in extra.items()
                    if isinstance(name, str) and isinstance(age, int)
                },
            )
        )
    except (
        ValueError,
        TypeError,
        KeyError,
        zlib.error,
        msgpack.UnpackException,
    ) as error:
        return Err(f"{type(error).__name__}: {error}"[:120])


def _unpack_extra(data: bytes) -> dict[Any, Any]:
    """Returns what follows a body, nothing if it is malformed."""
    if not data or len(data) > MAX_EXTRA_BYTES:
        return {}
    try:
        extra = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        return {}
    return extra if isinstance(extra, dict) else {}


def _are_non_negative_ints(*values: Any) -> bool:
    return all(isinstance(value, int) and value >= 0 for value in values)


def _full_state(steering: Steering) -> list[Change]:
    changes: list[Change] = [
        EndpointAnnounced(record.announced, record.revision)
        for record in steering.catalog.records
        if record.announced is not None
    ]
    changes += [
        ZoneDrained(zone, revision)
        for zone, revision in steering.catalog.drains.confirmed.items()
    ]
    if steering.table is not None:
        changes.append(RoutesPublished(steering.table, steering.revision))
    return changes


def _pack(change: Change) -> tuple[Any, ...]:
    if isinstance(change, EndpointAnnounced):
        # The fields that the previous build decodes; `encode` adds the start.
        *fields, _ = attrs.astuple(change.endpoint)
        return _ANNOUNCED, change.revision, fields
    if isinstance(change, EndpointRemoved):
        return _REMOVED, change.revision, change.name
    if isinstance(change, RoutesDelta):
        return _ROUTES_CHANGED, change.revision, _pack_routes_changed(change)
    if isinstance(change, ZoneDrained):
        return _DRAINED, change.revision, change.zone
    if isinstance(change, ZoneRestored):
        return _RESTORED, change.revision, change.zone
    table = change.table
    routes = table.routes.values()
    fields = (
        table.version,
        [_pack_route(route) for route in routes],
        route_attributes.pack(table.health_paths, routes, table.max_conns),
        table.idle_timeout_s,
        _pack_warmups(table.warmups),
    )
    return _ROUTES, change.revision, fields


def _pack_routes_changed(change: RoutesDelta) -> tuple[Any, ...]:
    return (
        change.base,
        change.version,
        [_pack_route(route) for route in change.routes],
        change.removed,
        route_attributes.pack(
            change.health_paths, change.routes, change.max_conns
        ),
        change.idle_timeout_s,
        _pack_warmups(change.warmups),
    )


def _pack_route(route: Route) -> tuple[Any, ...]:
    """Returns the five fields of a route that the previous build decodes."""
    splits = [attrs.astuple(split) for split in route.splits]
    return route.name, route.host, route.port, splits, route.idempotent


@attrs.define
class _Unpacker:
    """Unpacks the changes of one update.

    Attributes:
        identify: See `decode`.
        starts: When the endpoints announced in the update started, in their
            order.
        refused: The endpoints that were refused so far.
    """

    identify: Identify | None
    starts: Iterator[Any]
    refused: list[RefusedEntry] = attrs.field(factory=list)

    def unpack(self, kind: int, revision: int, value: Any) -> Change | None:
        """Returns a change, None if it is refused.

        Args:
            kind: The kind of change.
            revision: The directory's revision of the change.
            value: The packed rest.
        """
        if not isinstance(revision, int):
            raise ValueError("revision is not an integer")
        if kind == _ANNOUNCED:
            return self._unpack_announced(revision, value)
        if kind == _REMOVED:
            return EndpointRemoved(_require_name(value), revision)
        if kind == _ROUTES:
            return RoutesPublished(_unpack_table(*value), revision)
        if kind == _ROUTES_CHANGED:
            return _unpack_routes_changed(*value, revision)
        if kind == _DRAINED:
            return ZoneDrained(_require_name(value), revision)
        if kind == _RESTORED:
            return ZoneRestored(_require_name(value), revision)
        raise ValueError(f"unknown kind of change: {kind!r}")

    def _unpack_announced(
        self, revision: int, value: Any
    ) -> EndpointAnnounced | None:
        name, number, token, *rest = value
        started_ms = next(self.starts, None)
        if self.identify is not None and isinstance(name, str):
            identity = self.identify(name)
            if identity is None:
                self._refuse(EntryFault.ID, f"{name}: id")
                return None
            number, token = identity.number, identity.token
        try:
            endpoint = Endpoint(
                name, number, token, *rest, started_ms=started_ms
            )
        except InvalidEndpointError as error:
            self._refuse(EntryFault.FIELD, f"{name}: {error}")
            return None
        return EndpointAnnounced(endpoint, revision)

    def _refuse(self, fault: EntryFault, description: str) -> None:
        self.refused.append(RefusedEntry(fault, description))


def _require_name(value: Any) -> str:
    if not is_name(value):
        raise ValueError("a name is no text of its length")
    return value


def _unpack_routes_changed(
    base: int,
    version: int,
    routes: list[Any],
    removed: list[Any],
    health_paths: dict[str, Any],
    idle_timeout_s: float,
    warmups: dict[str, Any],
    revision: int,
) -> RoutesDelta:
    if not isinstance(base, int) or not isinstance(version, int):
        raise ValueError("version is not an integer")
    removed_addresses = tuple((str(host), int(port)) for host, port in removed)
    paths, attributes = route_attributes.unpack(health_paths)
    changed = tuple(_unpack_route(attributes, *each) for each in routes)
    return RoutesDelta(
        base,
        version,
        changed,
        removed_addresses,
        paths,
        float(idle_timeout_s),
        _unpack_warmups(warmups),
        revision,
        attributes.max_conns,
    )


def _unpack_table(
    version: int,
    routes: list[Any],
    health_paths: dict[str, Any],
    idle_timeout_s: float,
    warmups: dict[str, Any],
) -> RouteTable:
    paths, attributes = route_attributes.unpack(health_paths)
    by_address = {}
    for each in routes:
        route = _unpack_route(attributes, *each)
        by_address[route.host, route.port] = route
    return RouteTable(
        version,
        by_address,
        paths,
        idle_timeout_s,
        _unpack_warmups(warmups),
        attributes.max_conns,
    )


def _pack_warmups(warmups: dict[str, Warmup]) -> dict[str, Any]:
    return {name: attrs.astuple(each) for name, each in warmups.items()}


def _unpack_warmups(warmups: dict[str, Any]) -> dict[str, Warmup]:
    return {
        str(name): Warmup(float(duration_s), float(flows_per_s))
        for name, (duration_s, flows_per_s) in warmups.items()
    }


def _unpack_route(
    attributes: Attributes,
    name: str,
    host: str,
    port: int,
    splits: list[Any],
    idempotent: bool,
) -> Route:
    services = tuple(WeightedService(*split) for split in splits)
    return attributes.add_to(Route(name, host, port, services, idempotent))
