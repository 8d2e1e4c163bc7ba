"""The relay's end of the link to the agent of the same VM."""

import anyio
import pynng

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.peers import _codec
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import Kind

MOST_MESSAGE_BYTES = 8 << 20
"""A view with a manifest of a megabyte and the reports of 11,000 endpoints."""

SEND_TIMEOUT_S = 0.5
"""A report that no agent takes is dropped; the next one says all again."""


class RelayLink:
    """Listens for the agent and exchanges sealed messages with it."""

    def __init__(
        self,
        address: str,
        port: int,
        sealer: Sealer,
        opener: Opener,
        counters: Counters,
    ):
        self._socket = pynng.Pair0(recv_max_size=MOST_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}:{port}")
        self._sealer = sealer
        self._opener = opener
        self._counters = counters

    async def send(self, message: object) -> None:
        """Sends a message if an agent is there to take it."""
        data = self._sealer.seal(Kind.LINK, _codec.encode(message))
        with anyio.move_on_after(SEND_TIMEOUT_S):
            await self._socket.asend(data)

    async def receive(self) -> object:
        """Returns the agent's next genuine message."""
        while True:
            data = await self._socket.arecv()
            message = self._open(data)
            if message is not None:
                return message

    def close(self) -> None:
        """Closes the link."""
        self._socket.close()

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
