"""Data model of a validated manifest."""

import enum

import attrs

from pollenmast.manifest._key import ManifestKey


class ServiceKind(str, enum.Enum):
    """Traffic pattern of a service, which determines its unit of capacity."""

    SESSION = "session"
    """Long-lived sessions; capacity is limited by `Endpoint.connections`."""

    REQUEST = "request"
    """One request per flow; capacity is limited by `Endpoint.slots`."""


class EndpointState(str, enum.Enum):
    """State that the operators set for an endpoint in the manifest."""

    SERVING = "serving"
    DRAINING = "draining"
    """Receives no new flows; open flows continue until they end."""


@attrs.frozen
class Endpoint:
    """One upstream process of a service.

    Attributes:
        name: Unique within the service.
        address: IPv4 address of the upstream VM.
        port: UDP port on which the endpoint accepts QUIC.
        load_port: TCP port that serves the health and load report.
        zone: Availability zone of the upstream VM.
        slots: Maximum number of requests it processes concurrently.
        connections: Maximum number of connections it holds.
        state: State that the operators set.
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
    """Resource limits of one service on one VM.

    Attributes:
        hold_ms: Maximum time for which the first packets of a flow are
            held, in milliseconds.
        held_flows: Maximum number of flows held at once.
        held_flows_per_caller: Maximum number of flows held at once for one
            caller.
        queue_per_slot: Maximum number of requests waiting at an endpoint,
            per slot of the endpoint. Used by request services only.
    """

    hold_ms: int = 400
    held_flows: int = 512
    held_flows_per_caller: int = 32
    queue_per_slot: int = 2


@attrs.frozen
class Service:
    """A service: a port for its callers, and the endpoints behind it.

    Attributes:
        name: Unique within the manifest.
        number: Identifies the service on the wire, 1 to 65,535; unique within
            the manifest.
        port: UDP port for callers; unique within the manifest.
        kind: Whether flows are long-lived sessions or single requests.
        idempotent: Whether a request can safely be executed twice.
        endpoints: The upstreams, at least one.
        limits: Resource limits of the service on each VM.
        port_since: Manifest version in which the service took over its port
            from another service; 0 if no other service had the port before.
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
    """The validated configuration of all services.

    Attributes:
        version: Increases with every release.
        services: All services, in the order of the manifest.
        digest: Hex digest of the content. It distinguishes manifests that
            have the same version but different content.
    """

    version: int
    services: tuple[Service, ...]
    digest: str

    @property
    def key(self) -> ManifestKey:
        """Key that orders this manifest among others."""
        return ManifestKey(self.version, self.digest)

    def service(self, number: int) -> Service | None:
        """Returns the service with the given number, or None."""
        for service in self.services:
            if service.number == number:
                return service
        return None
