"""Recognises retries of refused attempts and bounds their number.

A refused client comes back from a new port, up to twice. During overload the
retries add to the load, and an overload episode may outlast its cause. So
retries are queued after first attempts, and only a tenth as many of them as of
first attempts are queued at all.
"""

import collections
from collections.abc import Hashable

from pollenmast.admission._retry import RetryBudget

MEMORY_S = 2.0
"""How long a refused attempt is remembered, in seconds. Clients have given up
after about this long."""

MAX_REFUSED = 4096
"""Maximum number of remembered attempts; beyond it the oldest is forgotten."""


class Retries:
    """The refused attempts of one service."""

    def __init__(self):
        self._refused: collections.deque[tuple[float, Hashable]] = (
            collections.deque()
        )
        self._counts: collections.Counter[Hashable] = collections.Counter()
        self._budget = RetryBudget()

    def on_refused(self, caller: str, route: Hashable, now: float) -> None:
        """Remembers a refused attempt."""
        self._expire(now)
        if len(self._refused) >= MAX_REFUSED:
            self._forget_oldest()
        self._refused.append((now, (caller, route)))
        self._counts[caller, route] += 1

    def is_retry(self, caller: str, route: Hashable, now: float) -> bool:
        """Whether a new attempt is a retry of a refused one.

        Each refused attempt explains one retry.
        """
        self._expire(now)
        key = caller, route
        if self._counts[key] <= 0:
            del self._counts[key]
            return False
        self._counts[key] -= 1
        return True

    def on_first_attempt(self) -> None:
        """Adds to the budget of retries."""
        self._budget.on_new_flow()

    def spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        return self._budget.spend()

    def _expire(self, now: float) -> None:
        while self._refused and now - self._refused[0][0] > MEMORY_S:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, key = self._refused.popleft()
        self._counts[key] -= 1
        if self._counts[key] <= 0:
            del self._counts[key]
