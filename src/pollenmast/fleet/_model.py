"""State of VMs and endpoints as plain values, without I/O or decisions."""

import enum

import attrs


class VmState(str, enum.Enum):
    """State of a VM in the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Missed its heartbeat; still owns flows until the suspicion expires."""

    LEAVING = "leaving"
    """Shuts down gracefully: owns no new flows, but still carries existing
    ones."""

    DEAD = "dead"


@attrs.frozen
class Vm:
    """An entry VM of the fleet.

    Attributes:
        name: Unique name in the fleet.
        zone: The availability zone.
        address: The VM's IP address.
        relay_port: UDP port on which its relay receives envelopes.
        gossip_port: UDP port on which its agent receives heartbeats.
        fetch_port: TCP port on which its agent serves the manifest.
        incarnation: Increases when the VM restarts or refutes a suspicion.
        state: State of the VM as the fleet sees it.
        relay_up: Whether its agent receives reports of its relay.
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
    """The load that an endpoint reported to an agent's last probe.

    Attributes:
        service: The service's number.
        endpoint: The endpoint's name.
        sequence: Increases with every probe of this endpoint; the report with
            the greatest number replaces the others.
        healthy: Whether the probe was answered and the endpoint accepts work.
        running: Number of requests that hold a slot.
        queued: Number of requests that wait for a slot.
        connections: Number of open connections.
        finished: Number of requests finished since the endpoint started.
        uptime_s: Seconds since the endpoint started; a small value means that
            the endpoint is cold.
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
    """Load of an endpoint as a relay sees it.

    Attributes:
        service: The service's number.
        endpoint: The endpoint's name.
        flows: Number of flows that this relay carries to the endpoint.
        weight: Share of new flows that the endpoint gets now, 0 to 1.
        why: Reason for the weight, for operators.
    """

    service: int
    endpoint: str
    flows: int
    weight: float
    why: str
