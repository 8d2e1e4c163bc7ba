"""The checked settings of one VM, shared by its relay and its agent."""

import attrs


@attrs.frozen
class VmSettings:
    """Who this VM is: its name, availability zone and IP number."""

    name: str
    zone: str
    address: str


@attrs.frozen
class FleetSettings:
    """What the VMs of one fleet share.

    Attributes:
        key: The fleet's key, 32 bytes, with which envelopes are sealed.
        previous_key: Still accepted during a change of key, or None.
        seeds: Gossip addresses (IP number, port) to greet when the platform
            gives no list.
    """

    key: bytes = attrs.field(repr=False)
    previous_key: bytes | None = attrs.field(default=None, repr=False)
    seeds: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class RelaySettings:
    """The relay's ports, bounds and times.

    Attributes:
        peer_port: UDP port for envelopes from other relays.
        link_port: TCP port on which the relay listens for its agent.
        most_flows: Flows carried at the most.
        idle_s: A flow without a packet for so long has ended, in seconds.
        replicate_after_s: Age at which a flow is replicated, in seconds.
        replication_bytes_per_s: Budget for replication, in bytes a second;
            with the agent's 2,600 it stays within 4 KB/s.
        grace_s: Longest graceful shutdown, in seconds.
        drain_quiet_s: How long a graceful shutdown waits for a flow's caller
            to use its new path, in seconds. It must be above the callers'
            keep-alive interval and the longest silence of a request.
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
    """The agent's ports and times.

    Attributes:
        gossip_port: UDP port for heartbeats.
        fetch_port: TCP port on which peers fetch the manifest.
        operators_port: TCP port of status, metrics, health and readiness.
        heartbeat_s: Time between two heartbeats, in seconds.
        probe_s: Time between two probes of one endpoint, in seconds.
    """

    gossip_port: int = 7003
    fetch_port: int = 7004
    operators_port: int = 7005
    heartbeat_s: float = 0.5
    probe_s: float = 0.5


@attrs.frozen
class PlatformSettings:
    """Where the platform's service answers, by IP number and TCP port."""

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
