"""Which endpoints need a look at their health, and when.

Load pattern: hundreds of endpoints, of which a VM's clients use a few at a
time. A VM that looked at every endpoint on every tick would spend more on
idle ones than on packets, and the more the larger the fleet is.
"""

import math
from collections.abc import Callable, Container

from pollenmast.steering._record import Presence, Record


class Watchlist:
    """The endpoints that wait for a sign of life or for a check."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._next_at = math.inf
        self._on_earlier: Callable[[], None] = _nothing

    def notify(self, on_earlier: Callable[[], None]) -> None:
        """Sets what is called when a look is due earlier than told."""
        self._on_earlier = on_earlier

    def add(self, record: Record) -> None:
        """Takes in an endpoint of which something is expected."""
        at = record.health.look_at
        if at == math.inf:
            return
        self._records[record.endpoint.name] = record
        if at < self._next_at:
            self._next_at = at
            self._on_earlier()

    def look(self, now: float) -> list[Record]:
        """Looks at each of them; returns those to be checked now."""
        due = []
        for name, record in list(self._records.items()):
            record.health.look(now)
            gone = record.presence is Presence.GONE
            if gone or record.health.look_at == math.inf:
                del self._records[name]
            elif record.health.due(now):
                due.append(record)
        return due

    def next_at(self, under_way: Container[str]) -> float:
        """Returns when to look next, infinite while nothing is expected.

        Args:
            under_way: Names of endpoints whose check will be heard of.
        """
        times = (
            record.health.look_at
            for name, record in self._records.items()
            if name not in under_way
        )
        self._next_at = min(times, default=math.inf)
        return self._next_at


def _nothing() -> None:
    pass
