"""Typed control messages between a VM's agent and relay, and between VMs."""

import attrs

from pollenmast.fleet import EndpointLoad, EndpointReport, Vm


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
