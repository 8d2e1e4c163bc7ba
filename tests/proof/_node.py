"""One simulated VM: its relay, its agent's view of the fleet, its sockets."""

import collections
import random
from collections.abc import Callable

import attrs

from pollenmast import manifest as manifests
from pollenmast.counters import ManifestOutcome
from pollenmast.decisions._acceptance import Acceptance
from pollenmast.fleet import Vm
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _messages as messages
from pollenmast.relay._core import RelayCore
from pollenmast.relay._flows import Listener
from pollenmast.relay._table import Transport
from pollenmast.upstreams._paths import Path
from standins import memory as fakes
from tests.proof import _traffic as traffic

IDLE_S = 60.0
"""Idle timeout of a flow in seconds; half the default, to save ticks."""

PORT_REST_S = 10.0
"""Seconds for which a port is not reused for the same endpoint."""

_PARSED: dict[bytes, object] = {}
_MAX_PARSED = 256


def parse(text: bytes):
    """Returns the parsed manifest or its faults, from a cache if possible."""
    if text not in _PARSED:
        if len(_PARSED) >= _MAX_PARSED:
            _PARSED.clear()
        _PARSED[text] = manifests.parse(text)
    return _PARSED[text]


class SimulatedListener(Listener):
    """A service port whose responses are handed to the simulation."""

    def __init__(self, service, node):
        super().__init__(service)
        self._node = node

    def send(self, data, caller):
        """Sends a datagram to a caller."""
        self._node.world.on_sent_to_caller(
            self._node, data, caller, self.service.port
        )

    def close(self):
        """Does nothing."""


class SimulatedPath(Path):
    """A local port of one relay process.

    Attributes:
        node: The VM that it belongs to.
        lost: Upstreams to which a middlebox no longer forwards its packets.
    """

    __slots__ = ("lost", "node")

    def __init__(self, node):
        super().__init__()
        self.node = node
        self.lost: set[tuple[str, int]] = set()

    def send(self, data, upstream):
        """Sends a datagram to an upstream."""
        self.node.world.upstreams.take(self, data, upstream)

    def close(self):
        """Does nothing."""


class SimulatedTransport(Transport):
    """The sockets of one VM."""

    def __init__(self, node):
        self._node = node

    def open_listener(self, service):
        """Opens the port of a service."""
        return SimulatedListener(service, self._node)

    def open_path(self):
        """Opens a local port towards upstreams."""
        return SimulatedPath(self._node)

    def send_peer(self, data, address):
        """Sends an envelope to another VM."""
        target = int(address[0].rsplit(".", 1)[1])
        self._node.world.wire.send(self._node.number, target, data)


@attrs.define(eq=False)
class Node:
    """One running VM.

    Attributes:
        number: Number of the VM; a restarted VM has a new object.
        world: The simulated fleet that it belongs to.
        core: The relay.
        acceptance: The agent's accepted manifest.
        known_vms: The VMs that the agent reports to the relay.
        unsure: Whether the agent's view may be out of date.
        update_times: Times at which it learns of changes.
        frozen: Whether it is suspended.
        leaving: Whether a planned stop is in progress.
        inbox: Actions queued while it was suspended.
        leaving_since: Time since which each endpoint takes no new flow, by the
            relay's manifest.
        told: Version and digest of the relay's manifest.
        views: Number of views sent to the relay.
        started_at: Time at which it started.
        agent_leaving_since: As `leaving_since`, by the agent's manifest.
        left_at: Time at which its planned stop began.
    """

    number: int
    world: object
    core: RelayCore | None = None
    acceptance: Acceptance = attrs.field(factory=Acceptance)
    known_vms: tuple[Vm, ...] = ()
    unsure: bool = False
    update_times: list[float] = attrs.field(factory=list)
    frozen: bool = False
    leaving: bool = False
    inbox: collections.deque = attrs.field(factory=collections.deque)
    leaving_since: dict = attrs.field(factory=dict)
    told: tuple[int, str] = (0, "")
    views: int = 0
    started_at: float = 0.0
    agent_leaving_since: dict = attrs.field(factory=dict)
    left_at: float | None = None

    @property
    def zone(self) -> str:
        """The availability zone of the VM."""
        return fakes.vm(self.number).zone

    def start(self, now: float) -> None:
        """Starts the relay."""
        self.started_at = now
        settings = fakes.settings(self.number, idle_s=IDLE_S)
        self.core = RelayCore(
            settings, SimulatedTransport(self), random.Random(self.number), now
        )

    def run(self, action: Callable[[], None]) -> None:
        """Runs an action now, or on resumption if the VM is suspended."""
        if self.frozen:
            self.inbox.append(action)
        else:
            action()

    def offer(self, text: bytes, now: float) -> None:
        """Offers a manifest to the agent, which ignores an invalid one."""
        parsed = parse(text)
        if parsed.is_err():
            return
        offer = self.acceptance.offer(parsed.unwrap(), text, now)
        if offer.outcome is ManifestOutcome.ACCEPTED:
            self.agent_leaving_since = self._leaves(
                self.agent_leaving_since, now
            )
            self.world.oracle.check_manifest(
                ("agent", self.number, self.acceptance),
                *attrs.astuple(self.acceptance.key),
            )

    def send_view(self, now: float, reports=()) -> None:
        """Sends the agent's view of the fleet to the relay."""
        report = self.core.report(now)
        in_force = self.acceptance.in_force
        known = ManifestKey(report.version, report.digest)
        text = None
        if in_force is not None and in_force.key != known:
            text = in_force.text
        self.views += 1
        self.core.on_view(
            messages.FleetView(
                sequence=self.views,
                manifest=text,
                version=self.acceptance.key.version,
                digest=self.acceptance.key.digest,
                vms=self.known_vms,
                reports=reports,
                fresh=not self.unsure,
                wake_seen=report.wake,
            ),
            now,
        )
        self.record_manifest(now)

    def record_manifest(self, now: float) -> None:
        """Records which manifest the relay has in force."""
        report = self.core.report(now)
        key = (report.version, report.digest)
        if key == self.told:
            return
        self.world.oracle.check_manifest(
            ("relay", self.number, self.core), *key
        )
        self.told = key
        in_force = self.acceptance.in_force
        if in_force is None or in_force.key != ManifestKey(*key):
            return
        self.leaving_since = self._leaves(self.leaving_since, now)

    def _leaves(self, before: dict, now: float) -> dict:
        """Returns the time since which each endpoint takes no new flow."""
        serving = {
            (endpoint.address, endpoint.port)
            for service in self.acceptance.in_force.manifest.services
            for endpoint in service.endpoints
            if endpoint.state.value == "serving"
        }
        return {
            address: before.get(address, now)
            for address in every_address()
            if address not in serving
        }

    def known_leaving_for(self, address, now: float) -> float:
        """Returns for how many seconds it has known an endpoint to leave."""
        since = self.leaving_since.get(address, now)
        return max(
            now - since, self.world.fleet_known_leaving_for(self, address)
        )


def every_address() -> list[tuple[str, int]]:
    """Returns the address of every endpoint that a plan may contain."""
    return [
        traffic.address_of(f"{service.name}-{n}")
        for service in traffic.SERVICES
        for n in range(5)
    ]
