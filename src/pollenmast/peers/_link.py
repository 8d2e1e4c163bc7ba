"""Link between a VM's agent and relay: authenticated messages over pynng."""

import socket

import anyio
import pynng

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.peers import _codec, _nng
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import MessageType

MAX_MESSAGE_BYTES = 8 << 20
"""Limit on a received message. It fits a fleet view with a manifest of a
megabyte, or a report of 11,000 endpoints."""

SEND_TIMEOUT_S = 0.5
"""Seconds after which an undelivered message is dropped: it would be out of
date, and the next message carries the whole state again."""

_WAKE_READ_BYTES = 4096
"""Limit on the notifications cleared by one read, one byte each."""

RECONNECT_INTERVAL_MS = 200
"""Milliseconds between two attempts to connect."""


class Link:
    """The agent's or the relay's side of the link."""

    def __init__(self, sealer: Sealer, opener: Opener, counters: Counters):
        self._socket = pynng.Pair0(
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_INTERVAL_MS,
            reconnect_time_max=RECONNECT_INTERVAL_MS,
        )
        self._sealer = sealer
        self._opener = opener
        self._counters = counters
        self._pipes: set[pynng.Pipe] = set()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        for end in (self._wake_receiver, self._wake_sender):
            end.setblocking(False)
        self._socket.add_post_pipe_connect_cb(self._on_connected)
        self._socket.add_post_pipe_remove_cb(self._on_removed)

    @property
    def connected(self) -> bool:
        """Whether the other side is connected."""
        return bool(self._pipes)

    async def changed(self) -> None:
        """Waits until the other side has connected or disconnected."""
        await anyio.wait_readable(self._wake_receiver)
        self._wake_receiver.recv(_WAKE_READ_BYTES)

    def _on_connected(self, pipe: pynng.Pipe) -> None:
        self._pipes.add(pipe)
        self._wake_event_loop()

    def _on_removed(self, pipe: pynng.Pipe) -> None:
        # A pipe that was rejected, as a second agent's is, was never added.
        if pipe in self._pipes:
            self._pipes.discard(pipe)
            self._wake_event_loop()

    def _wake_event_loop(self) -> None:
        """Wakes the event loop; called from pynng's threads."""
        try:
            self._wake_sender.send(b"\0")
        except OSError:
            # If the buffer is full, the event loop will wake up anyway; if the
            # socket is closed, the link is shutting down.
            return

    def listen(self, address: str, port: int) -> None:
        """Listens for the other side; used by the relay.

        Raises:
            pynng.NNGException: The port cannot be bound.
        """
        self._socket.listen(f"tcp://{address}:{port}")

    def dial(self, address: str, port: int) -> None:
        """Connects in the background and retries forever; used by the agent."""
        self._socket.dial(f"tcp://{address}:{port}", block=False)

    async def send(self, message: object) -> bool:
        """Sends a message; returns whether pynng accepted it in time."""
        data = self._sealer.seal(MessageType.LINK, _codec.encode(message))
        with anyio.move_on_after(SEND_TIMEOUT_S):
            try:
                await _nng.send(self._socket, data)
            except pynng.NNGException:
                return False
            return True
        return False

    async def receive(self) -> object:
        """Waits for the next valid message; counts and drops invalid ones."""
        while True:
            try:
                data = await _nng.receive(self._socket)
            except pynng.NNGException:
                await anyio.sleep(RECONNECT_INTERVAL_MS / 1000)
                continue
            message = self._open(data)
            if message is not None:
                return message

    def close(self) -> None:
        """Closes the link."""
        self._socket.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _open(self, data: bytes) -> object | None:
        opened = self._opener.open(data, anyio.current_time())
        if opened.is_err():
            self._counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
            return None
        decoded = _codec.decode(opened.unwrap().body)
        if opened.unwrap().kind != MessageType.LINK or decoded.is_err():
            self._counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
            return None
        return decoded.unwrap()
