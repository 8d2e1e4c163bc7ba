"""The latest decisions, kept so that an operator can query the reasons."""

import collections

import attrs

MAX_DECISIONS = 4096
"""Number of decisions kept.

At 41 new flows per second they cover more than a minute and a half and take
1 MB, as measured in a trial.
"""

MAX_LINES = 50
"""Limit on the decisions in one explanation."""


@attrs.frozen
class Decision:
    """One decision about a flow.

    Attributes:
        at: The runtime's clock, in seconds.
        caller: The caller's IP address and port.
        service: The service's name.
        endpoint: The endpoint's name, empty where none was chosen.
        text: The decision and its reason.
    """

    at: float
    caller: tuple[str, int]
    service: str
    endpoint: str
    text: str


class History:
    """A bounded log of decisions."""

    def __init__(self):
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=MAX_DECISIONS
        )

    def add(self, decision: Decision) -> None:
        """Adds a decision; the oldest is evicted when the log is full."""
        self._decisions.append(decision)

    def explain(self, subject: str, now: float) -> tuple[str, ...]:
        """Returns the latest decisions about a subject, newest first.

        Args:
            subject: IP:PORT, IP, SERVICE/ENDPOINT, SERVICE, or empty for all.
            now: The runtime's clock, in seconds.
        """
        found = [
            _line(decision, now)
            for decision in reversed(self._decisions)
            if not subject or subject in _subjects(decision)
        ]
        return tuple(found[:MAX_LINES])


def _subjects(decision: Decision) -> tuple[str, ...]:
    ip, port = decision.caller
    return (
        ip,
        f"{ip}:{port}",
        decision.service,
        f"{decision.service}/{decision.endpoint}",
    )


def _line(decision: Decision, now: float) -> str:
    ip, port = decision.caller
    where = decision.service
    if decision.endpoint:
        where += f"/{decision.endpoint}"
    age = now - decision.at
    return f"{age:.1f} s ago {ip}:{port} {where}: {decision.text}"
