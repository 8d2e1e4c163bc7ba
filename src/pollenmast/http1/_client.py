"""One kept-alive connection to one server, for GET only."""

import enum
from collections.abc import Callable

import anyio
import attrs
from result import Err, Ok, Result

from pollenmast.exchange import (
    EndedError,
    Exchange,
    ProtocolError,
    Response,
    TooLargeError,
)

MOST_BODY_BYTES = 1 << 20
"""The platform's values are a megabyte at most; more is a fault."""

_READ_BYTES = 65_536


class HttpFault(str, enum.Enum):
    """Why there is no response."""

    TIMEOUT = "timeout"
    INCOMPLETE = "incomplete"
    """The answer has begun, but did not come whole in time."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    """Nothing listens at the address."""

    PROTOCOL = "protocol"
    OVERSIZED = "oversized"


@attrs.frozen
class Patience:
    """How long an answer is awaited that may take a narrow link seconds.

    One timeout for the whole answer would drop each that is longer than the
    link carries meanwhile, however often it is asked for.

    Attributes:
        first_s: Seconds until some of it arrives.
        idle_s: Seconds without any more of it.
        total_s: Seconds until it is whole.
    """

    first_s: float
    idle_s: float
    total_s: float


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
        self._exchange = self._new_exchange()
        self._sent = 0
        self._most_now: int | None = None
        self._begun = False
        self._on_progress: Callable[[], None] = _nothing

    @property
    def sent_bytes(self) -> int:
        """Bytes written to the network so far."""
        return self._sent

    async def get(
        self,
        target: str,
        timeout: float | Patience,
        most: int | None = None,
    ) -> Result[Response, HttpFault]:
        """Returns the response to a GET, or why there is none.

        A kept connection that the server has closed meanwhile is replaced
        once: a GET is idempotent.

        Args:
            target: The path and query.
            timeout: Seconds for the whole answer, or how long to wait for
                each part of it.
            most: The most bytes of its body, None for the connection's usual.
        """
        if not isinstance(timeout, Patience):
            timeout = Patience(timeout, timeout, timeout)
        self._most_now, self._begun = most, False
        give_up_at = anyio.current_time() + timeout.total_s
        with anyio.move_on_after(timeout.first_s) as scope:

            def extend() -> None:
                idle_until = anyio.current_time() + timeout.idle_s
                scope.deadline = min(give_up_at, idle_until)

            self._on_progress = extend
            kept = self._stream is not None
            outcome = await self._attempt(target)
            if kept and outcome == Err(HttpFault.UNREACHABLE):
                outcome = await self._attempt(target)
            return outcome
        # An answer that comes after the timeout would be read as the answer
        # to the next request.
        await self.aclose()
        return Err(HttpFault.INCOMPLETE if self._begun else HttpFault.TIMEOUT)

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
            response = await self._ask(target)
        except (OSError, anyio.BrokenResourceError, EndedError):
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
        await self._settle()
        return Ok(response)

    def _new_exchange(self) -> Exchange:
        return Exchange(f"{self._address}:{self._port}", self._most)

    async def _ask(self, target: str) -> Response:
        if self._stream is None:
            await self._open()
        data = self._exchange.request(target, self._most_now)
        self._sent += len(data)
        await self._stream.send(data)
        return await self._read()

    async def _open(self) -> None:
        self._stream = await anyio.connect_tcp(self._address, self._port)
        self._exchange = self._new_exchange()

    async def _read(self) -> Response:
        begun = False
        while True:
            data = await self._receive()
            if not data and not begun:
                # Closed without a byte of an answer: most often a kept
                # connection that the server gave up while it was idle.
                raise EndedError
            begun = self._begun = True
            self._on_progress()
            self._exchange.feed(data)
            response = self._exchange.response()
            if response is not None:
                return response

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _settle(self) -> None:
        if not self._exchange.next_cycle():
            await self.aclose()


def _nothing() -> None:
    pass


def _connect_fault(error: OSError) -> HttpFault:
    causes = (error, error.__cause__)
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return HttpFault.REFUSED
    return HttpFault.UNREACHABLE
