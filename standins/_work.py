"""Request handling of one upstream: running, answering, feeds and counters."""

import collections
import enum
import hashlib
import json

import attrs
from aioquic.quic import events

from standins import _listener, _reactor, _slots

COLD_START_FACTOR = 3.0
"""Factor on the duration of work while an endpoint is newly started."""

SLOW_FACTOR = 10.0
MAX_REQUEST_BYTES = 4_096
DRAIN_NOTICE_S = 3.0
"""Time after the start of a drain for which new connections may still come.

In seconds. From then on a leaving upstream must get no new work.
"""


class Fault(str, enum.Enum):
    """A fault that the endpoint simulates."""

    OK = "ok"
    SLOW = "slow"
    LYING = "lying"
    """Reports that it is idle, whatever its load."""

    FROZEN_REPORT = "frozen_report"
    SILENT = "silent"
    """Reads datagrams and answers none, but still reports its load."""

    DEAD = "dead"


@attrs.define
class Counters:
    """Counters of one endpoint since its start.

    Attributes:
        executions: How often each attempt (`id`, `attempt`) was run.
        wrong_service: Requests that named another service.
        cut: Requests whose connection ended before the answer was sent.
        shed: Requests rejected without being run.
        late_connections: Connections opened well after a drain began.
    """

    executions: collections.Counter = attrs.field(factory=collections.Counter)
    wrong_service: int = 0
    cut: int = 0
    shed: int = 0
    late_connections: int = 0


def image(identifier: str, size: int) -> bytes:
    """Returns the image that belongs to a request id."""
    seed = hashlib.blake2b(identifier.encode(), digest_size=32).digest()
    return (seed * (size // len(seed) + 1))[:size]


class Endpoint(_listener.SessionFactory):
    """State shared by all connections of one endpoint."""

    def __init__(
        self,
        reactor: _reactor.Reactor,
        service: str,
        slots: _slots.Slots,
        cold_s: float,
        started: float,
    ):
        self.reactor = reactor
        self.service = service
        self.slots = slots
        self.tally = Counters()
        self.fault = Fault.OK
        self.draining_since: float | None = None
        self._cold_until = started + cold_s
        self._sessions: dict[int, WorkSession] = {}

    def open(self) -> "WorkSession":
        """Returns the session that serves a new connection."""
        since = self.draining_since
        if since is not None:
            late = self.reactor.now - since > DRAIN_NOTICE_S
            self.tally.late_connections += late
        session = WorkSession(self)
        self._sessions[id(session)] = session
        return session

    def close(self, session: "WorkSession") -> None:
        """Removes a connection that has ended."""
        self._sessions.pop(id(session), None)

    def work_s(self, asked_s: float) -> float:
        """Returns the current duration of work, in seconds.

        Args:
            asked_s: The duration that the request asked for, in seconds.
        """
        if self.fault is Fault.SLOW:
            return asked_s * SLOW_FACTOR
        if self.reactor.now < self._cold_until:
            return asked_s * COLD_START_FACTOR
        return asked_s

    def start(self, job: _slots.Job) -> None:
        """Counts a job as run and schedules its end."""
        session_id, stream = job.key
        session = self._sessions.get(session_id)
        if session is not None:
            session.count(stream)
        until = self.reactor.now + self.work_s(job.work_s)
        self.reactor.at(until, lambda: self._finish(job))

    def _finish(self, job: _slots.Job) -> None:
        self._answer(job, "done")
        following, late = self.slots.finish(job.key, self.reactor.now)
        for expired in late:
            self._answer(expired, "shed")
        if following is not None:
            self.start(following)

    def _answer(self, job: _slots.Job, status: str) -> None:
        session_id, stream = job.key
        session = self._sessions.get(session_id)
        if session is not None:
            session.answer(stream, status)


class WorkSession(_listener.Session):
    """One caller's connection: its request streams and its feed."""

    def __init__(self, endpoint: Endpoint):
        self._endpoint = endpoint
        self._buffers: dict[int, bytearray] = {}
        self._open_requests: dict[int, dict] = {}
        self._closed = False

    def on_event(self, event: events.QuicEvent) -> None:
        """Takes one event of the connection."""
        if isinstance(event, events.StreamDataReceived):
            self._read(event)
        elif isinstance(event, events.StreamReset | events.StopSendingReceived):
            self._cancel(event.stream_id)
        elif isinstance(event, events.ConnectionTerminated):
            self._on_terminated()

    def count(self, stream: int) -> None:
        """Counts the request on this stream as run."""
        request = self._open_requests[stream]
        attempt = f"{request['id']}#{request.get('attempt', 0)}"
        self._endpoint.tally.executions[attempt] += 1

    def answer(self, stream: int, status: str) -> None:
        """Sends the final answer of this stream's request."""
        request = self._open_requests.pop(stream, None)
        if request is None or self._closed:
            return
        answer = {
            "id": request["id"],
            "status": status,
            "service": self._endpoint.service,
        }
        body = b""
        if status == "shed":
            self._endpoint.tally.shed += 1
        elif request["op"] == "image":
            body = image(request["id"], int(request["size"]))
            digest = hashlib.blake2b(body, digest_size=16).hexdigest()
            answer.update(size=len(body), digest=digest)
        self._send(stream, answer, body)

    def _send(self, stream: int, answer: dict, body: bytes = b"") -> None:
        data = json.dumps(answer).encode() + b"\n" + body
        self.link.quic.send_stream_data(stream, data, end_stream=True)
        self.link.schedule_send()

    def _read(self, event: events.StreamDataReceived) -> None:
        buffer = self._buffers.setdefault(event.stream_id, bytearray())
        buffer += event.data
        if len(buffer) > MAX_REQUEST_BYTES:
            self.link.close(1, "request too long")
            return
        if event.end_stream:
            del self._buffers[event.stream_id]
            self._handle_request(event.stream_id, json.loads(buffer))

    def _handle_request(self, stream: int, request: dict) -> None:
        endpoint = self._endpoint
        if request["service"] != endpoint.service:
            endpoint.tally.wrong_service += 1
            self._send(stream, {"id": request["id"], "status": "wrong"})
            return
        self._open_requests[stream] = request
        if request["op"] == "feed":
            self._send_alert(stream, 1, float(request["interval_s"]))
            return
        now = endpoint.reactor.now
        job = _slots.Job(
            (id(self), stream),
            float(request["work_s"]),
            now + float(request["deadline_s"]),
        )
        verdict = endpoint.slots.offer(job)
        if verdict is _slots.Verdict.RUN:
            endpoint.start(job)
        elif verdict is _slots.Verdict.SHED:
            self.answer(stream, "shed")

    def _send_alert(self, stream: int, number: int, interval_s: float) -> None:
        if self._closed or stream not in self._open_requests:
            return
        now = self._endpoint.reactor.now
        line = json.dumps({"n": number, "at": now}).encode() + b"\n"
        self.link.quic.send_stream_data(stream, line)
        self.link.schedule_send()
        self._endpoint.reactor.at(
            now + interval_s,
            lambda: self._send_alert(stream, number + 1, interval_s),
        )

    def _cancel(self, stream: int) -> None:
        if self._endpoint.slots.cancel((id(self), stream)):
            self._open_requests.pop(stream, None)

    def _on_terminated(self) -> None:
        self._closed = True
        for stream, request in list(self._open_requests.items()):
            if request["op"] != "feed":
                self._endpoint.tally.cut += 1
                self._endpoint.slots.cancel((id(self), stream))
        self._endpoint.close(self)
