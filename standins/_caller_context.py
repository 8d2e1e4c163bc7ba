"""The load plan, shared state and answer parsing of all kinds of callers."""

import json
import random

import attrs

from standins import _reactor, _records


@attrs.frozen
class LoadPlan:
    """The load that the callers of one program generate.

    Attributes:
        name: The program's unique name, used as a prefix of request ids.
        service: The service's name.
        remote: The fabric's address for the service.
        local: The callers' IP address.
        count: Number of sessions, for callers of kind `session`.
        ramp_s: Time over which sessions are opened, in seconds.
        rate: Requests per second: of each session, or of all image callers.
        work_s: Time for which a request holds a slot, in seconds.
        size: Size of an image, in bytes.
        deadline_s: Time after which an answer is useless, in seconds.
        feed_s: Interval of alerts, in seconds; 0 opens no feed.
        lifetime_s: Time after which a caller closes its session and opens
            another, in seconds; 0 keeps the session.
        keepalive_s: Interval of keep-alives, in seconds.
        idle_s: Idle time-out of a connection, in seconds.
    """

    name: str
    service: str
    remote: _reactor.Address
    local: str
    count: int = 1
    ramp_s: float = 1.0
    rate: float = 1.0
    work_s: float = 0.01
    size: int = 20_000
    deadline_s: float = 10.0
    feed_s: float = 1.0
    lifetime_s: float = 0.0
    keepalive_s: float = 2.0
    idle_s: float = 15.0


@attrs.define
class CallerContext:
    """State shared by all callers of one program.

    Attributes:
        reactor: The reactor that runs the callers.
        plan: The load to generate.
        rng: The source of randomness.
        results: The records of flows and requests.
        awaiting_retry: Refused requests that wait for a retry, by id.
        finishing: Whether no more requests are to be made.
        open_flows: Number of open flows.
    """

    reactor: _reactor.Reactor
    plan: LoadPlan
    rng: random.Random
    results: _records.Results = attrs.field(factory=_records.Results)
    awaiting_retry: dict[str, _records.RequestRecord] = attrs.field(
        factory=dict
    )
    finishing: bool = False
    open_flows: int = 0

    def new_flow(self) -> _records.FlowRecord:
        """Adds the record of a new flow."""
        record = _records.FlowRecord(self.plan.service, self.reactor.now)
        self.results.flows.append(record)
        self.open_flows += 1
        return record

    def new_request(self, flow_opened: float) -> _records.RequestRecord:
        """Adds the record of a new request."""
        number = len(self.results.requests)
        record = _records.RequestRecord(
            f"{self.plan.name}-{number}",
            self.plan.service,
            self.reactor.now,
            flow_opened,
        )
        self.results.requests.append(record)
        return record

    def record_refusal(self, record: _records.RequestRecord) -> None:
        """Records that the latest attempt was refused without being run."""
        record.refused_attempts.append(record.attempt)
        record.attempt += 1
        self.awaiting_retry[record.identifier] = record

    def end_unretried(self) -> None:
        """Ends refused requests that have not been retried."""
        for record in self.awaiting_retry.values():
            record.end(_records.Outcome.REFUSED, self.reactor.now)
        self.awaiting_retry.clear()

    def line(self, record: _records.RequestRecord, operation: str) -> bytes:
        """Returns the request line of the latest attempt."""
        self.awaiting_retry.pop(record.identifier, None)
        left_s = record.asked + self.plan.deadline_s - self.reactor.now
        request = {
            "id": record.identifier,
            "attempt": record.attempt,
            "op": operation,
            "service": self.plan.service,
            "size": self.plan.size,
            "work_s": self.plan.work_s,
            "deadline_s": left_s,
        }
        return json.dumps(request).encode()


class Answer:
    """Collects an answer: a JSON line, followed by the body."""

    def __init__(self):
        self._data = bytearray()

    def add(self, data: bytes) -> None:
        """Adds received data."""
        self._data += data

    def outcome(self, service: str, expected: bytes | None) -> _records.Outcome:
        """Returns the outcome of a stream that has ended.

        Args:
            service: Name of the requested service.
            expected: The expected body; None accepts any.
        """
        head, newline, body = bytes(self._data).partition(b"\n")
        if not newline:
            return _records.Outcome.CUT
        answer = json.loads(head)
        match answer["status"]:
            case "shed":
                return _records.Outcome.SHED
            case "wrong":
                return _records.Outcome.WRONG
        if answer.get("service") != service:
            return _records.Outcome.WRONG
        if expected is not None and body != expected:
            return _records.Outcome.CUT
        return _records.Outcome.ANSWERED

    @property
    def has_data(self) -> bool:
        """Whether any data was received."""
        return bool(self._data)
