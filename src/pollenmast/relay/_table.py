"""The flow table: services, endpoints and the flows between them."""

import abc

from pollenmast.manifest import EndpointState, Manifest, Service
from pollenmast.peers._records import FlowRecord, endpoint_id
from pollenmast.relay._flows import Flow, FlowState, Listener, Target
from pollenmast.upstreams._paths import Path, PathPool

REUSED_PORT_QUARANTINE_S = 30.0
"""Time for which a reassigned port opens no flows, in seconds.

Callers' libraries abandon a handshake by then, so that no more Initials for the
previous service are sent.
"""

_LONG_AGO = float("-inf")
"""Time of a port's reassignment that this VM has not seen; its quarantine is
over."""


class Transport(abc.ABC):
    """The socket operations that the relay core needs."""

    @abc.abstractmethod
    def open_listener(self, service: Service) -> Listener | None:
        """Opens a service's port towards callers; returns None on failure."""

    @abc.abstractmethod
    def open_path(self) -> Path:
        """Opens a local port towards upstreams."""

    @abc.abstractmethod
    def send_peer(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a sealed envelope to another relay."""


class FlowTable:
    """The flows that this relay forwards, with their ports and endpoints."""

    def __init__(self, transport: Transport, max_flows: int):
        self._transport = transport
        self._max_flows = max_flows
        self._pool = PathPool(transport.open_path)
        self._listeners: dict[int, Listener] = {}
        self._services: dict[int, Listener] = {}
        self._targets: dict[int, Target] = {}
        self._unopened_services: dict[int, Service] = {}
        self._reused_since: dict[int, float] = {}
        self._flows = 0
        self._moved: dict[tuple[int, str, int], Flow] = {}

    @property
    def flows(self) -> int:
        """Number of flows in the table."""
        return self._flows

    @property
    def full(self) -> bool:
        """Whether the table has no room for another flow."""
        return self._flows >= self._max_flows

    @property
    def listeners(self) -> list[Listener]:
        """All open ports towards callers."""
        return list(self._listeners.values())

    @property
    def targets(self) -> list[Target]:
        """All endpoints, including those that only older flows use."""
        return list(self._targets.values())

    @property
    def pool(self) -> PathPool:
        """The local ports towards upstreams."""
        return self._pool

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Applies a manifest."""
        self._unopened_services = {}
        for service in manifest.services:
            self._set_service(service, now)
        numbers = {service.number for service in manifest.services}
        for number in set(self._services) - numbers:
            del self._services[number]
        self._set_targets(manifest)

    def maintain_ports(self, now: float) -> None:
        """Retries ports that failed to open, and closes unused ones.

        Another program may use a port for a while. Without a retry, this VM
        would lose the service's packets until the next manifest.
        """
        for service in list(self._unopened_services.values()):
            self._set_service(service, now)
        for port, listener in list(self._listeners.items()):
            gone = listener.service.number not in self._services
            if gone and not listener.flows:
                listener.close()
                del self._listeners[port]

    def _set_service(self, service: Service, now: float) -> None:
        listener = self._listeners.get(service.port)
        if listener is None:
            listener = self._transport.open_listener(service)
            if listener is None:
                self._unopened_services[service.port] = service
                return
            self._unopened_services.pop(service.port, None)
            self._listeners[service.port] = listener
            if service.port_since:
                # This VM joined after the port was reassigned and has not seen
                # its previous service. It must not forward that service's
                # sessions to a default endpoint.
                self._reused_since.setdefault(service.port, _LONG_AGO)
        if listener.service.number != service.number:
            self._reused_since[service.port] = now
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
        """Returns the port of the service with this number, or None."""
        return self._services.get(service)

    def listener_at(self, port: int) -> Listener | None:
        """Returns the open port with this port number, or None."""
        return self._listeners.get(port)

    def target(self, endpoint: int) -> Target | None:
        """Returns the endpoint with this number, or None."""
        return self._targets.get(endpoint)

    def may_use_default(self, listener: Listener) -> bool:
        """Returns whether unknown flows may go to their default endpoint.

        A port that was reassigned may still receive packets of its previous
        service. A guess would send, for example, a packet meant for the
        registry service to the barcodes service, and the caller would see its
        session reset by an unrelated endpoint.
        """
        return listener.service.port not in self._reused_since

    def in_quarantine(self, listener: Listener, now: float) -> bool:
        """Returns whether a port was recently reassigned to another service.

        The network may still repeat the Initial of a session with the previous
        service. The Initial would open a flow at the new service, and the
        session's packets would be forwarded there as well.
        """
        since = self._reused_since.get(listener.service.port)
        return since is not None and now - since < REUSED_PORT_QUARANTINE_S

    def open(
        self,
        listener: Listener,
        caller: tuple[str, int],
        target: Target,
        state: FlowState,
        tick: int,
        now: float,
    ) -> Flow | None:
        """Opens a flow; returns None if the table is full or paths run out."""
        if self.full:
            return None
        flow = Flow(caller, listener, target, tick, state)
        flow.path = target.paths.assign(flow, now)
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
        """Moves a flow to a new path, to the same endpoint or another.

        The new path is taken before the old one is returned, so that the flow
        cannot get the path that it is to leave.

        Args:
            flow: The flow.
            target: The endpoint of the new path.
            tick: The tick from which the upstream's silence is counted.
            now: The runtime's clock, in seconds.
            lost: Whether the old path seems broken and must stay unused for
                longer.

        Returns:
            Whether a new path was free.
        """
        old_path, old_target = flow.path, flow.target
        path = target.paths.assign(flow, now)
        if path is None:
            return False
        old_target.paths.release(old_path, now, lost)
        old_target.flows -= 1
        target.flows += 1
        flow.path, flow.target = path, target
        flow.answered_tick = tick
        flow.unanswered = 0
        return True

    def release(self, flow: Flow) -> None:
        """Detaches a flow from its caller; late answers are still forwarded."""
        if flow.listener.flows.get(flow.caller) is flow:
            del flow.listener.flows[flow.caller]
        flow.state = FlowState.HANDED_OVER
        self._moved[flow.listener.service.port, *flow.caller] = flow

    def end_moved(self, record: FlowRecord, now: float) -> None:
        """Removes a flow that another relay now forwards in both directions."""
        flow = self._moved.get(record.key)
        if flow is not None:
            self.end(flow, now)

    @property
    def moved(self) -> int:
        """Number of detached flows whose late answers are still forwarded."""
        return len(self._moved)

    def end(self, flow: Flow, now: float) -> None:
        """Removes a flow and returns its path to the pool."""
        if flow.listener.flows.get(flow.caller) is flow:
            del flow.listener.flows[flow.caller]
        key = (flow.listener.service.port, *flow.caller)
        if self._moved.get(key) is flow:
            del self._moved[key]
        flow.target.paths.release(flow.path, now)
        flow.target.flows -= 1
        self._flows -= 1

    def all_flows(self) -> list[Flow]:
        """Returns a snapshot of all flows, including moved ones."""
        return [
            flow for path in self._pool.paths for flow in path.flows.values()
        ]

    def close(self) -> None:
        """Closes all ports, towards callers and upstreams."""
        for listener in self._listeners.values():
            listener.close()
        self._pool.close()
