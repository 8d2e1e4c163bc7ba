"""Tests of http1, over in-memory streams and with a simulated clock."""

import anyio
import anyio.abc
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err
from testtools import TestCase

from pollenmast.http1 import (
    Connection,
    HttpFault,
    ServerResponse,
    Timeouts,
    _client,
    _server,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class MemoryStream(anyio.abc.ByteStream):
    """Adapts an in-memory trio stream to the stream interface of anyio."""

    def __init__(self, stream):
        self._stream = stream

    async def send(self, item: bytes) -> None:
        """Sends bytes."""
        try:
            await self._stream.send_all(item)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise anyio.BrokenResourceError from error

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receives bytes."""
        data = await self._stream.receive_some(max_bytes)
        if not data:
            raise anyio.EndOfStream
        return data

    async def send_eof(self) -> None:
        """Closes the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()


def run(main) -> object:
    """Runs an async function with a clock that skips every wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class Network:
    """Replaces `connect_tcp`; each new connection gets the next server."""

    def __init__(self, case: TestCase, nursery, *servers):
        self._nursery = nursery
        self._servers = list(servers)
        self.opened = 0
        case.patch(_client.anyio, "connect_tcp", self._connect)

    async def _connect(self, address: str, port: int) -> MemoryStream:
        if not self._servers:
            raise OSError("refused")
        client_end, server_end = trio.testing.memory_stream_pair()
        self.opened += 1
        self._nursery.start_soon(self._servers.pop(0), MemoryStream(server_end))
        return MemoryStream(client_end)


async def _silent_server(stream: MemoryStream) -> None:
    await anyio.sleep_forever()


def _responding(*responses: bytes):
    """Returns a server that sends these responses, then closes."""

    async def serve(stream: MemoryStream) -> None:
        for response in responses:
            await stream.receive()
            await stream.send(response)
        await stream.aclose()

    return serve


class ConnectionTest(TestCase):
    """A GET returns one complete response, or a fault."""

    def _get(self, servers, gets: int = 1, most: int = 1000) -> tuple:
        async def main():
            async with trio.open_nursery() as nursery:
                network = Network(self, nursery, *servers)
                connection = Connection("127.0.3.1", 80, most)
                outcomes = [
                    await connection.get("/x", 2.0) for _ in range(gets)
                ]
                nursery.cancel_scope.cancel()
            return outcomes, network.opened, trio.current_time()

        return run(main)

    def test_connection_reused(self):
        """Two requests use the same connection."""
        outcomes, opened, _ = self._get(
            [_responding(RESPONSE, RESPONSE)], gets=2
        )
        self.assertEqual(1, opened)
        self.assertEqual([b"ok"] * 2, [each.unwrap().body for each in outcomes])

    def test_idle_connection_closed_by_server(self):
        """A request is repeated if the server closed the idle connection.

        Without the second attempt, each restart of an endpoint's health port
        would look like an outage.
        """
        servers = [_responding(RESPONSE), _responding(RESPONSE)]
        outcomes, opened, _ = self._get(servers, gets=2)
        self.assertEqual(2, opened)
        self.assertTrue(all(each.is_ok() for each in outcomes))

    def test_server_never_responds(self):
        """A server that accepts a connection but never responds times out."""
        outcomes, _, elapsed_s = self._get([_silent_server])
        self.assertEqual([Err(HttpFault.TIMEOUT)], outcomes)
        self.assertEqual(2.0, round(elapsed_s, 3))

    @parameterized.expand(
        [
            ("refused", [], HttpFault.UNREACHABLE),
            ("closed", [_responding()], HttpFault.UNREACHABLE),
            ("garbage", [_responding(b"\0\1\2\r\n\r\n")], HttpFault.PROTOCOL),
            ("cut", [_responding(RESPONSE[:-1])], HttpFault.PROTOCOL),
            (
                "oversized",
                [
                    _responding(
                        RESPONSE.replace(b"2\r", b"2000\r") + b"x" * 1998
                    )
                ],
                HttpFault.OVERSIZED,
            ),
        ]
    )
    def test_failure_returned_as_fault(self, _, servers, fault):
        """Each failure of a server is returned as a fault, not raised."""
        outcomes, _, _ = self._get(servers)
        self.assertEqual([Err(fault)], outcomes)


class ServerTest(TestCase):
    """A request gets a complete response; anything else ends the connection."""

    def _serve(self, *sent: bytes, end: bool = True) -> bytes:
        async def handle(request):
            return ServerResponse(200, request.target.encode())

        async def main():
            client_end, server_end = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:

                async def serve():
                    async with MemoryStream(server_end) as stream:
                        await _server._ServerConnection(stream, handle).run()

                nursery.start_soon(serve)
                for data in sent:
                    await client_end.send_all(data)
                if end:
                    await client_end.send_eof()
                received = b""
                while data := await client_end.receive_some(65_536):
                    received += data
            return received

        return run(main)

    def test_requests_answered_in_order(self):
        """Requests on one connection are answered in order."""
        request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        received = self._serve(request % 1, request % 2)
        self.assertEqual(2, received.count(b"200"))
        self.assertTrue(received.endswith(b"/2"))

    def test_idle_connection_closed(self):
        """A connection without a request is closed after the idle timeout."""
        self.assertEqual(b"", self._serve(end=False))

    def test_endless_head_refused(self):
        """An endless request head is refused before it uses up the memory."""
        data = b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000
        received = self._serve(data, end=False)
        self.assertTrue(received.startswith(b"HTTP/1.1 400"))

    @parameterized.expand(
        [
            ("head", b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
            ("connect", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", b"405"),
            ("asterisk", b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
            (
                "upgrade",
                b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
                b"Upgrade: websocket\r\n\r\n",
                b"200",
            ),
            (
                "body",
                b"GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
                b"200",
            ),
            (
                "chunked",
                b"POST /x HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                b"200",
            ),
            (
                "continue",
                b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                b"Expect: 100-continue\r\n\r\na",
                b"200",
            ),
            ("http_1_0", b"GET /x HTTP/1.0\r\n\r\n", b"200"),
        ]
    )
    def test_unusual_request_answered(self, _, request, status):
        """An unusual but valid request is answered.

        An exception while answering would end the whole program, and any
        client that reaches the port could cause it.
        """
        received = self._serve(request)
        self.assertEqual(status, received.split(b" ")[1])

    def test_head_answered_without_body(self):
        """A response to HEAD has the headers of GET and no body."""
        request = b"%s /x HTTP/1.1\r\nHost: a\r\n\r\n"
        head = self._serve(request % b"HEAD")
        got = self._serve(request % b"GET")
        self.assertEqual(got, head + b"/x")

    def test_client_that_reads_nothing_disconnected(self):
        """A client that reads no response is disconnected after a timeout.

        Otherwise a few such clients occupy all connections for good, and
        readiness checks are refused.
        """

        async def handle(request):
            return ServerResponse(200, b"x" * 100)

        async def main():
            client_end, server_end = trio.testing.lockstep_stream_pair()
            connection = _server._ServerConnection(
                MemoryStream(server_end), handle
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    client_end.send_all,
                    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                )
                with trio.fail_after(100.0):
                    await connection.run()

        error = self.assertRaises(BaseExceptionGroup, run, main)
        self.assertIsNotNone(error.subgroup(anyio.BrokenResourceError))

    @settings(max_examples=60, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_end_connection(self, data):
        """Random bytes end the connection without an exception."""
        self.assertNotIn(b"200", self._serve(data)[:20])


class SlowResponseTest(TestCase):
    """Responses that take seconds over a slow link."""

    def _get(self, server, most: int | None = None):
        timeouts = Timeouts(first_s=1.0, idle_s=0.5, total_s=6.0)

        async def main():
            async with trio.open_nursery() as nursery:
                Network(self, nursery, server)
                connection = Connection("10.0.0.1", 1)
                started_at = trio.current_time()
                outcome = await connection.get("/", timeouts, most)
                nursery.cancel_scope.cancel()
                return outcome, trio.current_time() - started_at

        return run(main)

    @staticmethod
    def _trickling_server(parts: int, gap_s: float, length: int):
        async def serve(stream: MemoryStream) -> None:
            await stream.receive()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            await stream.send(head.encode())
            for _ in range(parts):
                await anyio.sleep(gap_s)
                await stream.send(b"x" * 10)
            await anyio.sleep_forever()

        return serve

    def test_slow_response_completes(self):
        """A slow response is not given up while more of it keeps arriving."""
        outcome, took_s = self._get(self._trickling_server(10, 0.4, 100))
        self.assertEqual(100, len(outcome.ok_value.body))
        self.assertGreater(took_s, 3.9)

    @parameterized.expand(
        [
            ("nothing", 0, 9.0, HttpFault.INCOMPLETE, 0.6),
            ("stops", 3, 0.1, HttpFault.INCOMPLETE, 0.9),
            ("never_ends", 1000, 0.4, HttpFault.INCOMPLETE, 6.1),
        ]
    )
    def test_stalled_or_endless_response_given_up(
        self, _, parts, gap_s, fault, max_s
    ):
        """A response that stops, or never ends, is given up."""
        outcome, took_s = self._get(
            self._trickling_server(parts, gap_s, 1 << 20)
        )
        self.assertEqual(Err(fault), outcome)
        self.assertLessEqual(took_s, max_s)

    def test_silent_server_times_out(self):
        """A silent server is reported differently from a slow one."""
        outcome, took_s = self._get(_silent_server)
        self.assertEqual(Err(HttpFault.TIMEOUT), outcome)
        self.assertLessEqual(took_s, 1.1)

    @parameterized.expand([("announced", 101), ("absurd", 10**18)])
    def test_large_content_length_refused(self, _, length):
        """A response with too large a Content-Length is refused at once.

        Its body is not transferred first.
        """
        outcome, took_s = self._get(
            self._trickling_server(0, 0.1, length), most=100
        )
        self.assertEqual(Err(HttpFault.OVERSIZED), outcome)
        self.assertLessEqual(took_s, 0.1)
