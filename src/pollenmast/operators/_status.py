"""What `/status` tells: one VM, and what it knows of the fleet."""

import attrs
from cattrs.preconf.json import make_converter

_CONVERTER = make_converter()


@attrs.frozen
class VmStatus:
    """This VM.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        version: The program's version.
        ready: Whether its relay takes new flows.
        fresh: Whether its beliefs may be acted on.
        alone: Whether no other VM answered when asked.
        stopping: Whether a graceful shutdown has begun.
        uptime_s: Seconds since the agent started.
    """

    name: str
    zone: str
    version: str
    ready: bool
    fresh: bool
    alone: bool
    stopping: bool
    uptime_s: float


@attrs.frozen
class ManifestStatus:
    """The manifest in force.

    Attributes:
        version: Its version; 0 without one.
        digest: Digest of its content.
        age_s: Seconds since it came into force here; None without one.
        relay_version: The version in force in this VM's relay.
        heard_version: The greatest version heard of, here or elsewhere.
    """

    version: int
    digest: str
    age_s: float | None
    relay_version: int
    heard_version: int


@attrs.frozen
class RelayStatus:
    """What this VM's relay does; zeros while it is silent."""

    up: bool
    draining: bool
    flows: int
    held: int
    replicas: int


@attrs.frozen
class PlatformStatus:
    """The platform, as seen from here.

    Attributes:
        up: Whether its last answer came.
        heard_s: Seconds since its last answer; None before the first.
    """

    up: bool
    heard_s: float | None


@attrs.frozen
class MemberStatus:
    """One VM of the fleet, as believed here."""

    name: str
    zone: str
    address: str
    state: str
    relay_up: bool
    incarnation: int


@attrs.frozen
class EndpointStatus:
    """One endpoint of the manifest, as this VM knows it.

    Attributes:
        service: The service's name.
        endpoint: Its name.
        zone: Its availability zone.
        intended: What the manifest says of it.
        healthy: What the probes say; None without one.
        running: Requests that hold a slot.
        queued: Requests that wait for one.
        connections: Open connections.
        flows: Flows that this VM's relay carries to it.
        weight: Share of the new flows it now gets here.
        why: Why the weight is what it is.
    """

    service: str
    endpoint: str
    zone: str
    intended: str
    healthy: bool | None
    running: int
    queued: int
    connections: int
    flows: int
    weight: float
    why: str


@attrs.frozen
class CounterStatus:
    """One counter that is not zero."""

    program: str
    name: str
    reason: str
    value: int


@attrs.frozen
class Status:
    """All that `/status` tells."""

    vm: VmStatus
    manifest: ManifestStatus
    relay: RelayStatus
    platform: PlatformStatus
    members: tuple[MemberStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    counters: tuple[CounterStatus, ...]


def to_json(value: object) -> bytes:
    """Returns an attrs value as JSON."""
    return _CONVERTER.dumps(value).encode()
