"""What the kinds of callers share: their plan, and how they ask."""

import json
import random

import attrs

from standins import _reactor, _records


@attrs.frozen
class Plan:
    """What the callers of one program do.

    Attributes:
        name: Unique; request ids begin with it.
        service: The service's name.
        remote: Where the fabric takes datagrams for it.
        local: The callers' IP number.
        count: Sessions, for a program of sessions.
        ramp_s: Time over which sessions open, in seconds.
        rate: Requests a second: of one session, or of all images.
        work_s: Time that a request holds a slot, in seconds.
        size: Bytes of an image.
        deadline_s: Time after which an answer is of no use, in seconds.
        feed_s: Time between two alerts, in seconds; 0 opens no feed.
        lifetime_s: Time after which a caller closes its session and opens
            another, in seconds; 0 keeps it.
        keepalive_s: Time between two keep-alives, in seconds.
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
class Shared:
    """What all callers of one program share."""

    reactor: _reactor.Reactor
    plan: Plan
    rng: random.Random
    results: _records.Results = attrs.field(factory=_records.Results)
    returning: dict[str, _records.RequestRecord] = attrs.field(factory=dict)
    finishing: bool = False
    open_flows: int = 0

    def new_flow(self) -> _records.FlowRecord:
        """Begins the record of a flow."""
        record = _records.FlowRecord(self.plan.service, self.reactor.now)
        self.results.flows.append(record)
        self.open_flows += 1
        return record

    def new_request(self, flow_opened: float) -> _records.RequestRecord:
        """Begins the record of a request."""
        number = len(self.results.requests)
        record = _records.RequestRecord(
            f"{self.plan.name}-{number}",
            self.plan.service,
            self.reactor.now,
            flow_opened,
        )
        self.results.requests.append(record)
        return record

    def told_not_run(self, record: _records.RequestRecord) -> None:
        """Notes that a record's newest attempt was refused."""
        record.refused_attempts.append(record.attempt)
        record.attempt += 1
        self.returning[record.identifier] = record

    def give_up_returning(self) -> None:
        """Ends what was refused and has not come back."""
        for record in self.returning.values():
            record.end(_records.Outcome.REFUSED, self.reactor.now)
        self.returning.clear()

    def line(self, record: _records.RequestRecord, operation: str) -> bytes:
        """Returns the request line of a record's newest attempt."""
        self.returning.pop(record.identifier, None)
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
    """Collects one stream: a JSON line, then the bytes it announces."""

    def __init__(self):
        self._data = bytearray()

    def add(self, data: bytes) -> None:
        """Takes what came."""
        self._data += data

    def outcome(self, service: str, expected: bytes | None) -> _records.Outcome:
        """Judges a stream that has ended."""
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
    def begun(self) -> bool:
        """Whether anything came."""
        return bool(self._data)
