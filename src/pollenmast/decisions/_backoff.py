"""When a refused caller may come back.

Load pattern: thousands are refused within the same moment. Told the same
time they would return together, and the overload would repeat itself for as
long as they ask. Told too short a time, asking alone becomes a load.

Decorrelated jitter, kept per service: each time is drawn between the least
and three times the level, the level follows what was drawn, and it falls
back once nobody was refused for a while. It needs no state per caller, which
a hostile number of callers could fill.
"""

import random

LEAST_MS = 200
"""The least time: two requests of the usual length, tens to hundreds of ms."""

MOST_MS = 10_000
"""The greatest time; a person at a packing bench still waits that long."""

RISE = 2.0
"""Growth of the level for each second in which callers were refused."""

CALM_S = 1.0
"""Without a refusal for so long, the level halves each such time."""


class Backoff:
    """Draws the times for one service."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._level = float(LEAST_MS)
        self._stepped_at: float | None = None
        self._refused_at = 0.0

    def retry_after_ms(self, now: float) -> int:
        """Returns when a caller refused now may come back."""
        self._step(now)
        self._refused_at = now
        return int(self._rng.uniform(LEAST_MS, 3.0 * self._level))

    def _step(self, now: float) -> None:
        if self._stepped_at is None:
            self._stepped_at = now
            return
        calm = now - self._refused_at
        if calm >= CALM_S:
            self._level = max(LEAST_MS, self._level * 0.5 ** (calm / CALM_S))
            self._stepped_at = now
        elif now - self._stepped_at >= 1.0:
            self._level = min(MOST_MS / 3.0, self._level * RISE)
            self._stepped_at = now
