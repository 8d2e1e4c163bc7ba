"""Event counter over a sliding window."""

import collections

BUCKET_S = 0.25


class Meter:
    """Counts events in a sliding window, in buckets of `BUCKET_S` seconds."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()

    def add(self, now: float) -> None:
        """Counts one event."""
        bucket = int(now / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1] = (bucket, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((bucket, 1))

    def count(self, now: float) -> int:
        """Returns the number of events within the window."""
        oldest = int((now - self._window_s) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        return sum(count for _, count in self._buckets)
