"""What VMs believe of each other and of endpoints, as plain values."""

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
