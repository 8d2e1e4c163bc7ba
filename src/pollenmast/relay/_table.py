"""The flow table: services, endpoints and the flows between them."""

import abc

from pollenmast.manifest import EndpointState, Manifest, Service
from pollenmast.peers._records import FlowRecord, endpoint_id
from pollenmast.relay._flows import Flow, FlowState, Listener, Target
from pollenmast.upstreams._paths import Path, PathPool

REUSED_REST_S = 30.0
"""Time for which a port that was given to another service opens no flows. A
caller's library gives up a handshake by then, so no Initial for the service
before is sent any more."""

_LONG_AGO = float("-inf")


class Wire(abc.ABC):
    """The sockets of a relay, behind what its decisions need of them."""

    @abc.abstractmethod
    def open_listener(self, service: Service) -> Listener | None:
        """Opens a service's port towards callers, None if it cannot."""

    @abc.abstractmethod
    def open_path(self) -> Path:
        """Opens a local port towards upstreams."""

    @abc.abstractmethod
    def send_peer(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends an envelope to another relay."""


class FlowTable:
    """Every flow that this relay carries, and what it needs to carry them."""

    def __init__(self, wire: Wire, most_flows: int):
        self._wire = wire
        self._most_flows = most_flows
        self._pool = PathPool(wire.open_path)
        self._listeners: dict[int, Listener] = {}
        self._services: dict[int, Listener] = {}
        self._targets: dict[int, Target] = {}
        self._unopened: dict[int, Service] = {}
        self._reused: dict[int, float] = {}
        self._flows = 0
        self._moved: dict[tuple[int, str, int], Flow] = {}

    @property
    def flows(self) -> int:
        """Flows in the table."""
        return self._flows

    @property
    def full(self) -> bool:
        """Whether no further flow fits."""
        return self._flows >= self._most_flows

    @property
    def listeners(self) -> list[Listener]:
        """Every open port towards callers."""
        return list(self._listeners.values())

    @property
    def targets(self) -> list[Target]:
        """Every endpoint that a flow may go to or still goes to."""
        return list(self._targets.values())

    @property
    def pool(self) -> PathPool:
        """The local ports towards upstreams."""
        return self._pool

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Takes a manifest."""
        self._unopened = {}
        for service in manifest.services:
            self._set_service(service, now)
        numbers = {service.number for service in manifest.services}
        for number in set(self._services) - numbers:
            del self._services[number]
        self._set_targets(manifest)

    def tend(self, now: float) -> None:
        """Opens what did not open before, and closes what nobody needs.

        A port may be taken for a while by a program that ends; were it not
        tried again, this VM would lose a service's packets until the next
        manifest.
        """
        for service in list(self._unopened.values()):
            self._set_service(service, now)
        for port, listener in list(self._listeners.items()):
            gone = listener.service.number not in self._services
            if gone and not listener.flows:
                listener.close()
                del self._listeners[port]

    def _set_service(self, service: Service, now: float) -> None:
        listener = self._listeners.get(service.port)
        if listener is None:
            listener = self._wire.open_listener(service)
            if listener is None:
                self._unopened[service.port] = service
                return
            self._unopened.pop(service.port, None)
            self._listeners[service.port] = listener
            if service.port_since:
                # This VM joined after the change: it has not seen the port's
                # service before, and must not guess for that one's sessions.
                self._reused.setdefault(service.port, _LONG_AGO)
        if listener.service.number != service.number:
            self._reused[service.port] = now
        listener.service = service
        self._services[service.number] = listener

    def _set_targets(self, manifest: Manifest) -> None:
        for target in self._targets.values():
            target.serving = False
        for service in manifest.services:
            for endpoint in service.endpoints:
                key = endpoint_id(service.number, endpoint.name)
                address = (endpoint.address, endpoint.port)
                target = self._targets.get(key)
                if target is None or target.address != address:
                    target = Target(
                        service.number,
                        endpoint.name,
                        key,
                        address,
                        self._pool,
                    )
                    self._targets[key] = target
                target.idempotent = service.idempotent
                target.serving = endpoint.state is EndpointState.SERVING

    def listener(self, service: int) -> Listener | None:
        """Returns the port of the service with this number."""
        return self._services.get(service)

    def at_port(self, port: int) -> Listener | None:
        """Returns the service whose callers send to this port."""
        return self._listeners.get(port)

    def target(self, endpoint: int) -> Target | None:
        """Returns the endpoint with this number."""
        return self._targets.get(endpoint)

    def may_guess(self, listener: Listener) -> bool:
        """Returns whether an unknown flow may go to its default endpoint.

        A port that served another service before may still get that service's
        packets. Guessing would send a packet meant for the registry to
        barcodes; the caller would see its session reset by a stranger.
        """
        return listener.service.port not in self._reused

    def rests(self, listener: Listener, now: float) -> bool:
        """Returns whether a port has just been given to another service.

        The network may still repeat the Initial of a session with the service
        before. It would open a flow at the new one, and the session's packets
        would follow it there.
        """
        since = self._reused.get(listener.service.port)
        return since is not None and now - since < REUSED_REST_S

    def open(
        self,
        listener: Listener,
        caller: tuple[str, int],
        target: Target,
        state: FlowState,
        tick: int,
        now: float,
    ) -> Flow | None:
        """Opens a flow to an endpoint, or None when nothing is left for it."""
        if self.full:
            return None
        flow = Flow(caller, listener, target, tick, state)
        flow.path = target.paths.take(flow, now)
        if flow.path is None:
            return None
        listener.flows[caller] = flow
        target.flows += 1
        self._flows += 1
        return flow

    def move(
        self,
        flow: Flow,
        target: Target,
        tick: int,
        now: float,
        lost: bool = False,
    ) -> bool:
        """Gives a flow a new path, to the same endpoint or another.

        `lost` says that the old one seems lost, and must rest for longer.

        The new path is taken before the old one is given back, so that the
        flow cannot be handed the path that it is to leave.
        """
        old_path, old_target = flow.path, flow.target
        path = target.paths.take(flow, now)
        if path is None:
            return False
        old_target.paths.give_back(old_path, now, lost)
        old_target.flows -= 1
        target.flows += 1
        flow.path, flow.target = path, target
        flow.answered = tick
        flow.unanswered = 0
        return True

    def let_go(self, flow: Flow) -> None:
        """Stops taking a flow's packets from callers; answers still pass."""
        if flow.listener.flows.get(flow.caller) is flow:
            del flow.listener.flows[flow.caller]
        flow.state = FlowState.MOVED
        self._moved[flow.listener.service.port, *flow.caller] = flow

    def end_moved(self, record: FlowRecord, now: float) -> None:
        """Forgets a flow that another relay now carries in both directions."""
        flow = self._moved.get(record.key)
        if flow is not None:
            self.end(flow, now)

    @property
    def moved(self) -> int:
        """Flows let go whose late answers still pass here."""
        return len(self._moved)

    def end(self, flow: Flow, now: float) -> None:
        """Forgets a flow."""
        if flow.listener.flows.get(flow.caller) is flow:
            del flow.listener.flows[flow.caller]
        key = (flow.listener.service.port, *flow.caller)
        if self._moved.get(key) is flow:
            del self._moved[key]
        flow.target.paths.give_back(flow.path, now)
        flow.target.flows -= 1
        self._flows -= 1

    def every_flow(self) -> list[Flow]:
        """Returns a snapshot of all flows, moved ones included."""
        return [
            flow for path in self._pool.paths for flow in path.flows.values()
        ]

    def close(self) -> None:
        """Closes every port."""
        for listener in self._listeners.values():
            listener.close()
        self._pool.close()
