"""The link between agent and relay of one VM: sealed messages over pynng."""

import socket

import anyio
import pynng

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.peers import _codec, _nng
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import Kind

MOST_MESSAGE_BYTES = 8 << 20
"""A view with a manifest of a megabyte, or a report of 11,000 endpoints."""

SEND_TIMEOUT_S = 0.5
"""A message that the other side does not take for so long is dropped: it would
tell old news, and the next one says all again."""

_MOST_NOTICES = 4096

RECONNECT_MS = 200
"""Between two attempts to reach the other side, in milliseconds."""


class Link:
    """One side of the link."""

    def __init__(self, sealer: Sealer, opener: Opener, counters: Counters):
        self._socket = pynng.Pair0(
            recv_max_size=MOST_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MS,
        )
        self._sealer = sealer
        self._opener = opener
        self._counters = counters
        self._pipes: set[pynng.Pipe] = set()
        self._noticed, self._notice = socket.socketpair()
        for end in (self._noticed, self._notice):
            end.setblocking(False)
        self._socket.add_post_pipe_connect_cb(self._on_connected)
        self._socket.add_post_pipe_remove_cb(self._on_removed)

    @property
    def connected(self) -> bool:
        """Whether there is a connection to the other side."""
        return bool(self._pipes)

    async def changed(self) -> None:
        """Returns once a connection has come or gone."""
        await anyio.wait_readable(self._noticed)
        self._noticed.recv(_MOST_NOTICES)

    def _on_connected(self, pipe: pynng.Pipe) -> None:
        self._pipes.add(pipe)
        self._wake()

    def _on_removed(self, pipe: pynng.Pipe) -> None:
        # One that was turned away, as a second agent's is, never counted.
        if pipe in self._pipes:
            self._pipes.discard(pipe)
            self._wake()

    def _wake(self) -> None:
        """Tells the loop; called on pynng's own threads."""
        try:
            self._notice.send(b"\0")
        except OSError:
            # Full: the loop has a notice to read already. Closed: it ends.
            return

    def listen(self, address: str, port: int) -> None:
        """Waits for the other side, as the relay does.

        Raises:
            pynng.NNGException: The port cannot be had.
        """
        self._socket.listen(f"tcp://{address}:{port}")

    def dial(self, address: str, port: int) -> None:
        """Reaches for the other side again and again, as the agent does."""
        self._socket.dial(f"tcp://{address}:{port}", block=False)

    async def send(self, message: object) -> bool:
        """Sends a message; returns whether the link took it."""
        data = self._sealer.seal(Kind.LINK, _codec.encode(message))
        with anyio.move_on_after(SEND_TIMEOUT_S):
            try:
                await _nng.send(self._socket, data)
            except pynng.NNGException:
                return False
            return True
        return False

    async def receive(self) -> object:
        """Returns the other side's next genuine message."""
        while True:
            try:
                data = await _nng.receive(self._socket)
            except pynng.NNGException:
                await anyio.sleep(RECONNECT_MS / 1000)
                continue
            message = self._open(data)
            if message is not None:
                return message

    def close(self) -> None:
        """Closes the link."""
        self._socket.close()
        self._noticed.close()
        self._notice.close()

    def _open(self, data: bytes) -> object | None:
        opened = self._opener.open(data, anyio.current_time())
        if opened.is_err():
            self._counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
            return None
        decoded = _codec.decode(opened.unwrap().body)
        if opened.unwrap().kind != Kind.LINK or decoded.is_err():
            self._counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
            return None
        return decoded.unwrap()
