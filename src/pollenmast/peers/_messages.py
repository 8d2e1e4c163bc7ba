"""Control messages between a VM's agent and relay."""

import attrs

from pollenmast.fleet import EndpointLoad, EndpointReport, Vm


@attrs.frozen
class FleetView:
    """Agent to relay: the state of the fleet.

    Attributes:
        sequence: Increases with every view of this agent.
        manifest: The JSON text of the manifest in force, or None if the relay
            already has this version and digest.
        version: The manifest's version.
        digest: The manifest's digest.
        vms: All VMs that are not dead, including this one.
        reports: The newest report of each endpoint whose report has changed
            since the last view; periodically, the reports of all endpoints.
        fresh: Whether the agent's state of the fleet is up to date: it has
            heard from the fleet since its start, and since the last freeze or
            network partition.
        wake_seen: The `wake` of the newest `RelayReport` that the agent had
            received when it built this view, while its own state was fresh.
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
    """Agent to relay: hand over all flows and stop within `grace_s` seconds."""

    grace_s: float


@attrs.frozen
class ExplainQuery:
    """Agent to relay: requests an explanation of decisions.

    Attributes:
        identifier: Matches the answer to the query.
        subject: A caller as IP:PORT or IP, an endpoint as SERVICE/ENDPOINT, a
            service by its name, or empty for the most recent decisions.
    """

    identifier: int
    subject: str


@attrs.frozen
class ExplainAnswer:
    """Relay to agent: answers an `ExplainQuery`.

    Attributes:
        identifier: The identifier of the query.
        lines: The explanation, a line each.
    """

    identifier: int
    lines: tuple[str, ...]


@attrs.frozen
class CounterValue:
    """A counter's value since the relay started.

    Attributes:
        name: Name of a counter listed in `operators`.
        reason: The counter's label, or empty if it has none.
        value: The count.
    """

    name: str
    reason: str
    value: int


@attrs.frozen
class RelayReport:
    """Relay to agent, twice a second: the relay's state.

    Attributes:
        version: Version of the manifest in force in the relay.
        digest: Digest of that manifest.
        ready: Whether the relay accepts new flows.
        draining: Whether the relay hands over its flows.
        drained: Whether all flows are handed over.
        flows: Number of flows carried.
        held: Number of flows whose first packets are held.
        replicas: Number of flow records stored for other relays.
        counters: All counters, zeros included.
        endpoints: All endpoints of the manifest, or None if this report
            omits them.
        wake: Increases each time the relay detects that it was frozen. Only a
            `FleetView` whose `wake_seen` equals it is newer than the freeze.
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
