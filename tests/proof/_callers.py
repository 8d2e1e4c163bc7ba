"""Callers: they open, ask again, send requests and repeat themselves."""

from pollenmast.decisions._acceptance import Acceptance
from tests.proof import _traffic as traffic
from tests.proof._oracle import Flow, Line, Stage, ViolationError
from tests.proof._world import KEEP_ALIVE_S, World

_KEPT = 8


class Callers:
    """Every caller of a world."""

    def __init__(self, world: World):
        self.world = world
        self.flows: list[Flow] = []
        self._datagrams: dict[str, list[bytes]] = {}
        self._requests = 0

    def at(self, stage: Stage) -> list[Flow]:
        """Returns the flows at a stage."""
        return [flow for flow in self.flows if flow.stage is stage]

    def pick(self, which: int, stage: Stage) -> Flow | None:
        """Returns one flow at a stage."""
        flows = self.at(stage)
        return flows[which % len(flows)] if flows else None

    def number(self, which: int) -> int:
        """Returns the number of a running VM."""
        numbers = sorted(self.world.nodes)
        return numbers[which % len(numbers)]

    def open(self, service: traffic.Service, early: bool, to: int) -> Flow:
        """A caller opens a flow to the port that a service has by plan."""
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
        self.world.oracle.opened(flow)
        self.ask(flow, early, to)
        return flow

    def ask(self, flow: Flow, early: bool, to: int | None) -> None:
        """A caller sends its Initial, perhaps with a request behind it."""
        first = self._packet(flow)
        request = self._packet(flow, self._request()) if early else None
        self._send(flow, traffic.initial(first, request), to)

    def say(self, flow: Flow, to: int | None, twice: bool) -> str:
        """A caller sends a request in a session; returns the request."""
        request = self._request()
        chosen = traffic.connection_id(flow.name, flow.home)
        data = traffic.short(self._packet(flow, request), chosen)
        self._send(flow, data, to)
        if twice:
            flow.doubled = True
            self._send(flow, data, None)
        return request

    def keep_alive(self) -> None:
        """Callers that were quiet for long send a packet without request."""
        now = self.world.now
        for flow in self.at(Stage.OPEN):
            if now - flow.heard_at >= KEEP_ALIVE_S:
                chosen = traffic.connection_id(flow.name, flow.home)
                data = traffic.short(self._packet(flow), chosen)
                self._send(flow, data, None)

    def replay(self, which: int, to: int, age: int) -> None:
        """An old datagram of any flow arrives again."""
        if not self.flows:
            return
        flow = self.flows[which % len(self.flows)]
        if flow.former:
            # Its old datagrams come from an address that is not its own now.
            return
        sent = self._datagrams[flow.name]
        flow.doubled = True
        self.world.send(flow, sent[age % len(sent)], self.number(to))

    def move(self, flow: Flow) -> None:
        """A caller's address changes in mid-session."""
        self.world.on_move(flow)
        flow.former.add(flow.caller)
        ip, port = flow.caller
        flow.caller = (ip, port + 1000)

    def restart_agent(self, which: int) -> None:
        """The agent of a VM restarts."""
        node = self.world.nodes[self.number(which)]
        if not node.frozen:
            node.acceptance = Acceptance()
            self.world.agent_restarted = True
            node.dues.append(self.world.now)

    def check_bounds(self) -> None:
        """State is bounded by the flows that callers opened."""
        most = len(self.flows)
        for node in self.world.nodes.values():
            core = node.core
            sizes = {
                "flows": core.table.flows - 2 * most,
                "openings": len(core.openings) - most,
                "replicas": len(core.custody.replicas) - 2 * most,
            }
            over = [name for name, size in sizes.items() if size > 0]
            if over:
                raise ViolationError(Line.BOUNDED, f"{node.number}: {over}")

    def _send(self, flow: Flow, data: bytes, to: int | None) -> None:
        kept = self._datagrams[flow.name]
        kept.append(data)
        del kept[:-_KEPT]
        number = None if to is None else self.number(to)
        self.world.send(flow, data, number)

    def _packet(self, flow: Flow, request: str = "") -> traffic.Sent:
        flow.packets += 1
        return traffic.Sent(flow.name, flow.packets, request)

    def _request(self) -> str:
        self._requests += 1
        return f"r{self._requests}"
