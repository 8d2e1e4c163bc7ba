"""The answer of `/status`: one VM and its view of the fleet."""

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
        ready: Whether its relay accepts new flows.
        fresh: Whether its view of the fleet is recent enough to act on.
        alone: Whether no other VM answered its last refresh.
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
        age_s: Seconds since it came into force on this VM; None without one.
        relay_version: The version in force in this VM's relay.
        heard_version: The greatest version that any known VM has announced.
    """

    version: int
    digest: str
    age_s: float | None
    relay_version: int
    heard_version: int


@attrs.frozen
class RelayStatus:
    """The state of this VM's relay; zeros while the relay is silent."""

    up: bool
    draining: bool
    flows: int
    held: int
    replicas: int


@attrs.frozen
class PlatformStatus:
    """The platform as seen from this VM.

    Attributes:
        up: Whether the last call to it was answered.
        heard_s: Seconds since its last answer; None before the first.
    """

    up: bool
    heard_s: float | None


@attrs.frozen
class MemberStatus:
    """One VM of the fleet as this VM sees it."""

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
        intended: The state that the manifest gives it.
        healthy: The result of the probes; None without one.
        running: Requests that occupy a slot.
        queued: Requests that wait for a slot.
        connections: Open connections.
        flows: Flows that this VM's relay carries to it.
        weight: Share of this VM's new flows that it currently gets.
        why: The reason for the weight.
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
    """The value of a counter that is not zero."""

    program: str
    name: str
    reason: str
    value: int


@attrs.frozen
class Status:
    """The whole answer of `/status`."""

    vm: VmStatus
    manifest: ManifestStatus
    relay: RelayStatus
    platform: PlatformStatus
    members: tuple[MemberStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    counters: tuple[CounterStatus, ...]


def to_json(value: object) -> bytes:
    """Returns an attrs value as JSON in UTF-8."""
    return _CONVERTER.dumps(value).encode()
