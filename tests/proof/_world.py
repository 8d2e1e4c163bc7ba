"""Simulated fleet: real relays on a fake network with a simulated clock.

The module is long because every rule of the state machine acts on this one
world.
"""

import random

from pollenmast.fleet import EndpointReport, Vm, VmState
from standins import memory as fakes
from tests.proof import _traffic as traffic
from tests.proof._node import Node
from tests.proof._oracle import (
    SETTLE_S,
    Flow,
    Invariant,
    Oracle,
    Stage,
    ViolationError,
)
from tests.proof._upstreams import Upstreams
from tests.proof._wire import Fault, PeerWire

TICK_S = 0.05
VIEW_INTERVAL_S = 1.0
ANNOUNCED_DELAY_S = (0.0, 1.0)
"""Range of the delay, in seconds, until a VM learns of an announced change."""

DETECTION_DELAY_S = (1.0, 2.2)
"""Range of the delay, in seconds, until a VM detects an unannounced change."""

QUIET_S = 14.0
"""Seconds of inactivity after which a planned stop abandons a flow.

It corresponds to the setting `drain_quiet_s`, 15 s. Callers' keep-alive
interval must be shorter.
"""

MANIFEST_SPREAD_S = 2.2
"""Longest time, in seconds, that a manifest takes from one VM to all others."""

GRACE_S = 60.0
"""Longest duration of a planned stop, in seconds.

Flows that are left after it are lost, as if the VM had been killed.
"""

KEEP_ALIVE_S = 5.0

LONG_LIVED_AGE_S = 2.0
"""Age in seconds from which another VM stores a flow's connection id."""


class World:
    """The VMs, upstreams, callers and platform of one simulation.

    Attributes:
        now: Simulated time in seconds.
        nodes: The running VMs, by number.
        oracle: Checks the invariants.
        upstreams: The simulated upstreams.
        wire: The network between relays.
        plan: The configuration that operators intend.
        served_manifests: The manifest that the platform serves in each
            availability zone.
        platform_up: Whether the platform is reachable.
        partitioned_zone: The availability zone that is partitioned off, if any.
        load: Load reports of the endpoints, by name.
        agent_restarted: Whether an agent has restarted since the last release.
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
        self.served_manifests = dict.fromkeys(traffic.ZONES, self.plan.text())
        self.platform_up = True
        self.partitioned_zone: str | None = None
        self.load: dict[str, dict] = {}
        self.responding_session = None
        self.agent_restarted = False
        self.keep_alive = lambda: None
        self._sequence = 0
        self._last_loss_at = 0.0
        self._swapped_at: dict[int, float] = {}
        self._swapped_in: dict[int, int] = {}
        self._views_renewed_at = self.now
        self._changed_at = self.now
        self._disturbed_until = 0.0
        for number in range(1, vms + 1):
            self._add(number)
        for node in self.nodes.values():
            self._refresh_node(node)
        self.advance(SETTLE_S)

    # Current state.

    def is_running(self, node: Node) -> bool:
        """Returns whether this process, not a successor, is running."""
        return self.nodes.get(node.number) is node

    def is_partitioned(self, zone: str, address) -> bool:
        """Returns whether a partition separates a zone from an upstream."""
        other = traffic.zone_of(traffic.endpoint_at(address))
        return self._separates(zone, other)

    def _separates(self, zone: str, other: str) -> bool:
        return self.partitioned_zone is not None and (
            zone == self.partitioned_zone
        ) != (other == self.partitioned_zone)

    def _is_cut(self, source: int, target: int) -> bool:
        return self._separates(fakes.vm(source).zone, fakes.vm(target).zone)

    @property
    def is_disturbed(self) -> bool:
        """Whether there is a partition, or one has only just healed."""
        return (
            self.partitioned_zone is not None
            or self.now < self._disturbed_until
        )

    def holders(self, flow: Flow) -> list[Node]:
        """Returns the VMs that have the flow in their flow table."""
        return [
            node
            for node in self.nodes.values()
            for listener in node.core.table.listeners
            if listener.service.port == flow.port
            and flow.caller in listener.flows
        ]

    def fleet_known_leaving_for(self, node: Node, address) -> float:
        """Returns for how many seconds the fleet has known an endpoint leaves.

        The time that the newest manifest may need to spread between VMs is
        subtracted.
        """
        others = [
            other
            for other in self.nodes.values()
            if not other.frozen and not self._is_cut(node.number, other.number)
        ]
        if self.is_disturbed:
            return 0.0
        newest = max(others, key=lambda each: each.acceptance.key)
        since = newest.agent_leaving_since.get(address, self.now)
        return self.now - since - MANIFEST_SPREAD_S

    # Planned changes.

    def publish(self, lag_zone: str | None = None) -> None:
        """Publishes the operators' plan.

        Args:
            lag_zone: An availability zone that keeps its old manifest.
        """
        self.plan.version += 1
        self.agent_restarted = False
        text = self.plan.text()
        for zone in traffic.ZONES:
            if zone != lag_zone:
                self.served_manifests[zone] = text
        self.change(ANNOUNCED_DELAY_S)

    def change(self, lag: tuple[float, float]) -> None:
        """Schedules an update of every VM after a change.

        Args:
            lag: Range of the delay, drawn separately for each VM.
        """
        self._changed_at = self.now
        if lag is ANNOUNCED_DELAY_S:
            self._excuse_lost_and_removed()
        for node in self.nodes.values():
            node.update_times.append(self.now + self._rng.uniform(*lag))

    def _excuse_lost_and_removed(self) -> None:
        """Excuses flows that a planned change may break right after a loss.

        A flow whose VM was lost is recovered when its caller's next packet
        arrives; a change before that may alter the endpoint that is computed
        for it. The sessions of an upstream that is removed are lost with it.
        """
        gone = {traffic.address_of(name) for name in self.plan.gone}
        for flow in self.oracle.flows.values():
            if flow.stage is not Stage.OPEN:
                continue
            if flow.chosen_upstream in gone:
                self.oracle.excuse(flow, "upstream taken out")
            elif not self.holders(flow) and not self.may_be_idle(flow):
                self.oracle.excuse(flow, "changed just after a loss")

    def join(self, number: int) -> None:
        """Starts a VM."""
        self._add(number)
        self.change(ANNOUNCED_DELAY_S)

    def _add(self, number: int) -> None:
        node = Node(number, self)
        self.nodes[number] = node
        node.start(self.now)
        node.update_times.append(self.now)

    def stop(self, number: int) -> None:
        """Begins a planned stop of a VM; it ends once it is drained."""
        node = self.nodes[number]
        node.leaving = True
        node.left_at = self.now
        node.run(node.core.drain)
        self.change(ANNOUNCED_DELAY_S)

    def _end_stopped(self) -> None:
        for node in [each for each in self.nodes.values() if each.leaving]:
            over = self.now - node.left_at > GRACE_S
            if not node.frozen and (over or node.core.drained()):
                if over and self._last_loss_at > node.left_at - SETTLE_S:
                    self.excuse_lost([node.number], "grace over")
                self._check_flows_finished(node)
                del self.nodes[node.number]
                self.change(ANNOUNCED_DELAY_S)

    def _check_flows_finished(self, node: Node) -> None:
        for flow in self.oracle.flows.values():
            if flow.stage is not Stage.OPEN or self.is_quiet(flow):
                continue
            session = self.upstreams.session(flow)
            if session and session.path.node is node and not flow.excused:
                raise ViolationError(
                    Invariant.GRACEFUL,
                    f"{node.number} ended while it still carried {flow.name}",
                )

    def is_quiet(self, flow: Flow) -> bool:
        """Returns whether a planned stop no longer waits for the flow."""
        return self.now - flow.last_active_at > QUIET_S

    def may_be_idle(self, flow: Flow) -> bool:
        """Returns whether the flow may have reached its idle timeout.

        The limit of 50 s is a little below the idle timeout.
        """
        return self.now - flow.last_active_at > 50.0

    # Unplanned losses.

    def excuse_lost(self, numbers: list[int], why: str) -> None:
        """Excuses the flows that an unplanned loss of VMs may break.

        A flow breaks only if the VM that carries it is affected and no other
        VM has its record. That is so if its caller sent nothing after the
        first second, or if the flow, the membership or the manifest changed
        in the last few seconds.
        """
        self._last_loss_at = self.now
        for flow in self.oracle.flows.values():
            held = [node.number for node in self.holders(flow)]
            if held and not set(held) & set(numbers):
                continue
            long_lived_at = (
                self.now if flow.long_lived_at is None else flow.long_lived_at
            )
            since = max(long_lived_at, self._changed_at)
            if flow.stage is Stage.ASKED or self.now - since < SETTLE_S:
                self.oracle.excuse(flow, why)

    def on_move(self, flow: Flow) -> None:
        """Excuses a flow whose caller changes address, unless nothing changed.

        The session is found by its connection id, which two VMs store. They
        are sent it only once, so a membership change since the flow opened
        may lose it. Flows of request services are not stored at all.
        """
        is_long_lived = flow.long_lived_at is not None
        calm = is_long_lived and self.now - flow.long_lived_at >= SETTLE_S
        if flow.requested_services == {traffic.BARCODES.number}:
            calm = False
        if not calm or self._changed_at >= flow.opened_at:
            self.oracle.excuse(flow, "caller moved")

    def kill(self, number: int) -> None:
        """Kills a VM without notice."""
        self.excuse_lost([number], "killed")
        del self.nodes[number]
        self.change(DETECTION_DELAY_S)

    def freeze(self, number: int) -> None:
        """Suspends a VM."""
        self.excuse_lost([number], "frozen")
        self.nodes[number].frozen = True
        self.change(DETECTION_DELAY_S)

    def wake(self, number: int) -> None:
        """Resumes a suspended VM with a stale view and a full receive queue."""
        node = self.nodes[number]
        node.frozen = False
        node.unsure = True
        while node.inbox:
            node.inbox.popleft()()
        node.update_times = [self.now + self._rng.uniform(*ANNOUNCED_DELAY_S)]
        self.deliver()
        self.change(ANNOUNCED_DELAY_S)

    def partition(self, zone: str) -> None:
        """Partitions an availability zone from the others."""
        self.excuse_lost([*self.nodes], "cut off")
        self.partitioned_zone = zone
        self.change(DETECTION_DELAY_S)

    def heal(self) -> None:
        """Ends the partition."""
        self.partitioned_zone = None
        self._disturbed_until = self.now + SETTLE_S
        self.change(DETECTION_DELAY_S)

    def inject_faults(self, faults: list[Fault]) -> None:
        """Injects faults into the next envelopes between relays."""
        self.wire.faults.extend(faults)
        self._changed_at = self.now

    # Time.

    def advance(self, seconds: float) -> None:
        """Advances the simulated time in ticks of `TICK_S`."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self.now += TICK_S
            self._update_nodes()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.core.tick(self.now)
            self.deliver()
            self.keep_alive()
            self._end_stopped()

    def _update_nodes(self) -> None:
        renew = self.now - self._views_renewed_at >= VIEW_INTERVAL_S
        if renew:
            self._views_renewed_at = self.now
            self._sequence += 1
        for node in list(self.nodes.values()):
            if node.frozen:
                continue
            due = [at for at in node.update_times if at <= self.now]
            if due:
                node.update_times = [
                    at for at in node.update_times if at > self.now
                ]
                self._refresh_node(node)
            elif renew:
                self._read_manifests(node)
                node.send_view(self.now, self._reports())

    def _refresh_node(self, node: Node) -> None:
        node.known_vms = tuple(
            self._as_member(other)
            for other in self.nodes.values()
            if other is node
            or not (other.frozen or self._is_cut(node.number, other.number))
        )
        node.unsure = False
        self._read_manifests(node)
        node.send_view(self.now, self._reports())

    def _as_member(self, node: Node) -> Vm:
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
        if self.platform_up and node.zone != self.partitioned_zone:
            texts.append(self.served_manifests[node.zone])
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
        """Delivers all queued envelopes, including those sent meanwhile."""
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
        """Delivers a caller's datagram to a VM, by default a random one."""
        if number is None:
            number = self._rng.choice(sorted(self.nodes))
        node = self.nodes.get(number)
        if node is not None:
            flow.last_active_at = self.now
            is_long_lived = self.now - flow.opened_at >= LONG_LIVED_AGE_S
            if flow.long_lived_at is None and is_long_lived:
                flow.long_lived_at = self.now
            node.run(lambda: self._at_port(node, flow, data))
            self.deliver()

    def _at_port(self, node: Node, flow: Flow, data: bytes) -> None:
        for listener in node.core.table.listeners:
            if listener.service.port == flow.port:
                if flow.chosen_upstream is None and not flow.sessions:
                    flow.requested_services.add(listener.service.number)
                node.core.on_caller(listener, data, flow.caller, self.now)
                return

    def on_sent_to_caller(
        self, node: Node, data: bytes, caller, port: int
    ) -> None:
        """Handles a datagram that a relay sends to a caller."""
        packets = traffic.read(data)
        if packets:
            session = self.responding_session
            part = (session.upstream, packets[0].number)
            self.oracle.on_answered(session.flow, part, caller, port, self.now)
            return
        flow = self.oracle.flows[traffic.refused_session(data)]
        self.oracle.on_refused(flow)

    def services_on_port(self, port: int) -> set[int]:
        """Returns the services that any relay currently assigns to a port."""
        return {
            listener.service.number
            for node in self.nodes.values()
            for listener in node.core.table.listeners
            if listener.service.port == port
        }

    def may_misroute(self, node: Node, flow: Flow, address) -> bool:
        """Returns whether a relay may misroute a packet of a reassigned port.

        After an unplanned loss, a relay that started after the port was
        reassigned, or that has not applied the new manifest yet, sends a
        packet of a flow unknown to the fleet to the service that has the port
        now, unless all VMs that it asks have seen the reassignment.
        """
        swapped_at = self._swapped_at.get(flow.port)
        if not flow.excused or swapped_at is None:
            return False
        uninformed = [
            each
            for each in self.nodes.values()
            if each.started_at >= swapped_at
            or each.told[0] < self._swapped_in[flow.port]
        ]
        cannot_ask = len(node.known_vms) < 2 or self.is_disturbed
        is_uninformed = node in uninformed and (
            len(uninformed) > 1 or cannot_ask
        )
        return (
            is_uninformed
            and traffic.service_at(address) not in flow.requested_services
        )

    def exchange_ports(self, one: int, other: int) -> None:
        """Publishes a plan in which two services have exchanged ports."""
        ports = self.plan.ports
        ports[one], ports[other] = ports[other], ports[one]
        for number in (one, other):
            self.plan.port_since[number] = self.plan.version + 1
        self.publish()
        for port in (ports[one], ports[other]):
            self._swapped_at[port] = self.now
            self._swapped_in[port] = self.plan.version

    def on_unknown_session(self, flow: Flow, address) -> None:
        """Handles a packet that reached an endpoint without its session."""
        self.oracle.on_unknown_session(flow, address, not self.is_disturbed)
