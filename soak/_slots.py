"""Slots of an endpoint, with a queue of limited length."""

SLOTS = 2
MAX_QUEUED = 8
"""Requests that an endpoint processes at once, and that it queues beyond."""

MEAN_WORK_S = 0.03
"""Mean of the exponentially distributed time that a request occupies a slot."""


class Slots:
    """Assigns slots in order of arrival; times are in seconds."""

    def __init__(self):
        self._ends: list[float] = []
        self._full: list[tuple[float, float]] = []

    def offer(self, now: float, work_s: float) -> float | None:
        """Accepts a request; returns when it ends, None if the queue is full.

        Args:
            now: The time of arrival.
            work_s: How long the request occupies its slot.
        """
        self._ends = sorted(end for end in self._ends if end > now)
        if len(self._ends) >= SLOTS + MAX_QUEUED:
            return None
        is_free = len(self._ends) < SLOTS
        end = (now if is_free else self._ends[-SLOTS]) + work_s
        self._ends = sorted([*self._ends, end])
        if len(self._ends) >= SLOTS:
            self._full.append((now, self._ends[-SLOTS]))
        return end

    def is_full(self, at: float) -> bool:
        """Returns whether no slot was free at a point in time."""
        return any(start <= at < end for start, end in self._full)

    def filled_at(self, since: float, until: float) -> list[float]:
        """Returns when the slots became full within an interval."""
        return [start for start, _ in self._full if since <= start <= until]
