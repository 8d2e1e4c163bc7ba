"""Schedules when endpoints' health has to be evaluated.

There are hundreds of endpoints, of which a VM's clients use a few at a time.
Evaluating every endpoint on every tick would cost a VM more time for idle
endpoints than for packets, and the more so the larger the fleet. The list
therefore holds only the endpoints that wait for traffic or for a health check.
"""

import math
from collections.abc import Callable, Container

from pollenmast.steering._record import Presence, Record


class Watchlist:
    """The endpoints that wait for traffic or for a health check."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._next_at = math.inf
        self._on_schedule: Callable[[], None] = _do_nothing

    def set_on_schedule(self, on_schedule: Callable[[], None]) -> None:
        """Sets a callback for when the next evaluation moves forward.

        Args:
            on_schedule: Called when an evaluation is due earlier than the last
                result of `next_at`.
        """
        self._on_schedule = on_schedule

    def add(self, record: Record) -> None:
        """Adds an endpoint if its health has to be evaluated later."""
        at = record.health.next_due_at
        if at == math.inf:
            return
        self._records[record.endpoint.name] = record
        if at < self._next_at:
            self._next_at = at
            self._on_schedule()

    def evaluate(self, now: float) -> list[Record]:
        """Evaluates all endpoints on the list; returns those to check now."""
        due = []
        for name, record in list(self._records.items()):
            record.health.evaluate(now)
            gone = record.presence is Presence.GONE
            if gone or record.health.next_due_at == math.inf:
                del self._records[name]
            elif record.health.due(now):
                due.append(record)
        return due

    def next_at(self, in_progress: Container[str]) -> float:
        """Returns the time of the next evaluation, infinity if none is due.

        Args:
            in_progress: Names of endpoints with a health check in progress,
                whose result triggers the next evaluation.
        """
        times = (
            record.health.next_due_at
            for name, record in self._records.items()
            if name not in in_progress
        )
        self._next_at = min(times, default=math.inf)
        return self._next_at


def _do_nothing() -> None:
    pass
