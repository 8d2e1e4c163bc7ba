"""HTTP/1.1 by h11 over anyio's TCP streams: a small client and server."""

from pollenmast.http1._client import (
    Connection,
    HttpFault,
    Patience,
    Response,
)
from pollenmast.http1._server import Answer, Handler, Request, serve

__all__ = [
    "Answer",
    "Connection",
    "Handler",
    "HttpFault",
    "Patience",
    "Request",
    "Response",
    "serve",
]
