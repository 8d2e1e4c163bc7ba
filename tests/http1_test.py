"""Tests of http1, over streams in memory and with the clock paused."""

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
    Answer,
    Connection,
    HttpFault,
    Patience,
    _client,
    _server,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class MemoryStream(anyio.abc.ByteStream):
    """A trio stream in memory, as anyio sees streams."""

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
        """Ends this direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()


def run(main) -> object:
    """Runs with a clock that jumps over every wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class Network:
    """Gives each connection to a scripted server."""

    def __init__(self, case: TestCase, nursery, *servers):
        self._nursery = nursery
        self._servers = list(servers)
        self.opened = 0
        case.patch(_client.anyio, "connect_tcp", self._connect)

    async def _connect(self, address: str, port: int) -> MemoryStream:
        if not self._servers:
            raise OSError("refused")
        near, far = trio.testing.memory_stream_pair()
        self.opened += 1
        self._nursery.start_soon(self._servers.pop(0), MemoryStream(far))
        return MemoryStream(near)


async def _silent(stream: MemoryStream) -> None:
    await anyio.sleep_forever()


def _answering(*answers: bytes):
    """Returns a server that gives these answers, then closes."""

    async def serve(stream: MemoryStream) -> None:
        for answer in answers:
            await stream.receive()
            await stream.send(answer)
        await stream.aclose()

    return serve


class ConnectionTest(TestCase):
    """A GET has one whole answer, or a fault."""

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

    def test_kept(self):
        """Two requests share one connection."""
        outcomes, opened, _ = self._get([_answering(ANSWER, ANSWER)], gets=2)
        self.assertEqual(1, opened)
        self.assertEqual([b"ok"] * 2, [each.unwrap().body for each in outcomes])

    def test_closed_between(self):
        """The server closed the kept connection while it was idle.

        Without the second attempt each restart of an endpoint's health port
        would look like an outage.
        """
        servers = [_answering(ANSWER), _answering(ANSWER)]
        outcomes, opened, _ = self._get(servers, gets=2)
        self.assertEqual(2, opened)
        self.assertTrue(all(each.is_ok() for each in outcomes))

    def test_silence(self):
        """A server takes the connection and never answers."""
        outcomes, _, spent = self._get([_silent])
        self.assertEqual([Err(HttpFault.TIMEOUT)], outcomes)
        self.assertEqual(2.0, round(spent, 3))

    @parameterized.expand(
        [
            ("refused", [], HttpFault.UNREACHABLE),
            ("closed", [_answering()], HttpFault.UNREACHABLE),
            ("garbage", [_answering(b"\0\1\2\r\n\r\n")], HttpFault.PROTOCOL),
            ("cut", [_answering(ANSWER[:-1])], HttpFault.PROTOCOL),
            (
                "oversized",
                [_answering(ANSWER.replace(b"2\r", b"2000\r") + b"x" * 1998)],
                HttpFault.OVERSIZED,
            ),
        ]
    )
    def test_fault(self, _, servers, fault):
        """Whatever a server does, the outcome is a value."""
        outcomes, _, _ = self._get(servers)
        self.assertEqual([Err(fault)], outcomes)


class ServerTest(TestCase):
    """A whole answer to each request, and an end to everything else."""

    def _serve(self, *sent: bytes, end: bool = True) -> bytes:
        async def handle(request):
            return Answer(200, request.target.encode())

        async def main():
            near, far = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:

                async def serve():
                    async with MemoryStream(far) as stream:
                        await _server._Session(stream, handle).run()

                nursery.start_soon(serve)
                for data in sent:
                    await near.send_all(data)
                if end:
                    await near.send_eof()
                received = b""
                while data := await near.receive_some(65_536):
                    received += data
            return received

        return run(main)

    def test_two_requests(self):
        """Two requests of one connection are answered in their order."""
        request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        received = self._serve(request % 1, request % 2)
        self.assertEqual(2, received.count(b"200"))
        self.assertTrue(received.endswith(b"/2"))

    def test_idle(self):
        """A connection that asks nothing is closed after a while."""
        self.assertEqual(b"", self._serve(end=False))

    def test_endless_head(self):
        """A head that never ends is refused before it takes the memory."""
        data = b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000
        received = self._serve(data, end=False)
        self.assertTrue(received.startswith(b"HTTP/1.1 400"))

    @settings(max_examples=60, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        """Bytes of no meaning end the connection, and nothing is raised."""
        self.assertNotIn(b"200", self._serve(data)[:20])


class PatienceTest(TestCase):
    """Answers that a narrow link carries for seconds."""

    def _get(self, server, most: int | None = None):
        patience = Patience(first_s=1.0, idle_s=0.5, total_s=6.0)

        async def main():
            async with trio.open_nursery() as nursery:
                Network(self, nursery, server)
                connection = Connection("10.0.0.1", 1)
                began = trio.current_time()
                got = await connection.get("/", patience, most)
                nursery.cancel_scope.cancel()
                return got, trio.current_time() - began

        return run(main)

    @staticmethod
    def _trickling(parts: int, gap_s: float, length: int):
        async def serve(stream: MemoryStream) -> None:
            await stream.receive()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            await stream.send(head.encode())
            for _ in range(parts):
                await anyio.sleep(gap_s)
                await stream.send(b"x" * 10)
            await anyio.sleep_forever()

        return serve

    def test_slow_but_steady(self):
        """An answer that goes on arriving is not dropped."""
        answer, took_s = self._get(self._trickling(10, 0.4, 100))
        self.assertEqual(100, len(answer.ok_value.body))
        self.assertGreater(took_s, 3.9)

    @parameterized.expand(
        [
            ("nothing", 0, 9.0, HttpFault.INCOMPLETE, 0.6),
            ("stops", 3, 0.1, HttpFault.INCOMPLETE, 0.9),
            ("never_ends", 1000, 0.4, HttpFault.INCOMPLETE, 6.1),
        ]
    )
    def test_bounded(self, _, parts, gap_s, fault, most_s):
        """An answer that stops, or has no end, is given up."""
        answer, took_s = self._get(self._trickling(parts, gap_s, 1 << 20))
        self.assertEqual(Err(fault), answer)
        self.assertLessEqual(took_s, most_s)

    def test_no_answer(self):
        """A server that says nothing is told apart from a slow one."""
        answer, took_s = self._get(_silent)
        self.assertEqual(Err(HttpFault.TIMEOUT), answer)
        self.assertLessEqual(took_s, 1.1)

    @parameterized.expand([("announced", 101), ("absurd", 10**18)])
    def test_length(self, _, length):
        """An answer that is too long is refused before it is transferred."""
        answer, took_s = self._get(self._trickling(0, 0.1, length), most=100)
        self.assertEqual(Err(HttpFault.OVERSIZED), answer)
        self.assertLessEqual(took_s, 0.1)
