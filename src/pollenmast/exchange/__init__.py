"""HTTP/1.1 client protocol without I/O: no sockets, no event loop."""

from pollenmast.exchange._exchange import (
    EndedError,
    Exchange,
    ProtocolError,
    Response,
    TooLargeError,
)

__all__ = [
    "EndedError",
    "Exchange",
    "ProtocolError",
    "Response",
    "TooLargeError",
]
