"""A server for a few readers: GET in, a whole answer out."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import h11

MOST_CONNECTIONS = 32
"""Connections served at the same time. Operators' tools need a handful; more
would let a scraper that leaks connections take the agent's memory."""

IDLE_S = 30.0
"""A connection without a request for so long is closed, in seconds."""

MOST_REQUEST_BYTES = 16_384
"""A request head and body of more is refused."""


@attrs.frozen
class Request:
    """What was asked.

    Attributes:
        method: The method, in upper case.
        target: Path and query as sent.
    """

    method: str
    target: str


@attrs.frozen
class Answer:
    """What is answered.

    Attributes:
        status: The status code.
        body: The content.
        content_type: What the content is.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Handler = Callable[[Request], Awaitable[Answer]]


async def serve(listener: anyio.abc.Listener, handler: Handler) -> None:
    """Serves connections until cancelled."""
    slots = anyio.CapacityLimiter(MOST_CONNECTIONS)

    async def one(stream: anyio.abc.ByteStream) -> None:
        try:
            slots.acquire_nowait()
        except anyio.WouldBlock:
            await anyio.aclose_forcefully(stream)
            return
        try:
            async with stream:
                await _Session(stream, handler).run()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            slots.release()

    await listener.serve(one)


class _Session:
    """One connection, request after request."""

    def __init__(self, stream: anyio.abc.ByteStream, handler: Handler):
        self._stream = stream
        self._handler = handler
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MOST_REQUEST_BYTES
        )

    async def run(self) -> None:
        while True:
            try:
                request = await self._request()
            except h11.RemoteProtocolError:
                await self._refuse()
                return
            if request is None:
                return
            await self._send(await self._handler(request))
            done = (h11.DONE, h11.DONE)
            state = (self._protocol.our_state, self._protocol.their_state)
            if state != done:
                return
            self._protocol.start_next_cycle()

    async def _request(self) -> Request | None:
        request, size = None, 0
        with anyio.move_on_after(IDLE_S):
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._protocol.receive_data(await self._receive())
                elif isinstance(event, h11.Request):
                    request = Request(
                        event.method.decode(), event.target.decode("latin-1")
                    )
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > MOST_REQUEST_BYTES:
                        return None
                elif isinstance(event, h11.EndOfMessage):
                    return request
                else:
                    return None
        return None

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive()
        except anyio.EndOfStream:
            return b""

    async def _refuse(self) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(Answer(400, b"bad request\n"))

    async def _send(self, answer: Answer) -> None:
        head = h11.Response(
            status_code=answer.status,
            headers=[
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
            ],
        )
        data = self._protocol.send(head)
        if answer.body:
            data += self._protocol.send(h11.Data(data=answer.body))
        data += self._protocol.send(h11.EndOfMessage())
        await self._stream.send(data)
