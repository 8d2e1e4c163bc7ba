"""A small HTTP/1.1 client and server, with h11 over anyio TCP streams."""

from pollenmast.http1._client import (
    Connection,
    HttpFault,
    Response,
    Timeouts,
)
from pollenmast.http1._server import Answer, Handler, Request, serve

__all__ = [
    "Answer",
    "Connection",
    "Handler",
    "HttpFault",
    "Request",
    "Response",
    "Timeouts",
    "serve",
]
