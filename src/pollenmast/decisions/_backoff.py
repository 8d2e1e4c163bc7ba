"""Computes the retry-after time of refused callers.

In an overload, thousands of callers are refused at the same moment. If they all
got the same retry-after time, they would return together and the overload would
repeat for as long as they retry. If the time were too short, the retries alone
would be a significant load.

The times are random and back off exponentially with a level per service. Each
time is drawn uniformly between the minimum and three times the level. The level
doubles at most once per second while callers are refused, and falls back when
none was refused for some time. There is no state per caller, which attackers
could exhaust with many callers.
"""

import random

MIN_MS = 200
"""Minimum retry-after time, about two requests of usual length.

Requests usually take tens to hundreds of milliseconds.
"""

MAX_MS = 10_000
"""Maximum retry-after time; a person at a packing bench still waits it."""

GROWTH_FACTOR = 2.0
"""Factor by which the level grows per second with refused callers."""

DECAY_HALF_LIFE_S = 1.0
"""Half-life of the level, in seconds, while no caller is refused.

The level starts to fall after one such period without a refusal.
"""


class Backoff:
    """Draws the retry-after times for one service."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._level = float(MIN_MS)
        self._level_changed_at: float | None = None
        self._last_refused_at = 0.0

    def retry_after_ms(self, now: float) -> int:
        """Returns the retry-after time of a caller that is refused now."""
        self._update_level(now)
        self._last_refused_at = now
        return int(self._rng.uniform(MIN_MS, 3.0 * self._level))

    def _update_level(self, now: float) -> None:
        if self._level_changed_at is None:
            self._level_changed_at = now
            return
        calm = now - self._last_refused_at
        if calm >= DECAY_HALF_LIFE_S:
            self._level = max(
                MIN_MS, self._level * 0.5 ** (calm / DECAY_HALF_LIFE_S)
            )
            self._level_changed_at = now
        elif now - self._level_changed_at >= 1.0:
            self._level = min(MAX_MS / 3.0, self._level * GROWTH_FACTOR)
            self._level_changed_at = now
