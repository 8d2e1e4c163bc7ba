"""Sans-I/O client side of an HTTP connection, built on h11."""

import attrs
import h11

ProtocolError = h11.ProtocolError
"""The received bytes are not a valid HTTP response."""


class TooLargeError(Exception):
    """The response body exceeds the limit."""


class ConnectionClosedError(Exception):
    """The connection was closed before the response was complete."""


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        status: The status code.
        body: The body.
        headers: Values by header name, which is in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class Exchange:
    """Sequential GET requests and their responses on one connection."""

    def __init__(self, host: str, most: int):
        """Initializes the exchange.

        Args:
            host: Value of the `Host` header.
            most: Default limit on the bytes of a response body.
        """
        self._host = host
        self._default_max_body_bytes = most
        self._max_body_bytes: int | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body_parts: list[bytes] = []
        self._body_size = 0

    def request(self, target: str, most: int | None = None) -> bytes:
        """Returns the bytes of a request.

        Args:
            target: The path and query.
            most: Limit on the bytes of this response's body, or None for the
                default. With a limit, a response whose `Content-Length`
                exceeds it is rejected before its body is read.

        Raises:
            ProtocolError: The target has characters that none may have.
        """
        self._max_body_bytes = most
        if not target.isascii():
            raise h11.LocalProtocolError("target is not ASCII")
        request = h11.Request(
            method="GET", target=target, headers=[("Host", self._host)]
        )
        self._body_parts, self._body_size = [], 0
        data = self._protocol.send(request)
        return data + self._protocol.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> None:
        """Processes received bytes; empty bytes mean a closed connection."""
        self._protocol.receive_data(data)

    def response(self) -> Response | None:
        """Returns the response, or None while it is incomplete.

        Raises:
            ProtocolError: The received bytes are not a valid HTTP response.
            TooLargeError: The body exceeds the limit.
            ConnectionClosedError: The connection was closed before the
                response was complete.
        """
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                self._status = event.status_code
                self._headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._check_content_length()
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(self._body_parts)
                return Response(self._status, body, self._headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionClosedError

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns whether one is possible."""
        done = (h11.DONE, h11.DONE)
        if (self._protocol.our_state, self._protocol.their_state) != done:
            return False
        self._protocol.start_next_cycle()
        return True

    def _check_content_length(self) -> None:
        length = self._headers.get("content-length", "")
        if self._max_body_bytes is None or not length.isdecimal():
            return
        if int(length) > self._max_body_bytes:
            raise TooLargeError

    def _append_body(self, data: bytes) -> None:
        self._body_size += len(data)
        most = (
            self._default_max_body_bytes
            if self._max_body_bytes is None
            else self._max_body_bytes
        )
        if self._body_size > most:
            raise TooLargeError
        self._body_parts.append(bytes(data))
