"""State machine of agents: heartbeats and manifests under faults.

Hypothesis orders rules by name, so renaming a rule changes the cases that a
seed stands for.
"""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from pollenmast.decisions._acceptance import Acceptance
from pollenmast.decisions._membership_times import Times
from pollenmast.fleet import VmState
from pollenmast.manifest import ManifestKey
from tests.membership_group import Group, Node, vm
from tests.proof import _traffic as traffic
from tests.proof._node import parse
from tests.proof._oracle import Invariant, Oracle, ViolationError

SETTLE_S = 30.0
"""Seconds until the membership converges after a partition.

Each VM contacts one dead member every 2 s.
"""

_LEASE_S = Times().lease
_index = st.integers(0, 7)


class Agents(Group):
    """A membership group whose members also exchange manifests.

    Attributes:
        oracle: Checks the manifests that agents accept.
        accepted: Each agent's accepted manifest, by VM name.
        losses: Number of further messages to lose.
        partitioned_zone: The availability zone that is partitioned off, if any.
    """

    def __init__(self, size: int, seed: int):
        self.oracle = Oracle()
        self.accepted: dict[str, Acceptance] = {}
        self.losses = 0
        self.partitioned_zone: str | None = None
        super().__init__(size, seed)
        self.lost = self._is_lost

    def start(self, own, seeds=(), listed=True) -> Node:
        """Starts an agent that has no manifest."""
        self.accepted[own.name] = Acceptance()
        return super().start(own, seeds, listed)

    def _is_lost(self, source: str, to: str) -> bool:
        if self.losses > 0:
            self.losses -= 1
            return True
        return self.is_partitioned(self.nodes[source], self.nodes[to])

    def is_partitioned(self, one: Node, other: Node) -> bool:
        """Returns whether a partition separates two agents."""
        zones = {one.membership.own.zone, other.membership.own.zone}
        return self.partitioned_zone in zones and len(zones) > 1

    def offer(self, node: Node, text: bytes) -> None:
        """Offers a manifest to an agent, which ignores an invalid one."""
        parsed = parse(text)
        if parsed.is_err():
            return
        acceptance = self.accepted[node.name]
        acceptance.offer(parsed.unwrap(), text, self.now)
        key = acceptance.key
        self.oracle.check_manifest(acceptance, key.version, key.digest)
        node.key = key
        node.membership.set_in_force(key)

    def _receive(self, node: Node, message, source) -> None:
        key = ManifestKey(message.version, message.digest.hex())
        peer = self.nodes.get(message.sender.name)
        if self.accepted[node.name].should_fetch(key) and self._answers(
            node, peer
        ):
            in_force = self.accepted[peer.name].in_force
            if in_force is not None:
                self.offer(node, in_force.text)
        super()._receive(node, message, source)

    def _answers(self, node: Node, peer: Node | None) -> bool:
        usable = peer is not None and not peer.ended and not peer.paused
        return usable and not self.is_partitioned(node, peer)

    def show_list(self) -> None:
        """Gives every agent the platform's current list of VMs."""
        listed = [node.membership.own for node in self.running()]
        for node in self.running():
            sends = node.membership.update_listed(listed, self.now)
            self.send(node, sends)

    def running(self) -> list[Node]:
        """Returns the agents that have not ended."""
        return [node for node in self.nodes.values() if not node.ended]


class AgentsMachine(RuleBasedStateMachine):
    """Agents, with each event that may happen among them as a rule."""

    def __init__(self):
        super().__init__()
        self.group: Agents | None = None
        self.plan = traffic.Plan()
        self.texts: list[bytes] = []
        self.incarnation = 200

    @initialize(seed=st.integers(0, 1 << 16), size=st.integers(3, 5))
    def begin(self, seed, size):
        """Starts a fleet."""
        self.group = Agents(size, seed)
        self.publish([0])

    def _pick(self, which: int) -> Node:
        running = self.group.running()
        return running[which % len(running)]

    @rule(whom=st.lists(_index, min_size=1, max_size=3))
    def publish(self, whom):
        """The platform sends a new manifest to some agents."""
        self.plan.version += 1
        self._tell(whom)

    @rule(whom=st.lists(_index, min_size=1, max_size=3), drains=_index)
    def race(self, whom, drains):
        """Another pipeline publishes the same version with other contents."""
        self.plan.draining = {f"registry-{drains % 3}"}
        self._tell(whom)
        self.plan.draining = set()

    def _tell(self, whom: list[int]) -> None:
        self.texts.append(self.plan.text())
        for which in whom:
            node = self._pick(which)
            if not node.paused:
                self.group.offer(node, self.texts[-1])

    @rule(which=_index, age=_index)
    def old(self, which, age):
        """A stale platform sends an old manifest to an agent."""
        node = self._pick(which)
        if not node.paused:
            self.group.offer(node, self.texts[age % len(self.texts)])

    @rule(which=_index, text=st.binary(max_size=20))
    def invalid(self, which, text):
        """An agent receives an invalid manifest."""
        self.group.offer(self._pick(which), text)

    @rule(which=_index)
    def kill(self, which):
        """A VM is killed without notice."""
        if len(self.group.running()) > 1:
            self._pick(which).ended = True

    @rule(which=_index)
    def leave(self, which):
        """A VM announces that it is leaving."""
        self._pick(which).membership.leave()

    @rule(number=st.integers(0, 4))
    def start(self, number):
        """A VM starts, or restarts under its old name."""
        self.incarnation += 1
        known = self.group.nodes.get(f"vm-{number}")
        if known is None or known.ended:
            self.group.start(vm(number, self.incarnation))

    @rule(which=_index, seconds=st.sampled_from([0.3, 1.0, 2.5, 8.0]))
    def freeze(self, which, seconds):
        """A VM is suspended while others run, then resumes."""
        node = self._pick(which)
        was_fresh = node.membership.fresh
        self.group.pause(node, seconds)
        if was_fresh and seconds > _LEASE_S + 0.5 and not node.ended:
            self.group.send(
                node, node.membership.check_for_pause(self.group.now)
            )
            if node.membership.fresh and len(node.membership.known()) > 1:
                raise ViolationError(
                    Invariant.DRAINED,
                    f"{node.name} resumed with a stale view taken as fresh",
                )

    @rule(zone=st.sampled_from(["hall-bor", "hall-fres", "hall-sag"]))
    def cut_or_heal(self, zone):
        """A partition of an availability zone begins or ends."""
        self.group.partitioned_zone = (
            None if self.group.partitioned_zone else zone
        )

    @rule(count=st.integers(1, 12), twice=st.booleans())
    def lose(self, count, twice):
        """The next messages are lost; all others may be duplicated."""
        self.group.losses = count
        self.group.twice = twice

    @rule(late=st.booleans())
    def delay(self, late):
        """Messages are delayed and reordered, or no longer."""
        rng = self.group.rng
        self.group.late_s = (
            (lambda: rng.uniform(0.0, 0.1)) if late else (lambda: 0.0)
        )

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 6.0]))
    def wait(self, seconds):
        """Advances the simulated time."""
        self.group.run(seconds)

    @invariant()
    def bounded(self):
        """No agent knows more VMs than have ever started."""
        if self.group is None:
            return
        for node in self.group.running():
            if len(node.membership.known()) > len(self.group.nodes):
                raise ViolationError(
                    Invariant.BOUNDED, f"{node.name} knows too many members"
                )

    def teardown(self):
        """Ends all faults, after which all agents must agree."""
        group = self.group
        if group is None:
            return
        group.partitioned_zone, group.losses, group.twice = None, 0, False
        group.late_s = lambda: 0.0
        group.show_list()
        group.run(SETTLE_S)
        _check_agreement(group)


def _check_agreement(group: Agents) -> None:
    running = group.running()
    names = {node.name for node in running}
    greatest = max(group.accepted[name].key for name in names)
    for node in running:
        seen = {*node.states(), node.name}
        if seen != names:
            raise ViolationError(
                Invariant.SURVIVES, f"{node.name} knows {seen}, not {names}"
            )
        if VmState.SUSPECT in node.states().values():
            raise ViolationError(
                Invariant.SURVIVES, f"{node.name} suspects a VM"
            )
        if not node.membership.fresh:
            raise ViolationError(Invariant.DRAINED, f"{node.name} is not fresh")
        key = group.accepted[node.name].key
        if key != greatest:
            raise ViolationError(
                Invariant.NO_REVERT,
                f"{node.name} has {attrs.astuple(key)} in force, another has "
                f"{attrs.astuple(greatest)}",
            )
