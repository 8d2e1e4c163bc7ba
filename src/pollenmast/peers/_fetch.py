"""Manifests handed from agent to agent, by pynng's request and reply."""

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
from pollenmast.peers._envelope import Opened, Opener, Sealer
from pollenmast.peers._kinds import Kind

MOST_MESSAGE_BYTES = (1 << 20) + 1024
"""A manifest of a megabyte, and what wraps it."""

TIMEOUT_S = 3.0
"""Longest fetch. A megabyte takes tens of milliseconds between availability
zones; a peer that takes seconds is dead or cut off."""

_CONVERTER = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class FetchRequest:
    """Asks for the manifest with this key."""

    version: int
    digest: str


@attrs.frozen
class FetchReply:
    """The manifest in force at the peer, or None."""

    text: bytes | None


class Fetcher:
    """Asks peers for a manifest."""

    def __init__(self, sealer: Sealer, opener: Opener, counters: Counters):
        self._sealer = sealer
        self._opener = opener
        self._counters = counters

    async def fetch(
        self, address: str, port: int, key: ManifestKey
    ) -> bytes | None:
        """Returns the manifest's text, or None when the peer gives none."""
        request = FetchRequest(key.version, key.digest)
        body = _CONVERTER.dumps(request)
        data = self._sealer.seal(Kind.FETCH, body)
        received = None
        try:
            with pynng.Req0(recv_max_size=MOST_MESSAGE_BYTES) as socket:
                socket.dial(f"tcp://{address}:{port}", block=False)
                with anyio.move_on_after(TIMEOUT_S):
                    await _nng.send(socket, data)
                    self._counters.add(CONTROL_BYTES, "fetch", len(data))
                    received = await _nng.receive(socket)
        except pynng.NNGException:
            return None
        if received is None:
            return None
        opened = _open(self._opener, received, self._counters)
        reply = _load(opened, FetchReply, self._counters)
        return reply.text if reply else None


class FetchServer:
    """Hands out the manifest in force."""

    def __init__(
        self,
        address: str,
        port: int,
        sealer: Sealer,
        opener: Opener,
        counters: Counters,
        text: Callable[[], bytes | None],
    ):
        """Starts to listen.

        Args:
            address: The VM's IP number.
            port: The fetch port.
            sealer: Seals replies.
            opener: Opens requests.
            counters: Counts faults and bytes.
            text: Returns the text of the manifest in force.

        Raises:
            pynng.NNGException: The port cannot be had.
        """
        self._socket = pynng.Rep0(recv_max_size=MOST_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}:{port}")
        self._sealer = sealer
        self._opener = opener
        self._counters = counters
        self._text = text

    async def serve(self) -> None:
        """Answers requests until cancelled."""
        while True:
            try:
                await self._answer(await _nng.receive(self._socket))
            except pynng.NNGException:
                # A requester that went away takes its own reply with it.
                continue

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()

    async def _answer(self, data: bytes) -> None:
        opened = _open(self._opener, data, self._counters)
        request = _load(opened, FetchRequest, self._counters)
        # A forger gets a reply without content: no reply would leave this
        # socket waiting for one.
        text = self._text() if request else None
        body = _CONVERTER.dumps(FetchReply(text))
        reply = self._sealer.seal(Kind.FETCH, body)
        await _nng.send(self._socket, reply)
        self._counters.add(CONTROL_BYTES, "fetch", len(reply))


def _open(opener: Opener, data: bytes, counters: Counters) -> Opened | None:
    opened = opener.open(data, anyio.current_time())
    if opened.is_err():
        counters.add(ENVELOPE_FAULTS, opened.unwrap_err())
        return None
    if opened.unwrap().kind != Kind.FETCH:
        counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
        return None
    return opened.unwrap()


def _load(opened: Opened | None, cls: type, counters: Counters):
    if opened is None:
        return None
    try:
        return _CONVERTER.loads(opened.body, cls)
    # The library raises an open set of types on hostile bytes; all of them
    # mean the same here, and an escape would stop the process.
    except Exception:  # noqa: BLE001
        counters.add(ENVELOPE_FAULTS, EnvelopeFault.MALFORMED)
        return None
