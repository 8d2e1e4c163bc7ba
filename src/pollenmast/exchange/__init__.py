"""HTTP/1.1 exchanges as bytes; knows neither sockets nor an event loop."""

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
