"""Data model of a VM's settings, shared by its relay and its agent."""

import attrs


@attrs.frozen
class VmSettings:
    """Identity of this VM.

    Attributes:
        name: Name of the VM, unique in the fleet.
        zone: Availability zone of the VM.
        address: IPv4 address at which the VM is reached.
    """

    name: str
    zone: str
    address: str


@attrs.frozen
class FleetSettings:
    """Settings shared by all VMs of a fleet.

    Attributes:
        key: The fleet's 32-byte key, which seals envelopes.
        previous_key: Key that is still accepted during a key rotation, or
            None.
        seeds: Gossip addresses (IP address, port) to contact when the
            platform provides no list of VMs.
    """

    key: bytes = attrs.field(repr=False)
    previous_key: bytes | None = attrs.field(default=None, repr=False)
    seeds: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class RelaySettings:
    """Ports, limits and intervals of the relay.

    Attributes:
        peer_port: UDP port for envelopes from other relays.
        link_port: TCP port on which the relay listens for its agent.
        most_flows: Maximum number of flows carried at once.
        idle_s: Idle timeout of a flow, in seconds.
        replicate_after_s: Age at which a flow is replicated to another VM,
            in seconds.
        replication_bytes_per_s: Bandwidth budget for replication, in bytes
            per second. Together with the agent's 2,600 bytes per second it
            stays within 4 KB/s.
        grace_s: Maximum duration of a graceful shutdown, in seconds.
        drain_quiet_s: Time for which a graceful shutdown waits for a flow's
            caller to use its new path, in seconds. Must be longer than the
            callers' keep-alive interval and than the longest silence within
            a request.
    """

    peer_port: int = 7001
    link_port: int = 7002
    most_flows: int = 250_000
    idle_s: float = 120.0
    replicate_after_s: float = 1.0
    replication_bytes_per_s: int = 1_400
    grace_s: float = 60.0
    drain_quiet_s: float = 15.0


@attrs.frozen
class AgentSettings:
    """Ports and intervals of the agent.

    Attributes:
        gossip_port: UDP port for heartbeats.
        fetch_port: TCP port on which peers fetch the manifest.
        operators_port: TCP port that serves status, metrics, health and
            readiness.
        heartbeat_s: Interval between heartbeats, in seconds.
        probe_s: Interval between probes of one endpoint, in seconds.
    """

    gossip_port: int = 7003
    fetch_port: int = 7004
    operators_port: int = 7005
    heartbeat_s: float = 0.5
    probe_s: float = 0.5


@attrs.frozen
class PlatformSettings:
    """Address of the platform's service.

    Attributes:
        address: IPv4 address.
        port: TCP port.
    """

    address: str
    port: int


@attrs.frozen
class Settings:
    """All settings of one VM."""

    vm: VmSettings
    fleet: FleetSettings
    platform: PlatformSettings
    relay: RelaySettings = attrs.field(factory=RelaySettings)
    agent: AgentSettings = attrs.field(factory=AgentSettings)
