"""One VM under proof: its relay, what its agent believes, its sockets."""

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
from pollenmast.relay._table import Wire
from pollenmast.upstreams._paths import Path
from standins import memory as fakes
from tests.proof import _traffic as traffic

IDLE_S = 60.0
"""Idle time of a flow in the proof; half of the default, to save ticks."""

REST_S = 10.0
"""Time for which a port may not be used again for an endpoint."""

_PARSED: dict[bytes, object] = {}
_MOST_PARSED = 256


def parse(text: bytes):
    """Returns the checked manifest of a text, or its faults."""
    if text not in _PARSED:
        if len(_PARSED) >= _MOST_PARSED:
            _PARSED.clear()
        _PARSED[text] = manifests.parse(text)
    return _PARSED[text]


class ProofListener(Listener):
    """A service's port whose answers the world judges."""

    def __init__(self, service, node):
        super().__init__(service)
        self._node = node

    def send(self, data, caller):
        """Tells a caller something."""
        self._node.world.told(self._node, data, caller, self.service.port)

    def close(self):
        """Does nothing."""


class ProofPath(Path):
    """A local port of one process.

    Attributes:
        node: Whose it is.
        lost: Upstreams for which something has lost track of it.
    """

    __slots__ = ("lost", "node")

    def __init__(self, node):
        super().__init__()
        self.node = node
        self.lost: set[tuple[str, int]] = set()

    def send(self, data, upstream):
        """Passes a packet to an upstream."""
        self.node.world.upstreams.take(self, data, upstream)

    def close(self):
        """Does nothing."""


class ProofWire(Wire):
    """The sockets of one VM."""

    def __init__(self, node):
        self._node = node

    def open_listener(self, service):
        """Opens a port."""
        return ProofListener(service, self._node)

    def open_path(self):
        """Opens a path."""
        return ProofPath(self._node)

    def send_peer(self, data, address):
        """Sends an envelope."""
        target = int(address[0].rsplit(".", 1)[1])
        self._node.world.wire.send(self._node.number, target, data)


@attrs.define(eq=False)
class Node:
    """One running VM.

    Attributes:
        number: Its number; a VM that comes back has a new object.
        world: Where it stands.
        core: Its relay.
        acceptance: Its agent's manifest.
        beliefs: The VMs that its agent tells its relay of.
        unsure: Whether its agent has reason to doubt its beliefs.
        dues: When it hears of what has changed.
        frozen: Whether it stands still.
        leaving: Whether it stops in an orderly way.
        inbox: What came while it stood still.
        leaves_since: When each endpoint that takes no new flow began to.
        told: Key of the manifest that its relay has.
        views: Views shown so far.
        started_at: When it started.
        agent_leaves: As `leaves_since`, by what its agent has in force.
        left_at: When it began to stop in an orderly way.
    """

    number: int
    world: object
    core: RelayCore | None = None
    acceptance: Acceptance = attrs.field(factory=Acceptance)
    beliefs: tuple[Vm, ...] = ()
    unsure: bool = False
    dues: list[float] = attrs.field(factory=list)
    frozen: bool = False
    leaving: bool = False
    inbox: collections.deque = attrs.field(factory=collections.deque)
    leaves_since: dict = attrs.field(factory=dict)
    told: tuple[int, str] = (0, "")
    views: int = 0
    started_at: float = 0.0
    agent_leaves: dict = attrs.field(factory=dict)
    left_at: float | None = None

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return fakes.vm(self.number).zone

    def start(self, now: float) -> None:
        """Starts its relay."""
        self.started_at = now
        settings = fakes.settings(self.number, idle_s=IDLE_S)
        self.core = RelayCore(
            settings, ProofWire(self), random.Random(self.number), now
        )

    def run(self, action: Callable[[], None]) -> None:
        """Does something now, or once it wakes."""
        if self.frozen:
            self.inbox.append(action)
        else:
            action()

    def offer(self, text: bytes, now: float) -> None:
        """Its agent is given a manifest."""
        parsed = parse(text)
        if parsed.is_err():
            return
        offer = self.acceptance.offer(parsed.unwrap(), text, now)
        if offer.outcome is ManifestOutcome.ACCEPTED:
            self.agent_leaves = self._leaves(self.agent_leaves, now)
            self.world.oracle.in_force(
                ("agent", self.number, self.acceptance),
                *attrs.astuple(self.acceptance.key),
            )

    def show(self, now: float, reports=()) -> None:
        """Its agent gives its relay a view."""
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
                vms=self.beliefs,
                reports=reports,
                fresh=not self.unsure,
                wake_seen=report.wake,
            ),
            now,
        )
        self.note_manifest(now)

    def note_manifest(self, now: float) -> None:
        """Notes what its relay has in force."""
        report = self.core.report(now)
        key = (report.version, report.digest)
        if key == self.told:
            return
        self.world.oracle.in_force(("relay", self.number, self.core), *key)
        self.told = key
        in_force = self.acceptance.in_force
        if in_force is None or in_force.key != ManifestKey(*key):
            return
        self.leaves_since = self._leaves(self.leaves_since, now)

    def _leaves(self, before: dict, now: float) -> dict:
        """Returns since when each endpoint takes no new flow."""
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

    def drains_for(self, address, now: float) -> float:
        """Returns for how long it has known that an endpoint leaves."""
        since = self.leaves_since.get(address, now)
        return max(now - since, self.world.fleet_knows_for(self, address))


def every_address() -> list[tuple[str, int]]:
    """Returns the address of every endpoint that a plan may name."""
    return [
        traffic.address_of(f"{service.name}-{n}")
        for service in traffic.SERVICES
        for n in range(5)
    ]
