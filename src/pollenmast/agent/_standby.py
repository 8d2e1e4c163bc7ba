"""Forwards callers' datagrams while this VM's relay is down.

The fabric sends a VM its share of all datagrams as long as the platform lists
the VM, and the list holds VMs, not programs. If nothing read the ports of a
relay that has crashed or hangs, callers would lose that share of their
packets: handshakes would take seconds, and some would never complete. The
agent therefore binds the ports as well and sends each datagram to the relay
that owns its flow, as a relay does with a flow that it does not know.
"""

import select
import socket

import anyio

from pollenmast import counters as c
from pollenmast import events
from pollenmast.agent._node import Node
from pollenmast.decisions._fleet import Fleet
from pollenmast.decisions._ownership import flow_hash
from pollenmast.fleet import Vm
from pollenmast.manifest import Service
from pollenmast.peers._envelope import Sealer, standby_name
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import Forwarded, pack_forwarded
from pollenmast.peers._udp import service_socket

CHECK_INTERVAL_S = 0.2
"""Interval between checks of the manifest, fleet and relay, in seconds.

Heartbeats take at least as long to spread a change.
"""

BATCH_SIZE = 64
"""Maximum number of datagrams read from one port in a row.

Forwarding one takes some tens of microseconds, so a batch delays heartbeats
by a few milliseconds at most.
"""

RETRY_AFTER_MS = 1_000
"""Time after which a refused caller may retry, in milliseconds.

Callers are refused while no VM has a relay, and programs restart within this
time.
"""

_MAX_DATAGRAM_BYTES = 9_216
_Address = tuple[str, int]


class Standby:
    """Reads the services' ports in place of this VM's relay."""

    def __init__(self, node: Node):
        """Initializes the standby without opening any port.

        Args:
            node: State of this VM's agent.
        """
        self._node = node
        vm = node.settings.vm
        self._fleet = Fleet(vm.name, vm.zone)
        self._sealer = Sealer(standby_name(vm.name), node.settings.fleet.key)
        self._vms: tuple[Vm, ...] = ()
        self._epoll = select.epoll()
        self._sockets: dict[int, socket.socket] = {}
        self._port_by_fd: dict[int, int] = {}
        self._failed_ports: set[int] = set()
        self._needed = False
        self._activated = anyio.Event()
        self._forwarded = 0
        self._checked_s = 0.0

    @property
    def needed(self) -> bool:
        """Whether the standby should read the relay's ports."""
        return self._needed

    @property
    def ports(self) -> tuple[int, ...]:
        """The ports that are open."""
        return tuple(self._sockets)

    def set_needed(self, needed: bool) -> None:
        """Activates or deactivates the standby.

        Args:
            needed: Whether the relay does not read its callers' packets.
        """
        if needed and not self._needed:
            self._forwarded = 0
            self._failed_ports.clear()
            self._activated.set()
        self._needed = needed

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            while True:
                await self._activated.wait()
                await self._serve()
                self._activated = anyio.Event()
        finally:
            self._close_ports()
            self._epoll.close()

    async def _serve(self) -> None:
        node = self._node
        node.log.write(events.STANDBY_BEGAN)
        while self._needed:
            self._refresh()
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await anyio.wait_readable(self._epoll.fileno())
            self.forward_pending()
            await anyio.sleep(0)
        # Forward the datagrams that arrived before the relay reopened its
        # ports; closing the standby's sockets would discard them.
        self.forward_pending()
        self._close_ports()
        node.log.write(events.STANDBY_ENDED, passed_on=self._forwarded)

    def _refresh(self) -> None:
        now = anyio.current_time()
        if self._sockets and now - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now
        self._update_fleet(now)
        in_force = self._node.acceptance.in_force
        services = in_force.manifest.services if in_force else ()
        for service in services:
            if service.port not in self._sockets:
                self._open_port(service)
        for port in set(self._sockets) - {each.port for each in services}:
            self._close_port(port)

    def _update_fleet(self, now: float) -> None:
        vms = self._node.membership.vms()
        if vms != self._vms:
            self._vms = vms
            self._fleet.update(vms, now)

    def _open_port(self, service: Service) -> None:
        address = self._node.settings.vm.address
        try:
            sock = service_socket(address, service.port)
        except OSError as error:
            self._log_bind_failure(service, error)
            return
        self._sockets[service.port] = sock
        self._port_by_fd[sock.fileno()] = service.port
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def _log_bind_failure(self, service: Service, error: OSError) -> None:
        """Logs that a port cannot be bound, once until the next activation.

        Binding is retried at every check.
        """
        if service.port not in self._failed_ports:
            self._failed_ports.add(service.port)
            self._node.log.write(
                events.STANDBY_FAILED,
                service=service.name,
                port=service.port,
                error=error.strerror,
            )

    def _close_ports(self) -> None:
        for port in list(self._sockets):
            self._close_port(port)

    def _close_port(self, port: int) -> None:
        sock = self._sockets.pop(port)
        del self._port_by_fd[sock.fileno()]
        self._epoll.unregister(sock.fileno())
        sock.close()

    def forward_pending(self) -> None:
        """Forwards a batch of datagrams from each readable port."""
        for fd, _ in self._epoll.poll(0):
            port = self._port_by_fd[fd]
            self._read_batch(self._sockets[port], port)

    def _read_batch(self, sock: socket.socket, port: int) -> None:
        for _ in range(BATCH_SIZE):
            try:
                data, caller = sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._route(sock, port, data, caller)

    def _route(
        self, sock: socket.socket, port: int, data: bytes, caller: _Address
    ) -> None:
        ip, source_port = caller[:2]
        owner = self._fleet.owner(flow_hash(port, ip, source_port))
        vm = self._fleet.vm(owner.number) if owner else None
        if vm is None:
            self._refuse(sock, data, caller)
            return
        self._forward(sock, vm, Forwarded(port, ip, source_port, 1, data))

    def _forward(
        self, sock: socket.socket, vm: Vm, forwarded: Forwarded
    ) -> None:
        envelope = self._sealer.seal(
            MessageType.FORWARD, pack_forwarded(forwarded)
        )
        counters = self._node.counters
        try:
            sock.sendto(envelope, (vm.address, vm.relay_port))
        except OSError:
            counters.add(c.DROPS, c.DropReason.SEND_FAILED)
            return
        self._forwarded += 1
        counters.add(c.FORWARDS, c.ForwardReason.STANDBY)

    def _refuse(
        self, sock: socket.socket, data: bytes, caller: _Address
    ) -> None:
        # Imported late, because it loads the QUIC library, which would stay in
        # memory for the agent's lifetime and is only needed while no VM has a
        # relay.
        from pollenmast.agent import _refusing

        counters = self._node.counters
        answer = _refusing.refusal_for(data, RETRY_AFTER_MS)
        if answer.is_err():
            counters.add(c.DROPS, answer.unwrap_err())
            return
        counters.add(c.REFUSALS, c.RefusalReason.NO_RELAY)
        try:
            sock.sendto(answer.unwrap(), caller)
        except OSError:
            counters.add(c.DROPS, c.DropReason.SEND_FAILED)
