"""The agent's end of the link to the relay of the same VM."""

import anyio
import pynng

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.peers import _codec
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._kinds import Kind

SEND_TIMEOUT_S = 0.5
"""A message that the relay does not take for so long is dropped: it would
tell old news, and the next one says all again."""

RECONNECT_MS = 200
"""Between two attempts to reach the relay, in milliseconds."""

MOST_MESSAGE_BYTES = 8 << 20
"""A report names every endpoint; at 11,000 of them it has two megabytes."""


class AgentLink:
    """Dials the relay, again and again, and exchanges sealed messages."""

    def __init__(
        self,
        address: str,
        port: int,
        sealer: Sealer,
        opener: Opener,
        counters: Counters,
    ):
        self._socket = pynng.Pair0(
            recv_max_size=MOST_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MS,
        )
        self._socket.dial(f"tcp://{address}:{port}", block=False)
        self._sealer = sealer
        self._opener = opener
        self._counters = counters

    async def send(self, message: object) -> bool:
        """Sends a message; returns whether the relay's end took it."""
        data = self._sealer.seal(Kind.LINK, _codec.encode(message))
        with anyio.move_on_after(SEND_TIMEOUT_S):
            try:
                await self._socket.asend(data)
            except pynng.NNGException:
                return False
            return True
        return False

    async def receive(self) -> object:
        """Returns the relay's next genuine message."""
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.NNGException:
                await anyio.sleep(RECONNECT_MS / 1000)
                continue
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
        envelope = opened.unwrap()
        decoded = _codec.decode(envelope.body)
        if envelope.kind != Kind.LINK or decoded.is_err():
            self._counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
            return None
        return decoded.unwrap()
