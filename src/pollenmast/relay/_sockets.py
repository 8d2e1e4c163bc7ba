"""The relay's UDP sockets, and the loops that pass packets between them.

Sockets are read without waiting, in bounded batches, after the runtime says
that one of them is readable. The bench `packet_path` shows what that adds to
the bare system calls; docs/DESIGN.md, why no socket objects of the runtime.
"""

import select
import socket

import anyio

from pollenmast import counters as c
from pollenmast.callers import LONG_HEADER
from pollenmast.events import LISTEN_FAILED, EventLog
from pollenmast.manifest import Service
from pollenmast.peers._udp import service_socket, udp_socket
from pollenmast.relay._core import RelayCore
from pollenmast.relay._flows import FlowState, Listener
from pollenmast.relay._table import Wire
from pollenmast.upstreams._paths import Path

MOST_DATAGRAM_BYTES = 9216
"""The largest datagram passed on: a jumbo frame. QUIC packets beyond the
path's MTU do not occur, and a buffer of 64 KiB a read costs time."""

BATCH = 64
"""Datagrams read from one socket in a row, so that one busy socket does not
starve the others: at 2 to 5 microseconds each, at most a third of a
millisecond."""

ROUNDS = 8
"""Rounds over all readable sockets before other tasks get their turn."""

MOST_EVENTS = 512


class _SocketListener(Listener):
    """A service's port towards callers."""

    __slots__ = ("recvfrom", "sock")

    def __init__(self, service: Service, sock: socket.socket):
        super().__init__(service)
        self.sock = sock
        self.recvfrom = sock.recvfrom

    def send(self, data: bytes, caller: tuple[str, int]) -> None:
        _send(self.sock, data, caller)

    def close(self) -> None:
        self.sock.close()


class _SocketPath(Path):
    """A local port towards upstreams."""

    __slots__ = ("recvfrom", "sock")

    def __init__(self, sock: socket.socket):
        super().__init__()
        self.sock = sock
        self.recvfrom = sock.recvfrom

    def send(self, data: bytes, upstream: tuple[str, int]) -> None:
        _send(self.sock, data, upstream)

    def close(self) -> None:
        self.sock.close()


class SocketWire(Wire):
    """The relay's sockets, all behind one epoll object."""

    def __init__(self, address: str, peer_port: int, log: EventLog):
        self._address = address
        self._log = log
        self._epoll = select.epoll()
        self._by_fd: dict[int, object] = {}
        self._peers = udp_socket(address, peer_port)
        self._register(self._peers, None)

    def open_listener(self, service: Service) -> Listener | None:
        """Opens a service's port towards callers, None if it cannot."""
        try:
            sock = service_socket(self._address, service.port)
        except OSError as error:
            self._log.write(
                LISTEN_FAILED,
                service=service.name,
                port=service.port,
                error=error.strerror,
            )
            return None
        listener = _SocketListener(service, sock)
        self._register(sock, listener)
        return listener

    def open_path(self) -> Path:
        """Opens a local port towards upstreams.

        Raises:
            OSError: The system gives no more sockets. `MOST_PATHS` and the
                limit that the program raises at its start keep this away.
        """
        path = _SocketPath(udp_socket(self._address, 0))
        self._register(path.sock, path)
        return path

    def send_peer(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends an envelope to another relay."""
        _send(self._peers, data, address)

    async def pump(self, core: RelayCore) -> None:
        """Passes packets for ever."""
        while True:
            await anyio.wait_readable(self._epoll.fileno())
            for _ in range(ROUNDS):
                if not self.pump_once(core):
                    break
            await anyio.sleep(0)

    def pump_once(self, core: RelayCore) -> bool:
        """Reads each readable socket once; returns whether any was."""
        events = self._epoll.poll(0, MOST_EVENTS)
        now = anyio.current_time() if events else 0.0
        for fd, _ in events:
            owner = self._by_fd.get(fd)
            if owner is None:
                _drain_peers(self._peers, core, now)
            elif isinstance(owner, _SocketPath):
                drain_path(owner, core, now)
            else:
                drain_listener(owner, core, now)
        return bool(events)

    def close(self) -> None:
        """Closes what the flow table does not close."""
        self._peers.close()
        self._epoll.close()

    def _register(self, sock: socket.socket, owner: object) -> None:
        self._by_fd[sock.fileno()] = owner
        self._epoll.register(sock.fileno(), select.EPOLLIN)


def _send(sock: socket.socket, data: bytes, address: tuple[str, int]) -> None:
    """Sends a datagram; one that cannot be sent is lost, as on any network."""
    try:
        sock.sendto(data, address)
    except OSError:
        return


def drain_listener(
    listener: _SocketListener, core: RelayCore, now: float
) -> None:
    """Passes a batch of callers' datagrams to their upstreams.

    The common case is written out here: a known flow and a short header. All
    else goes through `RelayCore.on_caller`.
    """
    recvfrom = listener.recvfrom
    flows = listener.flows
    tick = core.tick_now
    for _ in range(BATCH):
        try:
            data, caller = recvfrom(MOST_DATAGRAM_BYTES)
        except OSError:
            return
        flow = flows.get(caller)
        if flow is None or not data or data[0] & LONG_HEADER:
            core.on_caller(listener, data, caller, now)
            continue
        flow.heard = tick
        flow.unanswered += 1
        try:
            flow.path.sock.sendto(data, flow.target.address)
        except OSError:
            core.counters.add(c.DROPS, c.DropReason.SEND_FAILED)


def drain_path(path: _SocketPath, core: RelayCore, now: float) -> None:
    """Passes a batch of upstreams' datagrams to their callers."""
    recvfrom = path.recvfrom
    flows = path.flows
    tick = core.tick_now
    for _ in range(BATCH):
        try:
            data, upstream = recvfrom(MOST_DATAGRAM_BYTES)
        except OSError:
            return
        flow = flows.get(upstream)
        if flow is None:
            core.counters.add(c.DROPS, c.DropReason.STRANGER)
            continue
        if flow.state is not FlowState.CARRIED:
            core.on_first_answer(flow, data, now)
        flow.answered = tick
        flow.unanswered = 0
        flow.target.answered = tick
        try:
            flow.listener.sock.sendto(data, flow.caller)
        except OSError:
            core.counters.add(c.DROPS, c.DropReason.SEND_FAILED)


def _drain_peers(sock: socket.socket, core: RelayCore, now: float) -> None:
    for _ in range(BATCH):
        try:
            data = sock.recv(MOST_DATAGRAM_BYTES)
        except OSError:
            return
        core.on_peer(data, now)
