"""A small HTTP/1.1 client and server, with h11 over anyio TCP streams."""

from pollenmast.http1._client import (
    Connection,
    HttpFault,
    Response,
    Timeouts,
)
from pollenmast.http1._server import Handler, Request, ServerResponse, serve

__all__ = [
    "Connection",
    "Handler",
    "HttpFault",
    "Request",
    "Response",
    "ServerResponse",
    "Timeouts",
    "serve",
]
