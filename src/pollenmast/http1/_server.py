"""A minimal HTTP/1.1 server for a small number of clients."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import h11

MAX_CONNECTIONS = 32
"""Limit of concurrent connections; further ones are closed at once. Operators'
tools need a handful. Without the limit, a scraper that leaks connections could
use up the agent's memory."""

IDLE_TIMEOUT_S = 30.0
"""Seconds without a complete request after which a connection is closed."""

SEND_TIMEOUT_S = 10.0
"""Seconds within which a peer has to take a response. Peers that read nothing
would otherwise occupy all connections. A snapshot of 600 kB takes one second
at 5 Mbit/s."""

MAX_REQUEST_BYTES = 16_384
"""Limit of a request's head, and of its body, in bytes. A request with a larger
one is refused."""


@attrs.frozen
class Request:
    """An HTTP request.

    Attributes:
        method: The method, in upper case.
        target: The path and query as sent.
    """

    method: str
    target: str

    @property
    def path(self) -> str:
        """The path of the target, without the query.

        An absolute target, as sent to a proxy, is reduced to its path.
        """
        path = self.target.partition("?")[0]
        if "://" not in path:
            return path
        _, slash, rest = path.partition("://")[2].partition("/")
        return slash + rest

    @property
    def query(self) -> str:
        """The query of the target, empty if it has none."""
        return self.target.partition("?")[2]


@attrs.frozen
class ServerResponse:
    """An HTTP response to be sent.

    Attributes:
        status: The status code.
        body: The response body.
        content_type: Value of the Content-Type header.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


_NO_TUNNEL = ServerResponse(405, b"this is no proxy\n")

Handler = Callable[[Request], Awaitable[ServerResponse]]


async def serve(listener: anyio.abc.Listener, handler: Handler) -> None:
    """Serves HTTP connections until cancelled.

    Args:
        listener: Accepts the connections.
        handler: Called with each request; returns the response.
    """
    limiter = anyio.CapacityLimiter(MAX_CONNECTIONS)

    async def serve_connection(stream: anyio.abc.ByteStream) -> None:
        try:
            limiter.acquire_nowait()
        except anyio.WouldBlock:
            await anyio.aclose_forcefully(stream)
            return
        try:
            async with stream:
                await _ServerConnection(stream, handler).run()
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.ProtocolError,
        ):
            pass
        finally:
            limiter.release()

    await listener.serve(serve_connection)


class _ServerConnection:
    """Serves the requests of one connection, one at a time."""

    def __init__(self, stream: anyio.abc.ByteStream, handler: Handler):
        self._stream = stream
        self._handler = handler
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )

    async def run(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError:
                await self._send_bad_request()
                return
            if request is None:
                return
            if request.method == "CONNECT":
                await self._send_answer(_NO_TUNNEL)
                return
            await self._send_answer(await self._handler(request), request)
            done = (h11.DONE, h11.DONE)
            state = (self._protocol.our_state, self._protocol.their_state)
            if state != done:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> Request | None:
        request, body_bytes = None, 0
        with anyio.move_on_after(IDLE_TIMEOUT_S):
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._protocol.receive_data(await self._receive())
                elif isinstance(event, h11.Request):
                    request = Request(
                        event.method.decode(), event.target.decode("latin-1")
                    )
                elif isinstance(event, h11.Data):
                    body_bytes += len(event.data)
                    if body_bytes > MAX_REQUEST_BYTES:
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

    async def _send_bad_request(self) -> None:
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send_answer(ServerResponse(400, b"bad request\n"))

    async def _send_answer(
        self, response: ServerResponse, request: Request | None = None
    ) -> None:
        head = h11.Response(
            status_code=response.status,
            headers=[
                ("Content-Type", response.content_type),
                ("Content-Length", str(len(response.body))),
            ],
        )
        data = self._protocol.send(head)
        head_only = request is not None and request.method == "HEAD"
        if response.body and not head_only:
            data += self._protocol.send(h11.Data(data=response.body))
        data += self._protocol.send(h11.EndOfMessage())
        with anyio.move_on_after(SEND_TIMEOUT_S) as timeout:
            await self._stream.send(data)
        if timeout.cancelled_caught:
            raise anyio.BrokenResourceError
