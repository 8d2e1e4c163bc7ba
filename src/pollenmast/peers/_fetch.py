"""Transfer of manifests between agents over pynng request/reply sockets."""

from collections.abc import Callable

import anyio
import attrs
import pynng
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from pollenmast.counters import (
    CONTROL_BYTES,
    ENVELOPE_FAULTS,
    Counters,
    EnvelopeFault,
)
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _nng
from pollenmast.peers._envelope import OpenedEnvelope, Opener, Sealer
from pollenmast.peers._kinds import MessageType

MAX_MESSAGE_BYTES = (1 << 20) + 1024
"""Limit on a received message: a manifest of 1 MiB, and its framing."""

FETCH_TIMEOUT_S = 3.0
"""Time limit of a fetch, in seconds. A megabyte takes tens of milliseconds
between availability zones; a peer that takes seconds is dead or partitioned."""

_CONVERTER = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class FetchRequest:
    """Requests the manifest with this version and digest."""

    version: int
    digest: str


@attrs.frozen
class FetchReply:
    """The text of the peer's manifest in force, or None if there is none."""

    text: bytes | None


class Fetcher:
    """Fetches manifests from peers."""

    def __init__(self, sealer: Sealer, opener: Opener, counters: Counters):
        self._sealer = sealer
        self._opener = opener
        self._counters = counters

    async def fetch(
        self, address: str, port: int, key: ManifestKey
    ) -> bytes | None:
        """Returns the text of a peer's manifest, or None on failure.

        Args:
            address: IP address of the peer.
            port: Fetch port of the peer.
            key: The manifest to request.
        """
        request = FetchRequest(key.version, key.digest)
        body = _CONVERTER.dumps(request)
        data = self._sealer.seal(MessageType.FETCH, body)
        received = None
        try:
            with pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
                socket.dial(f"tcp://{address}:{port}", block=False)
                with anyio.move_on_after(FETCH_TIMEOUT_S):
                    await _nng.send(socket, data)
                    self._counters.add(CONTROL_BYTES, "fetch", len(data))
                    received = await _nng.receive(socket)
        except pynng.NNGException:
            return None
        if received is None:
            return None
        opened = _open_envelope(self._opener, received, self._counters)
        reply = _decode_body(opened, FetchReply, self._counters)
        return reply.text if reply else None


class FetchServer:
    """Serves the manifest in force to peers."""

    def __init__(
        self,
        address: str,
        port: int,
        sealer: Sealer,
        opener: Opener,
        counters: Counters,
        text: Callable[[], bytes | None],
    ):
        """Starts listening.

        Args:
            address: The VM's IP address.
            port: TCP port to listen on.
            sealer: Builds the envelopes of replies.
            opener: Verifies the envelopes of requests.
            counters: Counts envelope faults and sent bytes.
            text: Returns the text of the manifest in force.

        Raises:
            pynng.NNGException: The port cannot be bound.
        """
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}:{port}")
        self._sealer = sealer
        self._opener = opener
        self._counters = counters
        self._text = text

    async def serve(self) -> None:
        """Answers requests until cancelled."""
        while True:
            try:
                await self._reply_to(await _nng.receive(self._socket))
            except pynng.NNGException:
                # The requester has disconnected; only its own reply is lost.
                continue

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    async def _reply_to(self, data: bytes) -> None:
        opened = _open_envelope(self._opener, data, self._counters)
        request = _decode_body(opened, FetchRequest, self._counters)
        # An invalid request gets an empty reply, as the socket serves the next
        # request only after it has replied to this one.
        text = self._text() if request else None
        body = _CONVERTER.dumps(FetchReply(text))
        reply = self._sealer.seal(MessageType.FETCH, body)
        await _nng.send(self._socket, reply)
        self._counters.add(CONTROL_BYTES, "fetch", len(reply))


def _open_envelope(
    opener: Opener, data: bytes, counters: Counters
) -> OpenedEnvelope | None:
    opened = opener.open(data, anyio.current_time())
    if opened.is_err():
        counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
        return None
    if opened.unwrap().kind != MessageType.FETCH:
        counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
        return None
    return opened.unwrap()


def _decode_body(opened: OpenedEnvelope | None, cls: type, counters: Counters):
    if opened is None:
        return None
    try:
        return _CONVERTER.loads(opened.body, cls)
    # The libraries raise many types of exceptions on hostile input. All of
    # them mean malformed input, and an uncaught one would stop the process.
    except Exception:  # noqa: BLE001
        counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
        return None
