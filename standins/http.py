"""A minimal HTTP/1.1 server and client for JSON: h11 over TCP, keep-alive."""

import abc
import json
import urllib.parse
from collections.abc import Mapping

import anyio
import anyio.abc
import attrs
import h11

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Limit on the size of a body, in bytes.

A manifest has at most 1 MB, so a body of more than 4 MB is not one of ours.
"""

READ_BYTES = 65_536
CLIENT_TIMEOUT_S = 5.0


@attrs.frozen
class Request:
    """A complete HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes

    def json(self) -> dict:
        """Returns the body's JSON object, or an empty dict without a body."""
        return json.loads(self.body) if self.body else {}


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
        status: The status code; None closes the connection unanswered.
        body: The body.
        headers: Additional headers.
    """

    status: int | None
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


CLOSE_UNANSWERED = Response(None)
NOT_FOUND = Response(404, b'{"error": "not found"}')


def json_response(value: object, status: int = 200) -> Response:
    """Returns a response whose body is this value as JSON."""
    return Response(status, json.dumps(value).encode())


class Handler(abc.ABC):
    """Handles the requests of one port."""

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Returns the response to one request."""


async def serve(
    handler: Handler,
    address: str,
    port: int,
    *,
    task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled."""
    listener = await anyio.create_tcp_listener(
        local_host=address, local_port=port, reuse_port=False, backlog=1024
    )
    async with listener:
        task_status.started()
        await listener.serve(_Server(handler).serve_connection)


class _Server:
    """Speaks HTTP on the connections of one port."""

    def __init__(self, handler: Handler):
        self._handler = handler

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._exchange(stream, connection):
                    connection.start_next_cycle()
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                h11.ProtocolError,
                ValueError,
            ):
                return

    async def _exchange(self, stream, connection: h11.Connection) -> bool:
        request = await _read_request(stream, connection)
        if request is None:
            return False
        response = await self._handler.handle(request)
        if response.status is None:
            return False
        await stream.send(_response_bytes(connection, response))
        return connection.our_state is h11.DONE


async def _next_event(stream, connection: h11.Connection):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            connection.receive_data(await stream.receive(READ_BYTES))
        except anyio.EndOfStream:
            connection.receive_data(b"")


async def _read_body(stream, connection: h11.Connection) -> bytes:
    body = bytearray()
    while True:
        event = await _next_event(stream, connection)
        if not isinstance(event, h11.Data):
            return bytes(body)
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("body too large")


async def _read_request(stream, connection) -> Request | None:
    head = await _next_event(stream, connection)
    if not isinstance(head, h11.Request):
        return None
    body = await _read_body(stream, connection)
    target = urllib.parse.urlsplit(head.target.decode("ascii"))
    query = dict(urllib.parse.parse_qsl(target.query))
    return Request(head.method.decode("ascii"), target.path, query, body)


def _response_bytes(connection: h11.Connection, response: Response) -> bytes:
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(response.body))),
        *response.headers.items(),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [connection.send(head)]
    if response.body:
        parts.append(connection.send(h11.Data(data=response.body)))
    parts.append(connection.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def fetch(
    address: str,
    port: int,
    target: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = CLIENT_TIMEOUT_S,
) -> Response:
    """Makes one request on a new connection.

    Returns:
        The response, or `CLOSE_UNANSWERED` if none came in time.
    """
    with anyio.move_on_after(timeout_s):
        try:
            return await _request(address, port, target, method, body)
        except (OSError, anyio.BrokenResourceError, h11.ProtocolError):
            return CLOSE_UNANSWERED
    return CLOSE_UNANSWERED


async def post(address: str, port: int, target: str, value: object) -> Response:
    """Makes a POST request with a value encoded as JSON."""
    body = json.dumps(value).encode()
    return await fetch(address, port, target, method="POST", body=body)


async def _request(address, port, target, method, body) -> Response:
    connection = h11.Connection(h11.CLIENT)
    headers = [("Host", address), ("Content-Length", str(len(body)))]
    head = h11.Request(method=method, target=target, headers=headers)
    async with await anyio.connect_tcp(address, port) as stream:
        sent = connection.send(head)
        if body:
            sent += connection.send(h11.Data(data=body))
        sent += connection.send(h11.EndOfMessage())
        await stream.send(sent)
        answer = await _next_event(stream, connection)
        if not isinstance(answer, h11.Response):
            return CLOSE_UNANSWERED
        return Response(
            answer.status_code, await _read_body(stream, connection)
        )
