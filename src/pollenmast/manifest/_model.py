"""What an operator's manifest says, as checked values."""

import enum

import attrs

from pollenmast.manifest._key import ManifestKey


class ServiceKind(str, enum.Enum):
    """How a service's flows behave, which decides what is counted."""

    SESSION = "session"
    """Long sessions; an endpoint is full by its connections."""

    REQUEST = "request"
    """One request a flow; an endpoint is full by its slots."""


class EndpointState(str, enum.Enum):
    """What the operators intend for an endpoint."""

    SERVING = "serving"
    DRAINING = "draining"
    """Takes no new flows; open flows go on until they end."""


@attrs.frozen
class Endpoint:
    """One upstream process that serves a service.

    Attributes:
        name: Unique within the service.
        address: The upstream VM's IP number.
        port: UDP port that takes QUIC.
        load_port: TCP port of the health and load report.
        zone: The availability zone.
        slots: Requests that it runs at the same time.
        connections: Connections that it holds at the most.
        state: What the operators intend.
    """

    name: str
    address: str
    port: int
    load_port: int
    zone: str
    slots: int = 2
    connections: int = 2000
    state: EndpointState = EndpointState.SERVING


@attrs.frozen
class Limits:
    """What one service may ask of one VM.

    Attributes:
        hold_ms: Longest hold of a flow's first packets, in milliseconds.
        held_flows: Flows held at the most.
        held_flows_per_caller: Flows of one caller held at the most.
        queue_per_slot: Requests allowed to wait at an endpoint for each of
            its slots (request services only).
    """

    hold_ms: int = 400
    held_flows: int = 512
    held_flows_per_caller: int = 32
    queue_per_slot: int = 2


@attrs.frozen
class Service:
    """A service: an address that callers use, and the endpoints behind it.

    Attributes:
        name: Unique within the manifest.
        number: Unique number, 1 to 65,535; stands for the service on the wire.
        port: UDP port that callers use; unique within the manifest.
        kind: Long sessions, or one request a flow.
        idempotent: Whether a request may run twice without harm.
        endpoints: The upstreams, at least one.
        limits: What the service may ask of a VM.
        port_since: The manifest's version that gave it a port which another
            service had before, 0 if none had.
    """

    name: str
    number: int
    port: int
    kind: ServiceKind
    idempotent: bool
    endpoints: tuple[Endpoint, ...]
    limits: Limits = attrs.field(factory=Limits)
    port_since: int = 0


@attrs.frozen
class Manifest:
    """One accepted state of all services.

    Attributes:
        version: Grows with every release.
        services: Every service, in the manifest's order.
        digest: Hex digest of the content, so that two contents under one
            version can be told apart.
    """

    version: int
    services: tuple[Service, ...]
    digest: str

    @property
    def key(self) -> ManifestKey:
        """Its place among all manifests."""
        return ManifestKey(self.version, self.digest)

    def service(self, number: int) -> Service | None:
        """Returns the service with this number, if there is one."""
        for service in self.services:
            if service.number == number:
                return service
        return None
