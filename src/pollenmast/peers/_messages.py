"""Typed control messages between a VM's agent and relay, and between VMs."""

import enum

import attrs


class VmState(str, enum.Enum):
    """What the fleet believes of a VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Missed its heartbeat; still owns flows until the suspicion ends."""

    LEAVING = "leaving"
    """Stops in an orderly way: owns no new flow, still carries its own."""

    DEAD = "dead"


@attrs.frozen
class Vm:
    """One entry VM of the fleet.

    Attributes:
        name: Unique in the fleet.
        zone: The availability zone.
        address: The VM's IP number.
        relay_port: UDP port on which its relay takes envelopes.
        gossip_port: UDP port on which its agent takes heartbeats.
        fetch_port: TCP port on which its agent hands out the manifest.
        incarnation: Grows when the VM restarts or refutes a suspicion.
        state: What the fleet believes of it.
        relay_up: Whether its agent hears from its relay.
    """

    name: str
    zone: str
    address: str
    relay_port: int
    gossip_port: int
    fetch_port: int
    incarnation: int = 0
    state: VmState = VmState.ALIVE
    relay_up: bool = True


@attrs.frozen
class EndpointReport:
    """What one endpoint last said of its load, as probed by an agent.

    Attributes:
        service: The service's number.
        endpoint: The endpoint's name.
        sequence: Grows with every probe of this endpoint; the newest wins.
        healthy: Whether the probe was answered and the endpoint takes work.
        running: Requests that hold a slot.
        queued: Requests that wait for a slot.
        connections: Open connections.
        finished: Requests finished since the endpoint started.
        uptime_s: Seconds since the endpoint started (a cold one is small).
    """

    service: int
    endpoint: str
    sequence: int
    healthy: bool
    running: int = 0
    queued: int = 0
    connections: int = 0
    finished: int = 0
    uptime_s: float = 0.0


@attrs.frozen
class FleetView:
    """Agent to relay: all that a relay needs to know of the fleet.

    Attributes:
        sequence: Grows with every view of this agent.
        manifest: The manifest in force as its JSON text, or None when the
            relay already has this version and digest.
        version: The manifest's version.
        digest: The manifest's digest.
        vms: Every VM not dead, the own one included.
        reports: The newest report of each endpoint whose report has changed
            since the last view; now and then of all.
        fresh: Whether the agent has heard from the fleet since it last had
            reason to doubt its beliefs (a start, a freeze, a cut).
        wake_seen: The `wake` of the newest report that the agent got before
            it made this view, while itself sure of the fleet.
    """

    sequence: int
    manifest: bytes | None
    version: int
    digest: str
    vms: tuple[Vm, ...]
    reports: tuple[EndpointReport, ...]
    fresh: bool = True
    wake_seen: int = 0


@attrs.frozen
class DrainOrder:
    """Agent to relay: hand over every flow and stop within the grace time."""

    grace_s: float


@attrs.frozen
class ExplainQuery:
    """Agent to relay: why was this decided?

    Attributes:
        identifier: Echoed in the answer.
        subject: A caller as IP:PORT, an endpoint as SERVICE/ENDPOINT, or
            empty for the newest decisions.
    """

    identifier: int
    subject: str


@attrs.frozen
class ExplainAnswer:
    """Relay to agent: the lines that answer an `ExplainQuery`."""

    identifier: int
    lines: tuple[str, ...]


@attrs.frozen
class CounterValue:
    """A counter's value since the relay started.

    Attributes:
        name: One of the counters listed in `operators`.
        reason: The reason within the counter, empty where it has none.
        value: How often it was counted.
    """

    name: str
    reason: str
    value: int


@attrs.frozen
class EndpointLoad:
    """What a relay itself knows of one endpoint.

    Attributes:
        service: The service's number.
        endpoint: The endpoint's name.
        flows: Flows that this relay carries to it.
        weight: Share of new flows it now gets, 0 to 1.
        why: Why the weight is what it is, in an operator's words.
    """

    service: int
    endpoint: str
    flows: int
    weight: float
    why: str


@attrs.frozen
class RelayReport:
    """Relay to agent, twice a second: what the relay does.

    Attributes:
        version: Manifest version in force in the relay.
        digest: Digest of that manifest.
        ready: Whether the relay takes new flows.
        draining: Whether it hands over its flows.
        drained: Whether nothing is left to hand over.
        flows: Flows carried.
        held: Flows whose first packets are held.
        replicas: Flow records held for other relays.
        counters: Every counter, zeros included.
        endpoints: Every endpoint of the manifest, or None in a report that
            leaves them out.
        wake: Grows each time the relay finds that it was frozen. Only a view
            that has seen it is newer than the freeze.
    """

    version: int
    digest: str
    ready: bool
    draining: bool
    drained: bool
    flows: int
    held: int
    replicas: int
    counters: tuple[CounterValue, ...]
    endpoints: tuple[EndpointLoad, ...] | None
    wake: int = 0
