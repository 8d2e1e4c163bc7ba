"""The fleet under proof: real relays on a fake network with a paused clock.

Long, since every rule of the machine acts on this one world.
"""

import random

from pollenmast.fleet import EndpointReport, Vm, VmState
from standins import memory as fakes
from tests.proof import _traffic as traffic
from tests.proof._node import Node
from tests.proof._oracle import (
    SETTLE_S,
    Flow,
    Line,
    Oracle,
    Stage,
    ViolationError,
)
from tests.proof._upstreams import Upstreams
from tests.proof._wire import Fault, PeerWire

TICK_S = 0.05
RENEW_S = 1.0
PLANNED_LAG_S = (0.0, 1.0)
"""Spread in which VMs hear of what is announced."""

FOUND_LAG_S = (1.0, 2.2)
"""Spread in which VMs find out what nobody announces."""

QUIET_S = 14.0
"""Silence after which a planned stop gives a flow up: `drain_quiet_s`, 15 s.
Callers' keep-alive must be shorter."""

SPREAD_S = 2.2
"""Longest time that a manifest takes from one VM to all."""

GRACE_S = 60.0
"""Longest planned stop; what is left then is lost, as by a kill."""

KEEP_ALIVE_S = 5.0

GROWN_S = 2.0
"""Age from which a flow's connection id is kept elsewhere."""


class World:
    """Some VMs, upstreams, callers and the platform.

    Attributes:
        now: The clock.
        nodes: Each running VM by its number.
        oracle: What must hold.
        upstreams: The upstreams.
        wire: The network between relays.
        plan: What operators intend.
        texts: What the platform tells a VM in each availability zone.
        platform_up: Whether the platform answers.
        island: The availability zone that is cut off, if any.
        load: What endpoints report, by name.
        agent_restarted: Whether an agent restarted since the last release.
    """

    def __init__(self, seed: int = 0, vms: int = 3):
        self.now = 1000.0
        self._rng = random.Random(seed)
        self.nodes: dict[int, Node] = {}
        self.oracle = Oracle()
        self.upstreams = Upstreams(self)
        self.wire = PeerWire(self._rng)
        self.wire.cut = self._is_cut
        self.plan = traffic.Plan()
        self.texts = dict.fromkeys(traffic.ZONES, self.plan.text())
        self.platform_up = True
        self.island: str | None = None
        self.load: dict[str, dict] = {}
        self.answering = None
        self.agent_restarted = False
        self.keep_alive = lambda: None
        self._sequence = 0
        self._hit_at = 0.0
        self._swapped_at: dict[int, float] = {}
        self._swapped_in: dict[int, int] = {}
        self._renewed = self.now
        self._changed_at = self.now
        self._disturbed_until = 0.0
        for number in range(1, vms + 1):
            self._add(number)
        for node in self.nodes.values():
            self._sync(node)
        self.advance(SETTLE_S)

    # What is true.

    def runs(self, node: Node) -> bool:
        """Returns whether this very process runs."""
        return self.nodes.get(node.number) is node

    def is_apart(self, zone: str, address) -> bool:
        """Returns whether a cut lies between a VM and an upstream."""
        other = traffic.zone_of(traffic.endpoint_at(address))
        return self._between(zone, other)

    def _between(self, zone: str, other: str) -> bool:
        return self.island is not None and (zone == self.island) != (
            other == self.island
        )

    def _is_cut(self, source: int, target: int) -> bool:
        return self._between(fakes.vm(source).zone, fakes.vm(target).zone)

    @property
    def is_disturbed(self) -> bool:
        """Whether a cut is in force, or was a moment ago."""
        return self.island is not None or self.now < self._disturbed_until

    def holders(self, flow: Flow) -> list[Node]:
        """Returns the VMs that take a flow's packets as their own."""
        return [
            node
            for node in self.nodes.values()
            for listener in node.core.table.listeners
            if listener.service.port == flow.port
            and flow.caller in listener.flows
        ]

    def fleet_knows_for(self, node: Node, address) -> float:
        """Returns for how long the fleet has known that an endpoint leaves.

        The time that the newest manifest may take from VM to VM is taken off.
        """
        others = [
            other
            for other in self.nodes.values()
            if not other.frozen and not self._is_cut(node.number, other.number)
        ]
        if self.is_disturbed:
            return 0.0
        newest = max(others, key=lambda each: each.acceptance.key)
        since = newest.agent_leaves.get(address, self.now)
        return self.now - since - SPREAD_S

    # Planned changes.

    def publish(self, lag_zone: str | None = None) -> None:
        """Operators publish their plan; one zone may read it later."""
        self.plan.version += 1
        self.agent_restarted = False
        text = self.plan.text()
        for zone in traffic.ZONES:
            if zone != lag_zone:
                self.texts[zone] = text
        self.change(PLANNED_LAG_S)

    def change(self, lag: tuple[float, float]) -> None:
        """Something has changed; each VM hears of it at a time of its own."""
        self._changed_at = self.now
        if lag is PLANNED_LAG_S:
            self._excuse_lost_and_gone()
        for node in self.nodes.values():
            node.dues.append(self.now + self._rng.uniform(*lag))

    def _excuse_lost_and_gone(self) -> None:
        """Excuses what a change may break that comes just after a loss.

        A flow whose VM was lost is found again by its caller's next packet;
        a change before that may move what would have been computed for it.
        An upstream that is taken out takes its sessions with it.
        """
        gone = {traffic.address_of(name) for name in self.plan.gone}
        for flow in self.oracle.flows.values():
            if flow.stage is not Stage.OPEN:
                continue
            if flow.home in gone:
                self.oracle.excuse(flow, "upstream taken out")
            elif not self.holders(flow) and not self.may_be_idle(flow):
                self.oracle.excuse(flow, "changed just after a loss")

    def join(self, number: int) -> None:
        """A VM starts."""
        self._add(number)
        self.change(PLANNED_LAG_S)

    def _add(self, number: int) -> None:
        node = Node(number, self)
        self.nodes[number] = node
        node.start(self.now)
        node.dues.append(self.now)

    def stop(self, number: int) -> None:
        """A VM stops in an orderly way; it ends once it is drained."""
        node = self.nodes[number]
        node.leaving = True
        node.left_at = self.now
        node.run(node.core.drain)
        self.change(PLANNED_LAG_S)

    def _end_stopped(self) -> None:
        for node in [each for each in self.nodes.values() if each.leaving]:
            over = self.now - node.left_at > GRACE_S
            if not node.frozen and (over or node.core.drained()):
                if over and self._hit_at > node.left_at - SETTLE_S:
                    self.hit([node.number], "grace over")
                self._check_nothing_cut(node)
                del self.nodes[node.number]
                self.change(PLANNED_LAG_S)

    def _check_nothing_cut(self, node: Node) -> None:
        for flow in self.oracle.flows.values():
            if flow.stage is not Stage.OPEN or self.is_quiet(flow):
                continue
            session = self.upstreams.session(flow)
            if session and session.path.node is node and not flow.excused:
                raise ViolationError(
                    Line.GRACEFUL,
                    f"{node.number} ended with {flow.name}'s answers",
                )

    def is_quiet(self, flow: Flow) -> bool:
        """Whether a planned stop need not wait for the flow any longer."""
        return self.now - flow.heard_at > QUIET_S

    def may_be_idle(self, flow: Flow) -> bool:
        """Whether the flow was quiet for about its idle time."""
        return self.now - flow.heard_at > 50.0

    # Unplanned losses.

    def hit(self, numbers: list[int], why: str) -> None:
        """Excuses the flows that an unplanned loss of VMs may break.

        A flow breaks only when the VM that carries it is hit, and its record
        is nowhere else: its caller was not heard after its first second, or
        it, the members or the manifest have changed in the last seconds.
        """
        self._hit_at = self.now
        for flow in self.oracle.flows.values():
            held = [node.number for node in self.holders(flow)]
            if held and not set(held) & set(numbers):
                continue
            grown_at = self.now if flow.grown_at is None else flow.grown_at
            since = max(grown_at, self._changed_at)
            if flow.stage is Stage.ASKED or self.now - since < SETTLE_S:
                self.oracle.excuse(flow, why)

    def on_move(self, flow: Flow) -> None:
        """Excuses a caller that moves, unless all was calm since it opened.

        Its session is found by the connection id, which two VMs keep; they
        are told once, so a change of members in between may lose it. Short
        requests are not kept at all.
        """
        grown = flow.grown_at is not None
        calm = grown and self.now - flow.grown_at >= SETTLE_S
        if flow.asked == {traffic.BARCODES.number}:
            calm = False
        if not calm or self._changed_at >= flow.opened_at:
            self.oracle.excuse(flow, "caller moved")

    def kill(self, number: int) -> None:
        """A VM ends at once."""
        self.hit([number], "killed")
        del self.nodes[number]
        self.change(FOUND_LAG_S)

    def freeze(self, number: int) -> None:
        """A VM stands still."""
        self.hit([number], "frozen")
        self.nodes[number].frozen = True
        self.change(FOUND_LAG_S)

    def wake(self, number: int) -> None:
        """A VM goes on, with old beliefs and a full socket."""
        node = self.nodes[number]
        node.frozen = False
        node.unsure = True
        while node.inbox:
            node.inbox.popleft()()
        node.dues = [self.now + self._rng.uniform(*PLANNED_LAG_S)]
        self.deliver()
        self.change(PLANNED_LAG_S)

    def cut(self, zone: str) -> None:
        """An availability zone is cut off."""
        self.hit([*self.nodes], "cut off")
        self.island = zone
        self.change(FOUND_LAG_S)

    def heal(self) -> None:
        """The cut ends."""
        self.island = None
        self._disturbed_until = self.now + SETTLE_S
        self.change(FOUND_LAG_S)

    def bend(self, faults: list[Fault]) -> None:
        """The next envelopes between relays are lost, doubled or forged."""
        self.wire.faults.extend(faults)
        self._changed_at = self.now

    # Time.

    def advance(self, seconds: float) -> None:
        """Lets time go by."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self.now += TICK_S
            self._hear()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.core.tick(self.now)
            self.deliver()
            self.keep_alive()
            self._end_stopped()

    def _hear(self) -> None:
        renew = self.now - self._renewed >= RENEW_S
        if renew:
            self._renewed = self.now
            self._sequence += 1
        for node in list(self.nodes.values()):
            if node.frozen:
                continue
            due = [at for at in node.dues if at <= self.now]
            if due:
                node.dues = [at for at in node.dues if at > self.now]
                self._sync(node)
            elif renew:
                self._read_manifests(node)
                node.show(self.now, self._reports())

    def _sync(self, node: Node) -> None:
        node.beliefs = tuple(
            self._told_of(other)
            for other in self.nodes.values()
            if other is node
            or not (other.frozen or self._is_cut(node.number, other.number))
        )
        node.unsure = False
        self._read_manifests(node)
        node.show(self.now, self._reports())

    def _told_of(self, node: Node) -> Vm:
        state = VmState.LEAVING if node.leaving else VmState.ALIVE
        return fakes.vm(node.number, state=state)

    def _read_manifests(self, node: Node) -> None:
        texts = [
            other.acceptance.in_force.text
            for other in self.nodes.values()
            if other.acceptance.in_force
            and not other.frozen
            and not self._is_cut(node.number, other.number)
        ]
        if self.platform_up and node.zone != self.island:
            texts.append(self.texts[node.zone])
        self._rng.shuffle(texts)
        for text in texts:
            node.offer(text, self.now)

    def _reports(self) -> tuple[EndpointReport, ...]:
        return tuple(
            EndpointReport(
                service=service.number,
                endpoint=name,
                sequence=self._sequence,
                **{"healthy": True, "uptime_s": 500.0}
                | self.load.get(name, {}),
            )
            for service in traffic.SERVICES
            for name in self.plan.names(service)
        )

    def deliver(self) -> None:
        """Delivers envelopes until none is left."""
        while (envelope := self.wire.take()) is not None:
            node = self.nodes.get(envelope.target)
            if node is not None:
                node.run(
                    lambda node=node, data=envelope.data: node.core.on_peer(
                        data, self.now
                    )
                )

    # Callers.

    def send(self, flow: Flow, data: bytes, number: int | None = None) -> None:
        """A caller's datagram reaches a VM, by default one at random."""
        if number is None:
            number = self._rng.choice(sorted(self.nodes))
        node = self.nodes.get(number)
        if node is not None:
            flow.heard_at = self.now
            is_grown = self.now - flow.opened_at >= GROWN_S
            if flow.grown_at is None and is_grown:
                flow.grown_at = self.now
            node.run(lambda: self._at_port(node, flow, data))
            self.deliver()

    def _at_port(self, node: Node, flow: Flow, data: bytes) -> None:
        for listener in node.core.table.listeners:
            if listener.service.port == flow.port:
                if flow.home is None and not flow.sessions:
                    flow.asked.add(listener.service.number)
                node.core.on_caller(listener, data, flow.caller, self.now)
                return

    def told(self, node: Node, data: bytes, caller, port: int) -> None:
        """A relay sends something to a caller."""
        packets = traffic.read(data)
        if packets:
            session = self.answering
            part = (session.upstream, packets[0].number)
            self.oracle.answered(session.flow, part, caller, port, self.now)
            return
        flow = self.oracle.flows[traffic.told_session(data)]
        self.oracle.refused(flow)

    def meanings(self, port: int) -> set[int]:
        """Returns the services that a port stands for at any relay now."""
        return {
            listener.service.number
            for node in self.nodes.values()
            for listener in node.core.table.listeners
            if listener.service.port == port
        }

    def is_ignorant(self, node: Node, flow: Flow, address) -> bool:
        """Whether a relay could not know that a packet is another service's.

        After an unplanned loss, a relay that came after the port was given
        away, or that has not heard of it yet, takes a packet that nobody
        knows to the service that has the port; unless those that it asks
        have all seen the change.
        """
        swapped_at = self._swapped_at.get(flow.port)
        if not flow.excused or swapped_at is None:
            return False
        late = [
            each
            for each in self.nodes.values()
            if each.started_at >= swapped_at
            or each.told[0] < self._swapped_in[flow.port]
        ]
        alone = len(node.beliefs) < 2 or self.is_disturbed
        unwarned = node in late and (len(late) > 1 or alone)
        return unwarned and traffic.service_at(address) not in flow.asked

    def swap(self, one: int, other: int) -> None:
        """Operators give two services each other's port."""
        ports = self.plan.ports
        ports[one], ports[other] = ports[other], ports[one]
        for number in (one, other):
            self.plan.port_since[number] = self.plan.version + 1
        self.publish()
        for port in (ports[one], ports[other]):
            self._swapped_at[port] = self.now
            self._swapped_in[port] = self.plan.version

    def stranger(self, flow: Flow, address) -> None:
        """A packet of a session reached an endpoint that has none of it."""
        self.oracle.stranger(flow, address, not self.is_disturbed)
