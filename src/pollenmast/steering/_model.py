"""The steering core's data model: segments, endpoints and routes."""

import math
import sys
import zlib
from typing import Any

import attrs

from pollenmast.steering._attributes import is_integer, is_name, valid_host

MAX_SLOTS = 1024
"""Most requests that an endpoint may state to process concurrently."""

_MAX_PORT = (1 << 16) - 1
_MAX_NUMBER = (1 << 64) - 1
_MAX_TOKEN = (1 << 32) - 1
_MAX_STARTED_MS = (1 << 63) - 1

NO_START_STATED = -1
"""The start of an endpoint whose entry does not say when it started."""


class InvalidEndpointError(ValueError):
    """A field of an endpoint has an invalid value; the text names the field."""


@attrs.frozen
class EndpointIdentity:
    """What identifies an endpoint in packets.

    Attributes:
        number: The name as a number, which precedes each datagram sent to the
            endpoint; never 0, which would address any endpoint.
        token: The 32-bit value in its clients' packets; never 0.
    """

    number: int
    token: int


@attrs.frozen(cache_hash=True)
class FlowKey:
    """The addresses and ports that identify a flow.

    Attributes:
        client_host: The client's address in dotted notation.
        client_port: The client's port.
        service_host: The destination address of the client's packets.
        service_port: The destination port of the client's packets.
    """

    client_host: str
    client_port: int
    service_host: str
    service_port: int

    @property
    def digest(self) -> int:
        """A hash that, unlike `hash`, is the same on every VM."""
        text = (
            f"{self.client_host}:{self.client_port}"
            f">{self.service_host}:{self.service_port}"
        )
        return zlib.crc32(text.encode())

    def __str__(self) -> str:
        return (
            f"{self.client_host}:{self.client_port}"
            f">{self.service_host}:{self.service_port}"
        )


@attrs.define(eq=False)
class Segment:
    """A decoded datagram of a client.

    Attributes:
        flow: The flow that it belongs to.
        syn: Whether it opens the flow.
        fin: Whether the client has finished sending.
        rst: Whether the client aborts the flow.
        token: The token of the flow's endpoint, 0 on a SYN.
        sequence: The sequence number of the first byte of data.
        acknowledged: The sequence number up to which the client has received.
        syn_copies: How many times the SYN was sent before.
        length: Length of the data in bytes.
        datagram: The datagram as received.
    """

    flow: FlowKey
    syn: bool
    fin: bool
    rst: bool
    token: int
    sequence: int
    acknowledged: int
    syn_copies: int
    length: int
    datagram: bytes


def _intern(value: Any) -> Any:
    """Returns the one copy of a text that many endpoints have."""
    return sys.intern(value) if type(value) is str else value


def _named(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if not is_name(value):
        raise InvalidEndpointError(attribute.name)


def _within(minimum: int, maximum: int) -> Any:
    def check(_: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not is_integer(value, minimum, maximum):
            raise InvalidEndpointError(attribute.name)

    return check


def _address(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if value is None or valid_host(value) != value:
        raise InvalidEndpointError(attribute.name)


def _flag(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if not isinstance(value, bool):
        raise InvalidEndpointError(attribute.name)


def _start(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    if value is not None:
        _within(NO_START_STATED, _MAX_STARTED_MS)(_, attribute, value)


def _duration(_: Any, attribute: attrs.Attribute, value: Any) -> None:
    known = isinstance(value, int | float) and not isinstance(value, bool)
    if not known or not 0 <= value < math.inf:
        raise InvalidEndpointError(attribute.name)


@attrs.frozen
class Endpoint:
    """An upstream process as described by its directory entry.

    Its description comes from other writers, through the directory or through
    another VM, so each field is checked: there is no invalid endpoint.

    Attributes:
        name: The name, unique to one start of the process.
        number: See `EndpointIdentity`.
        token: See `EndpointIdentity`.
        host: Its address.
        port: Its port for both datagrams and health checks.
        service: The service that it belongs to.
        zone: Its availability zone.
        slots: The number of requests that it processes concurrently.
        draining: Whether it takes no new flows.
        warmup_left_s: The remaining warm-up time in seconds at the
            announcement.
        started_ms: When the process started, in Unix milliseconds by its own
            clock; `NO_START_STATED` if its entry does not say, None if that is
            not known.

    Raises:
        InvalidEndpointError: A field has an invalid value.
    """

    name: str = attrs.field(validator=_named)
    number: int = attrs.field(validator=_within(1, _MAX_NUMBER))
    token: int = attrs.field(validator=_within(1, _MAX_TOKEN))
    host: str = attrs.field(validator=_address)
    port: int = attrs.field(validator=_within(1, _MAX_PORT))
    service: str = attrs.field(converter=_intern, validator=_named)
    zone: str = attrs.field(converter=_intern, validator=_named)
    slots: int = attrs.field(default=2, validator=_within(1, MAX_SLOTS))
    draining: bool = attrs.field(default=False, validator=_flag)
    warmup_left_s: float = attrs.field(default=0.0, validator=_duration)
    started_ms: int | None = attrs.field(default=None, validator=_start)

    @property
    def states_start(self) -> bool:
        """Whether its entry is known to say when the process started."""
        return self.started_ms not in (None, NO_START_STATED)


@attrs.frozen
class WeightedService:
    """A service of a route and its share of the new flows.

    Attributes:
        service: The service's name.
        weight: Its share relative to the route's other weights.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """The services for new flows to one address and port.

    Attributes:
        name: The route's name.
        host: The destination address.
        port: The destination port.
        splits: The services with their weights; those without a share are
            left out.
        idempotent: Whether its requests may be executed twice.
        priority: 0 is the most urgent; None if not stated.
        target_latency_s: The time within which a request should be answered,
            in seconds; None if not stated.
        timeout_s: The time after which a client gives a request up, in
            seconds; None if not stated.
    """

    name: str
    host: str
    port: int
    splits: tuple[WeightedService, ...]
    idempotent: bool
    priority: int | None = None
    target_latency_s: float | None = None
    timeout_s: float | None = None

    def services(self, digest: int) -> list[str]:
        """Returns the services in the order in which a flow tries them.

        The flow's digest selects the first service by weight, so that every
        VM selects the same one, also for every copy of a SYN.

        Args:
            digest: The flow's `FlowKey.digest`.
        """
        total = sum(split.weight for split in self.splits)
        if total <= 0:
            return []
        point = digest % total
        names = [split.service for split in self.splits]
        for index, split in enumerate(self.splits):
            if point < split.weight:
                return names[index:] + names[:index]
            point -= split.weight
        return names


@attrs.frozen
class Warmup:
    """Warm-up settings of a service's endpoints.

    Attributes:
        duration_s: How long an endpoint stays cold.
        flows_per_s: New flows per second that it can handle while cold.
    """

    duration_s: float
    flows_per_s: float


@attrs.frozen
class RouteTable:
    """One version of the operator's configuration.

    Attributes:
        version: The version number, which increases with each change.
        routes: All routes by address and port.
        health_paths: The path of each service's health check.
        idle_timeout_s: Flows idle for longer than this may be dropped from
            the flow table.
        warmups: The warm-up settings of each service that has any.
        max_conns: The limit of connections of each service that states one.
    """

    version: int
    routes: dict[tuple[str, int], Route]
    health_paths: dict[str, str]
    idle_timeout_s: float
    warmups: dict[str, Warmup] = attrs.field(factory=dict)
    max_conns: dict[str, int] = attrs.field(factory=dict)
