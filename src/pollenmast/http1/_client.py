"""One kept-alive connection to one server, for GET only."""

import enum

import anyio
import attrs
import h11
from result import Err, Ok, Result

MOST_BODY_BYTES = 1 << 20
"""The platform's values are a megabyte at most; more is a fault."""

_READ_BYTES = 65_536


class HttpFault(str, enum.Enum):
    """Why there is no response."""

    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    """Nothing listens at the address."""

    PROTOCOL = "protocol"
    OVERSIZED = "oversized"


@attrs.frozen
class Response:
    """A whole response.

    Attributes:
        status: The status code.
        body: The content.
        headers: Names in lower case, and values.
    """

    status: int
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class _TooLargeError(Exception):
    """The body is larger than allowed."""


class Connection:
    """Asks one server, over one connection that is kept between requests.

    A probe twice a second of each endpoint over a new connection each time
    costs about three times the processor time of a kept one.
    """

    def __init__(self, address: str, port: int, most: int = MOST_BODY_BYTES):
        self._address = address
        self._port = port
        self._most = most
        self._stream: anyio.abc.SocketStream | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._sent = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes written to the network so far."""
        return self._sent

    async def get(
        self, target: str, timeout_s: float
    ) -> Result[Response, HttpFault]:
        """Returns the response to a GET, or why there is none.

        A kept connection that the server has closed meanwhile is replaced
        once: a GET is idempotent.
        """
        with anyio.move_on_after(timeout_s):
            kept = self._stream is not None
            outcome = await self._attempt(target)
            if kept and outcome == Err(HttpFault.UNREACHABLE):
                outcome = await self._attempt(target)
            return outcome
        # An answer that comes after the timeout would be read as the answer
        # to the next request.
        await self.aclose()
        return Err(HttpFault.TIMEOUT)

    async def connect(self, timeout_s: float) -> Result[None, HttpFault]:
        """Opens the connection, for callers to whom it alone says something."""
        await self.aclose()
        with anyio.move_on_after(timeout_s):
            try:
                await self._open()
            except OSError as error:
                return Err(_connect_fault(error))
            return Ok(None)
        return Err(HttpFault.TIMEOUT)

    async def aclose(self) -> None:
        """Closes the connection; the next request opens another."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.1):
                await anyio.aclose_forcefully(stream)

    async def _attempt(self, target: str) -> Result[Response, HttpFault]:
        try:
            response = await self._exchange(target)
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            await self.aclose()
            return Err(HttpFault.UNREACHABLE)
        except anyio.ClosedResourceError:
            await self.aclose()
            return Err(HttpFault.UNREACHABLE)
        except h11.ProtocolError:
            await self.aclose()
            return Err(HttpFault.PROTOCOL)
        except _TooLargeError:
            await self.aclose()
            return Err(HttpFault.OVERSIZED)
        except BaseException:
            await self.aclose()
            raise
        await self._settle()
        return Ok(response)

    async def _exchange(self, target: str) -> Response:
        if self._stream is None:
            await self._open()
        request = h11.Request(
            method="GET",
            target=target,
            headers=[("Host", f"{self._address}:{self._port}")],
        )
        data = self._protocol.send(request)
        data += self._protocol.send(h11.EndOfMessage())
        self._sent += len(data)
        await self._stream.send(data)
        return await self._read()

    async def _open(self) -> None:
        self._stream = await anyio.connect_tcp(self._address, self._port)
        self._protocol = h11.Connection(h11.CLIENT)

    async def _read(self) -> Response:
        status, parts, size, begun = 0, [], 0, False
        headers: dict[str, str] = {}
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive()
                if not data and not begun:
                    # Closed without a byte of an answer: most often a kept
                    # connection that the server gave up while it was idle.
                    raise anyio.EndOfStream
                begun = True
                self._protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._most:
                    raise _TooLargeError
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(parts), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _settle(self) -> None:
        done = (h11.DONE, h11.DONE)
        if (self._protocol.our_state, self._protocol.their_state) == done:
            self._protocol.start_next_cycle()
        else:
            await self.aclose()


def _connect_fault(error: OSError) -> HttpFault:
    causes = (error, error.__cause__)
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return HttpFault.REFUSED
    return HttpFault.UNREACHABLE
