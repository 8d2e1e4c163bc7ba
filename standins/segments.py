"""Stand-ins for clients and endpoints that use the segment header.

The header codec is implemented here independently of the product's, so that
a fault in the product's codec is not hidden by the same fault here.
"""

import random
import socket
import struct

import anyio
import attrs

from standins import http

HEAD = struct.Struct(">IIH4sH4sIIHBB")
SYN, ACK, FIN, RST = 16, 8, 64, 4
RETRANSMIT_TIMEOUTS_S = (0.2, 0.4, 0.8, 1.6)
SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
_BUFFER = 4096


@attrs.frozen
class Head:
    """A packet's header fields and payload."""

    token: int
    sport: int
    src: str
    dport: int
    dst: str
    sequence: int
    acknowledged: int
    flags: int
    data: bytes = b""

    def encode(self) -> bytes:
        """Returns the packet's bytes; the checksum field is left at 0."""
        head = HEAD.pack(
            1,
            self.token,
            self.sport,
            socket.inet_aton(self.src),
            self.dport,
            socket.inet_aton(self.dst),
            self.sequence,
            self.acknowledged,
            len(self.data),
            self.flags,
            0,
        )
        return head + self.data


def decode(packet: bytes) -> Head:
    """Decodes a packet."""
    fields = HEAD.unpack_from(packet)
    _, token, sport, src, dport, dst, sequence, acknowledged, _, flags, _ = (
        fields
    )
    return Head(
        token,
        sport,
        socket.inet_ntoa(src),
        dport,
        socket.inet_ntoa(dst),
        sequence,
        acknowledged,
        flags,
        packet[HEAD.size :],
    )


def bind(host: str, port: int) -> socket.socket:
    """Returns a bound UDP socket that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


async def receive(sock: socket.socket) -> bytes:
    """Returns the next datagram."""
    while True:
        await anyio.wait_readable(sock)
        try:
            return sock.recv(_BUFFER)
        except BlockingIOError:
            continue


class Endpoint(http.Handler):
    """An endpoint that answers each data packet with one data packet."""

    def __init__(self, name: str, host: str, port: int, client_port: int):
        self.name = name
        self.host = host
        self.port = port
        self.ran: list[bytes] = []
        self._number = int(name.split("-")[1], 16)
        self._client_port = client_port
        self._flows: dict[tuple[str, int], int] = {}
        self._answers: dict[tuple[str, int, int], Head] = {}

    def entry(self, service: str, zone: str, state: str = "ready") -> dict:
        """Returns the endpoint's directory entry."""
        return {
            "service": service,
            "address": f"{self.host}:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmupLeftMs": 0,
            "seqNo": 1,
        }

    async def handle(self, request: http.Request) -> http.Response:
        """Answers a health check."""
        return http.Response(200, b"ok")

    async def run(self) -> None:
        """Serves until cancelled, then stops without notifying its peers."""
        sock = bind(self.host, self.port)
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(http.serve, self, self.host, self.port)
                while True:
                    self._take(sock, await receive(sock))
        finally:
            sock.close()

    def _take(self, sock: socket.socket, datagram: bytes) -> None:
        if int.from_bytes(datagram[:8], "big") not in (0, self._number):
            return
        head = decode(datagram[8:])
        flow = (head.src, head.sport)
        if head.flags & SYN:
            number = random.getrandbits(31)
            self._flows[flow] = number
            answer = self._answer(head, SYN | ACK, number)
        elif flow not in self._flows:
            answer = self._answer(head, RST, 0)
        elif head.data:
            answer = self._serve(flow, head)
        else:
            return
        sock.sendto(answer.encode(), (head.src, self._client_port))

    def _serve(self, flow: tuple[str, int], head: Head) -> Head:
        key = (*flow, head.sequence)
        if key not in self._answers:
            self.ran.append(head.data)
            sequence = self._flows[flow] + 1
            answer = self.reply(head.data)
            self._flows[flow] += len(answer)
            self._answers[key] = self._answer(head, ACK, sequence, answer)
        return self._answers[key]

    def reply(self, request: bytes) -> bytes:
        """Returns the response to a request, which is the endpoint's name."""
        return self.name.encode()

    @staticmethod
    def _answer(head: Head, flags: int, number: int, data: bytes = b"") -> Head:
        acknowledged = head.sequence + len(head.data) + bool(head.flags & SYN)
        return Head(
            head.token,
            head.dport,
            head.dst,
            head.sport,
            head.src,
            number,
            acknowledged,
            flags,
            data,
        )


class Client:
    """A client whose flows share one socket."""

    def __init__(self, host: str, port: int):
        self.host = host
        self._sock = bind(host, port)
        self._inbox: dict[int, list[Head]] = {}

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def send(self, head: Head, vms: list[tuple[str, int]]) -> None:
        """Sends a packet to a random VM."""
        self._sock.sendto(head.encode(), random.choice(vms))

    async def receive(self, port: int) -> Head:
        """Returns the next packet for one flow and queues those of others."""
        while not self._inbox.get(port):
            head = decode(await receive(self._sock))
            self._inbox.setdefault(head.dport, []).append(head)
        return self._inbox[port].pop(0)


class Flow:
    """The client side of one flow."""

    def __init__(self, client: Client, port: int, service: tuple):
        self._client = client
        self._port = port
        self._service = service
        self._sequence = random.getrandbits(30)
        self._acknowledged = 0
        self.token = 0
        self.reset = False

    async def open(self, vms: list[tuple[str, int]]) -> bool:
        """Opens the flow through one of the VMs; returns whether it opened."""
        for copies, wait_s in enumerate(SYN_TIMEOUTS_S):
            self._send(SYN, vms, copies)
            answer = await self._answer(wait_s)
            if answer is not None:
                break
        if answer is None or self.reset:
            return False
        self.token = answer.token
        self._sequence += 1
        self._acknowledged = answer.sequence + 1
        self._send(ACK, vms, self._acknowledged)
        return True

    async def ask(self, vms: list[tuple[str, int]], data: bytes) -> bytes:
        """Sends a request, with retransmissions.

        Returns:
            The response, or empty bytes after a reset or the last time-out.
        """
        for wait_s in RETRANSMIT_TIMEOUTS_S:
            self._send(ACK, vms, self._acknowledged, data)
            answer = await self._next_data(wait_s)
            if self.reset:
                return b""
            if answer is not None:
                self._sequence += len(data)
                self._acknowledged = answer.sequence + len(answer.data)
                return answer.data
        return b""

    async def _next_data(self, wait_s: float) -> Head | None:
        """Returns the next data in sequence, ignoring retransmitted data."""
        with anyio.move_on_after(wait_s):
            while not self.reset:
                head = await self._answer(wait_s)
                if head is None:
                    return None
                if head.data and head.sequence == self._acknowledged:
                    return head
        return None

    async def ended(self, within_s: float) -> bool:
        """Waits for a reset; returns whether one came."""
        await self._answer(within_s)
        return self.reset

    def _send(self, flags: int, vms, acknowledged: int, data=b"") -> None:
        head = Head(
            self.token,
            self._port,
            self._client.host,
            self._service[1],
            self._service[0],
            self._sequence,
            acknowledged,
            flags,
            data,
        )
        self._client.send(head, vms)

    async def _answer(self, wait_s: float) -> Head | None:
        with anyio.move_on_after(wait_s):
            head = await self._client.receive(self._port)
            self.reset = self.reset or bool(head.flags & RST)
            return head
        return None
