"""Simulated upstreams: their sessions and their responses."""

import attrs

from tests.proof import _traffic as traffic
from tests.proof._node import PORT_REST_S, SimulatedPath
from tests.proof._oracle import Flow, Invariant, Stage, ViolationError


@attrs.define(eq=False)
class Session:
    """One upstream's state of one caller's session.

    Attributes:
        flow: The caller's session.
        upstream: The upstream's address.
        path: The path of the newest packet; responses go back on it.
        seen: Numbers of the packets received.
        parts: Number of response parts sent.
        heard: Time at which its last packet arrived.
    """

    flow: Flow
    upstream: tuple[str, int]
    path: SimulatedPath
    seen: set[int] = attrs.field(factory=set)
    parts: int = 0
    heard: float = 0.0


class Upstreams:
    """All upstreams of a simulated fleet.

    Attributes:
        dead: Addresses that process and answer nothing.
        mute: Addresses that run requests but whose responses are lost.
        slow: Addresses whose responses are delayed until released.
        waiting: Delayed responses, as session and part.
    """

    def __init__(self, world):
        self._world = world
        self._sessions: dict[tuple[str, tuple[str, int]], Session] = {}
        self.dead: set[tuple[str, int]] = set()
        self.mute: set[tuple[str, int]] = set()
        self.slow: set[tuple[str, int]] = set()
        self.waiting: list[tuple[Session, int]] = []

    def session(self, flow: Flow) -> Session | None:
        """Returns the session at the upstream that a caller talks to."""
        return self._sessions.get((flow.name, flow.chosen_upstream))

    def crash(self, address: tuple[str, int]) -> None:
        """Restarts an upstream, which loses its sessions."""
        for key, session in list(self._sessions.items()):
            if key[1] == address:
                del self._sessions[key]
                if session.flow.chosen_upstream in (None, address):
                    self._world.oracle.excuse(session.flow, "upstream crashed")

    def take(self, path: SimulatedPath, data: bytes, address) -> None:
        """Handles a datagram from a relay."""
        world, node = self._world, path.node
        if address in path.lost or world.is_partitioned(node.zone, address):
            return
        packets = traffic.read(data)
        flow = world.oracle.flows[packets[0].session] if packets else None
        early = bool(data) and traffic.is_long(data)
        for sent in packets:
            if not self._is_permitted_opening(flow, path, data, address):
                world.oracle.on_passed(sent, address, node.number, early)
        if address in self.dead or not packets:
            return
        session = self._find(flow, path, data, address)
        if session is None:
            return
        for sent in packets:
            self._run(session, path, sent)

    def _is_permitted_opening(self, flow: Flow, path, data, address) -> bool:
        """Returns whether a packet may reach another service on its port.

        While a release spreads, a port may belong to two services, and the
        network may repeat an old Initial at any time. Such an Initial cannot
        run anything that is not counted once the caller has received an
        upstream's response.
        """
        world = self._world
        number = traffic.service_at(address)
        if world.may_misroute(path.node, flow, address):
            return True
        if not traffic.opens(data) or number not in world.services_on_port(
            flow.port
        ):
            return False
        if flow.chosen_upstream is None:
            flow.requested_services.add(number)
            return False
        return number not in flow.requested_services

    def _find(self, flow: Flow, path, data, address) -> Session | None:
        session = self._sessions.get((flow.name, address))
        known = session is not None and flow.chosen_upstream in (None, address)
        if known:
            return session
        if (
            session is None
            and traffic.opens(data)
            and flow.chosen_upstream is None
        ):
            session = Session(flow, address, path)
            self._sessions[flow.name, address] = session
            node, now = path.node, self._world.now
            known_leaving_for = node.known_leaving_for(address, now)
            self._world.oracle.on_new_session(
                flow, address, known_leaving_for, node.number
            )
            return session
        if not traffic.is_long(data):
            self._world.on_unknown_session(flow, address)
        return None

    def _run(self, session: Session, path, sent: traffic.PacketContent) -> None:
        if sent.number in session.seen:
            return
        if sent.number > max(session.seen, default=-1):
            session.path = path
        session.seen.add(sent.number)
        session.heard = self._world.now
        if sent.request:
            self._world.oracle.on_ran(
                session.flow, sent.request, session.upstream
            )
        self.answer(session)

    def answer(self, session: Session) -> None:
        """Sends the next response part of a session, or delays it."""
        session.parts += 1
        session.flow.answers.add((session.upstream, session.parts))
        if session.upstream in self.slow:
            self.waiting.append((session, session.parts))
        else:
            self.send(session, session.parts)

    def release_delayed(self, order: int) -> None:
        """Releases one delayed response, chosen by `order`."""
        if self.waiting:
            self.send(*self.waiting.pop(order % len(self.waiting)))

    def send(self, session: Session, part: int) -> None:
        """Sends a response part on the session's path."""
        path, world = session.path, self._world
        node = path.node
        if session.upstream in self.dead | self.mute:
            return
        if session.upstream in path.lost:
            return
        if not world.is_running(node) or world.is_partitioned(
            node.zone, session.upstream
        ):
            return
        sent = traffic.PacketContent(session.flow.name, part, "answer")
        data = _answer(sent, session.upstream)
        node.run(lambda: self._at_relay(session, path, data))

    def _at_relay(self, session: Session, path, data: bytes) -> None:
        """Handles a response at the relay as `_sockets` does when readable."""
        world, flow = self._world, path.flows.get(session.upstream)
        if flow is None:
            self._on_dropped_response(session, path)
            return
        core = path.node.core
        world.responding_session = session
        if flow.state.name != "ESTABLISHED":
            core.on_first_answer(flow, data, world.now)
        flow.answered_tick = core.tick_now
        flow.unanswered = 0
        flow.target.answered_tick = core.tick_now
        if flow.caller != session.flow.caller and self._may_stray(
            session, path
        ):
            return
        flow.listener.send(data, flow.caller)

    def _may_stray(self, session: Session, path: SimulatedPath) -> bool:
        """Returns whether a response may reach the next user of its port.

        That is so if its session was abandoned at least `PORT_REST_S` ago.
        """
        flow = session.flow
        given_up = (
            flow.stage is not Stage.OPEN
            or flow.chosen_upstream != session.upstream
        )
        return given_up and self._world.now - session.heard >= PORT_REST_S

    def _on_dropped_response(
        self, session: Session, path: SimulatedPath
    ) -> None:
        flow = session.flow
        alive = (
            flow.stage is Stage.OPEN
            and flow.chosen_upstream == session.upstream
        )
        if not alive or flow.excused or self._world.is_disturbed:
            return
        invariant = (
            Invariant.GRACEFUL if path.node.leaving else Invariant.WHOLE_ANSWER
        )
        raise ViolationError(
            invariant,
            f"a response to {flow.name} was dropped by {path.node.number}",
        )


def _answer(sent: traffic.PacketContent, upstream: tuple[str, int]) -> bytes:
    if sent.number == 1:
        chosen = traffic.connection_id(sent.session, upstream)
        return traffic.first_answer(sent, chosen)
    return traffic.short(sent)
