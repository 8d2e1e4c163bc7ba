"""HTTP/1.1 client protocol without I/O: no sockets, no event loop."""

from pollenmast.exchange._exchange import (
    ConnectionClosedError,
    Exchange,
    ProtocolError,
    Response,
    TooLargeError,
)

__all__ = [
    "ConnectionClosedError",
    "Exchange",
    "ProtocolError",
    "Response",
    "TooLargeError",
]
