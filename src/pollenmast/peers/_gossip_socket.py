"""Sealed gossip datagrams over UDP.

UDP and not pynng: pynng's sockets hold a connection to each peer, so that
one heartbeat to one random member an interval would need a connection to
each of the fleet.
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
from pollenmast.peers._kinds import Kind

Address = tuple[str, int]

BATCH = 64
"""Datagrams taken at once; a flood must not keep the loop from its timers."""

_MOST_DATAGRAM = 65_535


def bind(address: str, port: int) -> sockets.socket:
    """Returns a non-blocking UDP socket.

    Raises:
        OSError: The port cannot be had.
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
    """Sends and receives gossip; what is not genuine is counted."""

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
        """Sends one message; returns its bytes on the wire.

        A datagram that cannot be sent now is a lost datagram, which
        heartbeats bear.
        """
        body = _gossip.encode(message)
        data = self._sealer.seal(Kind.GOSSIP, body)
        try:
            self._socket.sendto(data, to)
        except OSError:
            return 0
        self._counters.add(CONTROL_BYTES, "gossip", len(data))
        return len(data)

    async def receive(self) -> list[tuple[_gossip.Gossip, Address]]:
        """Returns the genuine messages that came, and where from."""
        await anyio.wait_readable(self._socket)
        received = []
        for _ in range(BATCH):
            try:
                data, source = self._socket.recvfrom(_MOST_DATAGRAM)
            except BlockingIOError:
                break
            except OSError:
                # The system reports a peer's closed port here.
                continue
            message = self.open(data, anyio.current_time())
            if message is not None:
                received.append((message, source))
        return received

    def open(self, data: bytes, now: float) -> _gossip.Gossip | None:
        """Returns the message that a datagram holds, if it is genuine."""
        opened = self._opener.open(data, now)
        if opened.is_err():
            self._counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
            return None
        envelope = opened.unwrap()
        if envelope.kind != Kind.GOSSIP:
            self._counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
            return None
        decoded = _gossip.decode(envelope.body)
        if decoded.is_err():
            self._counters.add(ENVELOPE_FAULTS, decoded.unwrap_err())
            return None
        return decoded.unwrap()
