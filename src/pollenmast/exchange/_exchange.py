"""A client's side of one connection: requests out, whole responses in."""

import attrs
import h11

ProtocolError = h11.ProtocolError
"""What came is no response in the protocol."""


class TooLargeError(Exception):
    """The body is larger than allowed."""


class EndedError(Exception):
    """The connection ended before the response did."""


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


class Exchange:
    """GET requests and their responses, one after the other."""

    def __init__(self, host: str, most: int):
        """Sets the `Host` that is asked, and the most bytes of a body."""
        self._host = host
        self._usual_most = most
        self._most: int | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._size = 0

    def request(self, target: str, most: int | None = None) -> bytes:
        """Returns the bytes that ask for a target.

        Args:
            target: The path and query.
            most: The most bytes of this answer's body, None for the usual.
                Beyond it the answer is refused by the length it announces.
        """
        self._most = most
        request = h11.Request(
            method="GET", target=target, headers=[("Host", self._host)]
        )
        self._parts, self._size = [], 0
        data = self._protocol.send(request)
        return data + self._protocol.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> None:
        """Takes what was received; empty at the connection's end."""
        self._protocol.receive_data(data)

    def response(self) -> Response | None:
        """Returns the response, or None while some of it is missing.

        Raises:
            ProtocolError: What came is no response.
            TooLargeError: Its body is larger than allowed.
            EndedError: The connection ended before it.
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
                self._refuse_length()
            elif isinstance(event, h11.Data):
                self._take(event.data)
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(self._parts)
                return Response(self._status, body, self._headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise EndedError

    def next_cycle(self) -> bool:
        """Prepares the next request; returns whether one is possible."""
        done = (h11.DONE, h11.DONE)
        if (self._protocol.our_state, self._protocol.their_state) != done:
            return False
        self._protocol.start_next_cycle()
        return True

    def _refuse_length(self) -> None:
        length = self._headers.get("content-length", "")
        if self._most is None or not length.isdecimal():
            return
        if int(length) > self._most:
            raise TooLargeError

    def _take(self, data: bytes) -> None:
        self._size += len(data)
        most = self._usual_most if self._most is None else self._most
        if self._size > most:
            raise TooLargeError
        self._parts.append(bytes(data))
