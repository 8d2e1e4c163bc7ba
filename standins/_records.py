"""Records that callers keep of their flows and requests."""

import enum

import attrs


class Fate(str, enum.Enum):
    """How a flow ended."""

    OPEN = "open"
    CLOSED = "closed"
    """Closed by the caller itself."""

    REFUSED = "refused"
    """Refused by the peer; nothing of it was run."""

    BROKEN = "broken"
    """Ended without being closed by the caller."""

    UNOPENED = "unopened"
    """Never answered."""


class Outcome(str, enum.Enum):
    """The outcome of a request as its caller sees it."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    """Refused without being run, with no time left to retry."""

    SHED = "shed"
    """Rejected by the upstream without being run."""

    WRONG = "wrong"
    """Answered by a service other than the requested one."""

    CUT = "cut"
    """Only part of the answer was received."""

    LOST = "lost"
    """Not answered in time; whether it ran is unknown."""


@attrs.frozen
class Stall:
    """An alert that came late, or after a long silence.

    Attributes:
        at: Time of arrival.
        silence_s: Time since the previous alert, in seconds.
        lateness_s: Age of the alert on arrival, in seconds.
    """

    at: float
    silence_s: float
    lateness_s: float


@attrs.define
class FlowRecord:
    """One flow, from its first packet to its end.

    Attributes:
        service: The service's name.
        opened: Time of the first packet, on the machine's monotonic clock.
        connected: Time at which the handshake was complete, or None.
        ended: Time of the end, or None.
        fate: How it ended.
        reason: The error code and text with which it ended.
        alerts: Alerts received on the feed.
        silence_s: Longest time between two alerts, in seconds.
        lateness_s: Greatest age of an alert on arrival, in seconds.
        stalls: The first of the late alerts.
        port: The caller's UDP port.
    """

    service: str
    opened: float
    connected: float | None = None
    ended: float | None = None
    fate: Fate = Fate.OPEN
    reason: str = ""
    alerts: int = 0
    silence_s: float = 0.0
    lateness_s: float = 0.0
    stalls: list[Stall] = attrs.field(factory=list)
    port: int = 0


@attrs.define
class RequestRecord:
    """One request, through all of its attempts.

    Attributes:
        identifier: The request id, unique among all callers.
        service: The service's name.
        asked: Time of the first attempt.
        flow_opened: Time at which the flow of the last attempt was opened.
        ended: Time at which the outcome was known, or None.
        outcome: The outcome as the caller sees it.
        refused_attempts: Attempts that were refused as not run.
        attempt: Number of the latest attempt, from 0.
    """

    identifier: str
    service: str
    asked: float
    flow_opened: float = 0.0
    ended: float | None = None
    outcome: Outcome = Outcome.PENDING
    refused_attempts: list[int] = attrs.field(factory=list)
    attempt: int = 0

    def end(self, outcome: Outcome, now: float) -> None:
        """Records the outcome, unless there is one already."""
        if self.outcome is Outcome.PENDING:
            self.outcome = outcome
            self.ended = now


@attrs.define
class Results:
    """All records of one callers program."""

    flows: list[FlowRecord] = attrs.field(factory=list)
    requests: list[RequestRecord] = attrs.field(factory=list)

    def to_json(self) -> dict:
        """Returns the records as JSON values."""
        return attrs.asdict(self)


def from_json(value: dict) -> Results:
    """Returns the records from the value of `Results.to_json`."""
    results = Results()
    for flow in value["flows"]:
        fate = Fate(flow["fate"])
        stalls = [Stall(**stall) for stall in flow["stalls"]]
        results.flows.append(
            FlowRecord(**(flow | {"fate": fate, "stalls": stalls}))
        )
    for request in value["requests"]:
        outcome = Outcome(request["outcome"])
        results.requests.append(
            RequestRecord(**(request | {"outcome": outcome}))
        )
    return results
