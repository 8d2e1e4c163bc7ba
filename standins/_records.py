"""What a caller records of its flows and requests."""

import enum

import attrs


class Fate(str, enum.Enum):
    """How a flow ended."""

    OPEN = "open"
    CLOSED = "closed"
    """Closed by the caller itself."""

    REFUSED = "refused"
    """Told that it is refused; nothing of it was run."""

    BROKEN = "broken"
    """Ended although the caller did not close it."""

    UNOPENED = "unopened"
    """Never answered at all."""


class Outcome(str, enum.Enum):
    """What a caller knows of one request at its end."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    """Told that it was not run, and the time to try again is over."""

    SHED = "shed"
    """Told by the upstream that it was not run."""

    WRONG = "wrong"
    """Answered by another service than the one asked."""

    CUT = "cut"
    """Part of the answer came."""

    LOST = "lost"
    """No answer in time; whether it ran is unknown."""


@attrs.frozen
class Stall:
    """An alert that came late, or after a long silence.

    Attributes:
        at: When it came.
        silence_s: Time since the alert before it, in seconds.
        lateness_s: Its age when it came, in seconds.
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
        reason: The error code and text it ended with.
        alerts: Alerts received on the feed.
        silence_s: Greatest time between two alerts, in seconds.
        lateness_s: Greatest age of an alert when it came, in seconds.
        stalls: Alerts that came late, the first ones of them.
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
        identifier: Unique over all callers.
        service: The service's name.
        asked: When it was first asked.
        flow_opened: When the flow of the last attempt was opened.
        ended: When its outcome was known, or None.
        outcome: What the caller knows.
        refused_attempts: Attempts of which the caller was told that they
            were not run.
        attempt: The newest attempt, from 0.
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
        """Notes the outcome; the first one stands."""
        if self.outcome is Outcome.PENDING:
            self.outcome = outcome
            self.ended = now


@attrs.define
class Results:
    """All that one callers program recorded."""

    flows: list[FlowRecord] = attrs.field(factory=list)
    requests: list[RequestRecord] = attrs.field(factory=list)

    def to_json(self) -> dict:
        """Returns the records as JSON values."""
        return attrs.asdict(self)


def from_json(value: dict) -> Results:
    """Returns the records that `Results.to_json` gave."""
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
