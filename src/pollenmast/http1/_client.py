"""A persistent HTTP/1.1 connection that sends GET requests to one server."""

import enum
import math
from collections.abc import Callable

import anyio
import attrs
from result import Err, Ok, Result

from pollenmast.exchange import (
    ConnectionClosedError,
    Exchange,
    ProtocolError,
    Response,
    TooLargeError,
)

MAX_BODY_BYTES = 1 << 20
"""Default limit of a response body, in bytes. The platform's values have at
most a megabyte; a longer body is a fault."""

_RECEIVE_BYTES = 65_536


class HttpFault(str, enum.Enum):
    """The reason why a request has no response."""

    TIMEOUT = "timeout"
    INCOMPLETE = "incomplete"
    """Part of the response arrived, but not all of it in time."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    """Nothing listens at the address; only `Connection.connect` reports it."""

    PROTOCOL = "protocol"
    OVERSIZED = "oversized"


@attrs.frozen
class Timeouts:
    """Timeouts for a response that can take seconds over a slow link.

    With a single timeout, a response that is too long for the link to transfer
    within it would fail on every retry.

    Attributes:
        first_s: Seconds until the first bytes arrive.
        idle_s: Seconds without any further bytes.
        total_s: Seconds until the response is complete.
    """

    first_s: float
    idle_s: float
    total_s: float


class Connection:
    """A client of one server that reuses its connection between requests.

    Each endpoint is probed twice a second. Opening a new connection for every
    probe costs about three times the CPU time of reusing one.
    """

    def __init__(
        self,
        address: str,
        port: int,
        most: int = MAX_BODY_BYTES,
        max_idle_s: float = math.inf,
    ):
        """Creates a connection that is opened by the first request.

        Args:
            address: The server's IP address.
            port: The server's port.
            most: Default limit of a response body in bytes.
            max_idle_s: Seconds without a response after which a request opens a
                new connection. An idle one may have stopped delivering data,
                which only a timeout would show.
        """
        self._address = address
        self._port = port
        self._max_body_bytes = most
        self._max_idle_s = max_idle_s
        self._responded_at = -math.inf
        self._stream: anyio.abc.SocketStream | None = None
        self._exchange = self._new_exchange()
        self._sent_bytes = 0
        self._request_max_body_bytes: int | None = None
        self._response_started = False
        self._on_progress: Callable[[], None] = _no_op

    @property
    def sent_bytes(self) -> int:
        """Bytes written to the network so far."""
        return self._sent_bytes

    async def get(
        self,
        target: str,
        timeout: float | Timeouts,
        most: int | None = None,
    ) -> Result[Response, HttpFault]:
        """Sends a GET request and reads the response.

        If the server has closed the reused connection in the meantime, the
        request is sent once more over a new one: a GET is idempotent.

        Args:
            target: The path and query.
            timeout: Seconds for the whole response, or a timeout for each
                stage of it.
            most: Limit of the response body in bytes; None for the
                connection's default.

        Returns:
            The response, or the reason why there is none.
        """
        if not isinstance(timeout, Timeouts):
            timeout = Timeouts(timeout, timeout, timeout)
        self._request_max_body_bytes, self._response_started = most, False
        now = anyio.current_time()
        if now - self._responded_at > self._max_idle_s:
            await self.aclose()
        total_deadline = now + timeout.total_s
        with anyio.move_on_after(timeout.first_s) as scope:

            def extend_deadline() -> None:
                idle_deadline = anyio.current_time() + timeout.idle_s
                scope.deadline = min(total_deadline, idle_deadline)

            self._on_progress = extend_deadline
            reused = self._stream is not None
            outcome = await self._attempt(target)
            if reused and outcome == Err(HttpFault.UNREACHABLE):
                outcome = await self._attempt(target)
            return outcome
        # On an open connection, a response that arrives after the timeout
        # would be taken for the response to the next request.
        await self.aclose()
        return Err(
            HttpFault.INCOMPLETE
            if self._response_started
            else HttpFault.TIMEOUT
        )

    async def connect(self, timeout_s: float) -> Result[None, HttpFault]:
        """Opens a new connection without sending a request.

        For callers that only need to know whether the server accepts
        connections.

        Args:
            timeout_s: Seconds until the connection is established.

        Returns:
            None, or the reason why there is no connection.
        """
        await self.aclose()
        with anyio.move_on_after(timeout_s):
            try:
                await self._open()
            except OSError as error:
                return Err(_connect_fault(error))
            return Ok(None)
        return Err(HttpFault.TIMEOUT)

    async def aclose(self) -> None:
        """Closes the connection; the next request opens a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.1):
                await anyio.aclose_forcefully(stream)

    async def _attempt(self, target: str) -> Result[Response, HttpFault]:
        try:
            response = await self._request(target)
        except (OSError, anyio.BrokenResourceError, ConnectionClosedError):
            await self.aclose()
            return Err(HttpFault.UNREACHABLE)
        except anyio.ClosedResourceError:
            await self.aclose()
            return Err(HttpFault.UNREACHABLE)
        except ProtocolError:
            await self.aclose()
            return Err(HttpFault.PROTOCOL)
        except TooLargeError:
            await self.aclose()
            return Err(HttpFault.OVERSIZED)
        except BaseException:
            await self.aclose()
            raise
        self._responded_at = anyio.current_time()
        await self._prepare_next_request()
        return Ok(response)

    def _new_exchange(self) -> Exchange:
        return Exchange(f"{self._address}:{self._port}", self._max_body_bytes)

    async def _request(self, target: str) -> Response:
        if self._stream is None:
            await self._open()
        data = self._exchange.request(target, self._request_max_body_bytes)
        self._sent_bytes += len(data)
        await self._stream.send(data)
        return await self._read_response()

    async def _open(self) -> None:
        self._stream = await anyio.connect_tcp(self._address, self._port)
        self._exchange = self._new_exchange()

    async def _read_response(self) -> Response:
        received = False
        while True:
            data = await self._receive()
            if not data and not received:
                # Closed before any byte of a response. Usually this is a
                # reused connection that the server closed while it was idle.
                raise ConnectionClosedError
            received = self._response_started = True
            self._on_progress()
            self._exchange.feed(data)
            response = self._exchange.response()
            if response is not None:
                return response

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _prepare_next_request(self) -> None:
        if not self._exchange.next_cycle():
            await self.aclose()


def _no_op() -> None:
    pass


def _connect_fault(error: OSError) -> HttpFault:
    causes = (error, error.__cause__)
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return HttpFault.REFUSED
    return HttpFault.UNREACHABLE
