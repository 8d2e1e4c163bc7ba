"""Authenticated gossip messages over UDP.

pynng does not fit here: its sockets hold a connection to each peer, so that
one heartbeat per interval to a random member would need a connection to every
VM of the fleet.
"""

import socket as sockets

import anyio

from pollenmast.counters import (
    CONTROL_BYTES,
    ENVELOPE_FAULTS,
    Counters,
    EnvelopeFault,
)
from pollenmast.peers import _gossip
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import MessageType

Address = tuple[str, int]

RECEIVE_BATCH = 64
"""Datagrams read per wake-up; under a flood the event loop still gets to its
timers."""

_MAX_DATAGRAM_BYTES = 65_535


def bind(address: str, port: int) -> sockets.socket:
    """Returns a non-blocking UDP socket.

    Raises:
        OSError: The port cannot be bound.
    """
    socket = sockets.socket(sockets.AF_INET, sockets.SOCK_DGRAM)
    socket.setblocking(False)
    try:
        socket.bind((address, port))
    except OSError:
        socket.close()
        raise
    return socket


class GossipSocket:
    """Sends and receives gossip messages; counts and drops invalid ones."""

    def __init__(
        self,
        socket: sockets.socket,
        sealer: Sealer,
        opener: Opener,
        counters: Counters,
    ):
        self._socket = socket
        self._sealer = sealer
        self._opener = opener
        self._counters = counters

    def send(self, message: _gossip.Gossip, to: Address) -> int:
        """Sends one message.

        A datagram that cannot be sent now counts as lost, which the heartbeat
        protocol tolerates.

        Returns:
            The size of the datagram in bytes, or 0 if it was not sent.
        """
        body = _gossip.encode(message)
        data = self._sealer.seal(MessageType.GOSSIP, body)
        try:
            self._socket.sendto(data, to)
        except OSError:
            return 0
        self._counters.add(CONTROL_BYTES, "gossip", len(data))
        return len(data)

    async def receive(self) -> list[tuple[_gossip.Gossip, Address]]:
        """Waits for datagrams; returns valid messages and their sources."""
        await anyio.wait_readable(self._socket)
        received = []
        for _ in range(RECEIVE_BATCH):
            try:
                data, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # The system reports a peer's closed port as an error here.
                continue
            message = self.open(data, anyio.current_time())
            if message is not None:
                received.append((message, source))
        return received

    def open(self, data: bytes, now: float) -> _gossip.Gossip | None:
        """Returns the message of a datagram, or None if it is invalid."""
        opened = self._opener.open(data, now)
        if opened.is_err():
            self._counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
            return None
        envelope = opened.unwrap()
        if envelope.kind != MessageType.GOSSIP:
            self._counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
            return None
        decoded = _gossip.decode(envelope.body)
        if decoded.is_err():
            self._counters.add(ENVELOPE_FAULTS, decoded.unwrap_err())
            return None
        return decoded.unwrap()
