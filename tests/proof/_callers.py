"""Simulated callers: they open sessions, send requests and repeat packets."""

from pollenmast.decisions._acceptance import Acceptance
from tests.proof import _traffic as traffic
from tests.proof._oracle import Flow, Invariant, Stage, ViolationError
from tests.proof._world import KEEP_ALIVE_S, World

_MAX_KEPT = 8


class Callers:
    """All callers of a simulated fleet.

    Attributes:
        world: The simulated fleet.
        flows: All sessions that callers have opened.
    """

    def __init__(self, world: World):
        self.world = world
        self.flows: list[Flow] = []
        self._datagrams: dict[str, list[bytes]] = {}
        self._requests = 0

    def in_stage(self, stage: Stage) -> list[Flow]:
        """Returns the flows in a given stage."""
        return [flow for flow in self.flows if flow.stage is stage]

    def pick(self, which: int, stage: Stage) -> Flow | None:
        """Returns one flow in a given stage, or None if there is none."""
        flows = self.in_stage(stage)
        return flows[which % len(flows)] if flows else None

    def vm_number(self, which: int) -> int:
        """Returns the number of a running VM."""
        numbers = sorted(self.world.nodes)
        return numbers[which % len(numbers)]

    def open(self, service: traffic.Service, early: bool, to: int) -> Flow:
        """Opens a flow to the port that the plan gives a service."""
        index = len(self.flows)
        flow = Flow(
            f"f{index}",
            (f"10.0.0.{index % 7 + 1}", 30000 + index),
            self.world.plan.ports[service.number],
            {service.number},
            self.world.now,
        )
        self.flows.append(flow)
        self._datagrams[flow.name] = []
        self.world.oracle.on_opened(flow)
        self.send_initial(flow, early, to)
        return flow

    def send_initial(self, flow: Flow, early: bool, to: int | None) -> None:
        """Sends a caller's Initial, optionally with a request in 0-RTT."""
        first = self._packet(flow)
        request = self._packet(flow, self._request()) if early else None
        self._send(flow, traffic.initial(first, request), to)

    def send_request(self, flow: Flow, to: int | None, twice: bool) -> str:
        """Sends a request in an open session.

        Args:
            flow: The session.
            to: Which running VM receives it; None for a random one.
            twice: Whether the network duplicates the datagram.

        Returns:
            The request's name.
        """
        request = self._request()
        chosen = traffic.connection_id(flow.name, flow.chosen_upstream)
        data = traffic.short(self._packet(flow, request), chosen)
        self._send(flow, data, to)
        if twice:
            flow.duplicated = True
            self._send(flow, data, None)
        return request

    def keep_alive(self) -> None:
        """Sends a packet without a request for each session that was idle."""
        now = self.world.now
        for flow in self.in_stage(Stage.OPEN):
            if now - flow.last_active_at >= KEEP_ALIVE_S:
                chosen = traffic.connection_id(flow.name, flow.chosen_upstream)
                data = traffic.short(self._packet(flow), chosen)
                self._send(flow, data, None)

    def replay(self, which: int, to: int, age: int) -> None:
        """Delivers an old datagram of any flow again."""
        if not self.flows:
            return
        flow = self.flows[which % len(self.flows)]
        if flow.former_callers:
            # Its old datagrams came from an address that it no longer has.
            return
        sent = self._datagrams[flow.name]
        flow.duplicated = True
        self.world.send(flow, sent[age % len(sent)], self.vm_number(to))

    def move(self, flow: Flow) -> None:
        """Changes a caller's address during its session."""
        self.world.on_move(flow)
        flow.former_callers.add(flow.caller)
        ip, port = flow.caller
        flow.caller = (ip, port + 1000)

    def restart_agent(self, which: int) -> None:
        """Restarts the agent of a VM, without its manifest."""
        node = self.world.nodes[self.vm_number(which)]
        if not node.frozen:
            node.acceptance = Acceptance()
            self.world.agent_restarted = True
            node.update_times.append(self.world.now)

    def check_bounds(self) -> None:
        """Checks that relay state is bounded by the number of flows opened."""
        most = len(self.flows)
        for node in self.world.nodes.values():
            core = node.core
            sizes = {
                "flows": core.table.flows - 2 * most,
                "openings": len(core.openings) - most,
                "replicas": len(core.record_exchange.replicas) - 2 * most,
            }
            over = [name for name, size in sizes.items() if size > 0]
            if over:
                raise ViolationError(
                    Invariant.BOUNDED, f"{node.number}: {over}"
                )

    def _send(self, flow: Flow, data: bytes, to: int | None) -> None:
        kept = self._datagrams[flow.name]
        kept.append(data)
        del kept[:-_MAX_KEPT]
        number = None if to is None else self.vm_number(to)
        self.world.send(flow, data, number)

    def _packet(self, flow: Flow, request: str = "") -> traffic.PacketContent:
        flow.packets += 1
        return traffic.PacketContent(flow.name, flow.packets, request)

    def _request(self) -> str:
        self._requests += 1
        return f"r{self._requests}"
