"""Recognises retries of refused attempts and bounds their number.

A refused client comes back from a new port, up to twice. During overload the
retries add to the load, and an overload episode may outlast its cause. So
retries are queued after first attempts, and only a tenth as many of them as of
first attempts are queued at all.
"""

import collections
from collections.abc import Hashable

import attrs

from pollenmast.admission._retry import RetryBudget

MEMORY_S = 2.0
"""How long a refused attempt is remembered, in seconds. Clients have given up
after about this long."""

MAX_REFUSED = 4096
"""Maximum number of remembered attempts; beyond it the oldest is forgotten."""


@attrs.define(eq=False)
class _Refused:
    """A refused attempt.

    Attributes:
        key: The account and the route.
        at: When it was refused.
        retried: Whether a later attempt counted as its retry.
    """

    key: Hashable
    at: float
    retried: bool = False


class Retries:
    """The refused attempts of one service."""

    def __init__(self):
        self._refused: collections.deque[_Refused] = collections.deque()
        self._open: dict[Hashable, collections.deque[_Refused]] = {}
        self._budget = RetryBudget()

    def on_refused(self, caller: str, route: Hashable, now: float) -> None:
        """Remembers a refused attempt."""
        self._expire(now)
        if len(self._refused) >= MAX_REFUSED:
            self._forget_oldest()
        refused = _Refused((caller, route), now)
        self._refused.append(refused)
        self._open.setdefault(refused.key, collections.deque()).append(refused)

    def is_retry(self, caller: str, route: Hashable, now: float) -> bool:
        """Whether a new attempt is a retry of a refused one.

        Each refused attempt explains one retry.
        """
        self._expire(now)
        key = caller, route
        if key not in self._open:
            return False
        self._take_oldest(key).retried = True
        return True

    def on_first_attempt(self) -> None:
        """Adds to the budget of retries."""
        self._budget.on_new_flow()

    def spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        return self._budget.spend()

    def _expire(self, now: float) -> None:
        while self._refused and now - self._refused[0].at > MEMORY_S:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        refused = self._refused.popleft()
        if not refused.retried:
            self._take_oldest(refused.key)

    def _take_oldest(self, key: Hashable) -> _Refused:
        attempts = self._open[key]
        oldest = attempts.popleft()
        if not attempts:
            del self._open[key]
        return oldest
