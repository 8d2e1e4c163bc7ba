"""A reactor for timers and many UDP sockets on one anyio event loop."""

import heapq
import itertools
import select
import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel

Address = tuple[str, int]
OnDatagram = Callable[[bytes, Address], None]

MAX_BATCH = 64
"""Maximum number of datagrams read from one socket per turn.

Bounds the time for which other sockets wait.
"""

SOCKETS_PER_TURN = 256
MAX_WAIT_S = 0.05
"""Maximum wait of one turn, in seconds.

Bounds the delay of callbacks that other tasks add.
"""

READ_BYTES = 65_535
BUFFER_BYTES = 4 * 1024 * 1024
"""Requested size of socket buffers; the kernel may grant less."""


def udp_socket(address: str, port: int = 0) -> socket.socket:
    """Returns a bound, non-blocking UDP socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.bind((address, port))
    return sock


def send(sock: socket.socket, data: bytes, to: Address) -> None:
    """Sends one datagram.

    A datagram that the kernel rejects is lost, as in a network.
    """
    try:
        sock.sendto(data, to)
    except OSError:
        return


class Reactor:
    """Calls back when datagrams arrive and when timers fire.

    All sockets are in one epoll set, and anyio waits for that set only. A
    waiting task for each socket would cost two more system calls per datagram.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._sockets: dict[int, tuple[socket.socket, OnDatagram]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._after_turn: list[Callable[[], None]] = []
        self.now = 0.0

    def add(self, sock: socket.socket, on_datagram: OnDatagram) -> None:
        """Registers a callback for each datagram of this socket."""
        self._sockets[sock.fileno()] = (sock, on_datagram)
        self._epoll.register(sock.fileno(), select.EPOLLIN)

    def remove(self, sock: socket.socket) -> None:
        """Unregisters and closes the socket."""
        if self._sockets.pop(sock.fileno(), None) is not None:
            self._epoll.unregister(sock.fileno())
        sock.close()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Registers a callback for this time of the event loop's clock."""
        heapq.heappush(self._timers, (when, next(self._sequence), callback))

    def after_turn(self, callback: Callable[[], None]) -> None:
        """Registers a callback for the end of this turn, or of the next."""
        self._after_turn.append(callback)

    async def run(self) -> None:
        """Runs until cancelled."""
        self.now = anyio.current_time()
        while True:
            with anyio.move_on_after(self._max_wait()):
                await anyio.wait_readable(self._epoll.fileno())
            self.now = anyio.current_time()
            self._read_sockets()
            self._run_timers()
            self._finish_turn()
            await anyio.lowlevel.checkpoint()

    def _max_wait(self) -> float:
        if self._after_turn:
            return 0.0
        if not self._timers:
            return MAX_WAIT_S
        remaining_s = self._timers[0][0] - anyio.current_time()
        return min(max(remaining_s, 0.0), MAX_WAIT_S)

    def _read_sockets(self) -> None:
        for number, _ in self._epoll.poll(0, SOCKETS_PER_TURN):
            entry = self._sockets.get(number)
            if entry is not None:
                self._read(*entry)

    def _read(self, sock: socket.socket, on_datagram: OnDatagram) -> None:
        for _ in range(MAX_BATCH):
            try:
                data, address = sock.recvfrom(READ_BYTES)
            except OSError:
                return
            on_datagram(data, address)
            if sock.fileno() < 0:
                return

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)[2]()

    def _finish_turn(self) -> None:
        pending, self._after_turn = self._after_turn, []
        for callback in pending:
            callback()
