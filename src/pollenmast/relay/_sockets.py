"""The relay's UDP sockets, and the loops that forward packets between them.

Once the runtime reports that a socket is readable, sockets are read without
blocking and in bounded batches. The bench `packet_path` measures the overhead
over the bare system calls. docs/DESIGN.md explains why the runtime's own socket
objects are not used.
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
from pollenmast.relay._table import Transport
from pollenmast.upstreams._paths import Path

MAX_DATAGRAM_BYTES = 9216
"""Size of the largest datagram forwarded, in bytes: a jumbo frame.

QUIC packets beyond the path's MTU do not occur, and a buffer of 64 KiB per
read costs time.
"""

BATCH = 64
"""Limit on datagrams read from one socket in a row.

It prevents a busy socket from starving the others. At 2 to 5 microseconds each,
a batch takes at most a third of a millisecond.
"""

MAX_ROUNDS = 8
"""Limit on rounds over all readable sockets before other tasks may run."""

MAX_EVENTS = 512
"""Limit on readable sockets per round."""


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


class SocketTransport(Transport):
    """The relay's sockets, all behind one epoll object."""

    def __init__(self, address: str, peer_port: int, log: EventLog):
        self._address = address
        self._log = log
        self._epoll = select.epoll()
        self._receivers_by_fd: dict[int, object] = {}
        self._peer_socket = udp_socket(address, peer_port)
        self._register(self._peer_socket, None)

    def open_listener(self, service: Service) -> Listener | None:
        """Opens a service's port towards callers; returns None on failure."""
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
            OSError: The system has no more sockets. `MAX_PATHS`, and the
                file limit that the program raises at start, prevent this.
        """
        path = _SocketPath(udp_socket(self._address, 0))
        self._register(path.sock, path)
        return path

    def send_peer(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a sealed envelope to another relay."""
        _send(self._peer_socket, data, address)

    async def run(self, core: RelayCore) -> None:
        """Forwards packets until it is cancelled."""
        while True:
            await anyio.wait_readable(self._epoll.fileno())
            for _ in range(MAX_ROUNDS):
                if not self.poll_once(core):
                    break
            await anyio.sleep(0)

    def poll_once(self, core: RelayCore) -> bool:
        """Reads a batch per readable socket; returns whether there was one."""
        events = self._epoll.poll(0, MAX_EVENTS)
        now = anyio.current_time() if events else 0.0
        for fd, _ in events:
            receiver = self._receivers_by_fd.get(fd)
            if receiver is None:
                _receive_from_peers(self._peer_socket, core, now)
            elif isinstance(receiver, _SocketPath):
                forward_from_upstreams(receiver, core, now)
            else:
                forward_from_callers(receiver, core, now)
        return bool(events)

    def close(self) -> None:
        """Closes the sockets that the flow table does not own."""
        self._peer_socket.close()
        self._epoll.close()

    def _register(self, sock: socket.socket, receiver: object) -> None:
        self._receivers_by_fd[sock.fileno()] = receiver
        self._epoll.register(sock.fileno(), select.EPOLLIN)


def _send(sock: socket.socket, data: bytes, address: tuple[str, int]) -> None:
    """Sends a datagram; one that cannot be sent is dropped silently."""
    try:
        sock.sendto(data, address)
    except OSError:
        return


def forward_from_callers(
    listener: _SocketListener, core: RelayCore, now: float
) -> None:
    """Forwards a batch of callers' datagrams to their upstreams.

    The common case, a known flow and a short header, is inlined here. All
    other datagrams go through `RelayCore.on_caller`.
    """
    recvfrom = listener.recvfrom
    flows = listener.flows
    tick = core.tick_now
    for _ in range(BATCH):
        try:
            data, caller = recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return
        flow = flows.get(caller)
        if flow is None or not data or data[0] & LONG_HEADER:
            core.on_caller(listener, data, caller, now)
            continue
        flow.received_tick = tick
        flow.unanswered += 1
        try:
            flow.path.sock.sendto(data, flow.target.address)
        except OSError:
            core.counters.add(c.DROPS, c.DropReason.SEND_FAILED)


def forward_from_upstreams(
    path: _SocketPath, core: RelayCore, now: float
) -> None:
    """Forwards a batch of upstreams' datagrams to their callers."""
    recvfrom = path.recvfrom
    flows = path.flows
    tick = core.tick_now
    for _ in range(BATCH):
        try:
            data, upstream = recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return
        flow = flows.get(upstream)
        if flow is None:
            core.counters.add(c.DROPS, c.DropReason.STRANGER)
            continue
        if flow.state is not FlowState.ESTABLISHED:
            core.on_first_answer(flow, data, now)
        flow.answered_tick = tick
        flow.unanswered = 0
        flow.target.answered_tick = tick
        try:
            flow.listener.sock.sendto(data, flow.caller)
        except OSError:
            core.counters.add(c.DROPS, c.DropReason.SEND_FAILED)


def _receive_from_peers(
    sock: socket.socket, core: RelayCore, now: float
) -> None:
    for _ in range(BATCH):
        try:
            data = sock.recv(MAX_DATAGRAM_BYTES)
        except OSError:
            return
        core.on_peer(data, now)
