"""Which news rides on the next message, and when it has ridden enough.

The pattern: a fleet of any size learns of a change by messages that go out
anyway. Without a bound on sends, old news would crowd out new; without a
byte budget, a burst of news (a cut, a rolling replacement) would cost each
node more the larger the fleet is.
"""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

SENDS_PER_LOG = 3
"""Sends of one piece of news, times log2 of the fleet. Each send reaches a
member picked as good as at random; three times log2 leaves a member
uninformed about once in n squared cases (the SWIM paper's bound), and what is
missed comes with the next contact of the VM itself."""

MOST_QUEUED = 4096
"""Pieces of news kept at the most."""

_Item = TypeVar("_Item")


@attrs.define
class _Queued(Generic[_Item]):
    item: _Item
    size: int
    sends_per_log: int
    sends: int = 0


class Dissemination(Generic[_Item]):
    """News by key; the newest under a key replaces the one before it."""

    def __init__(self, sends_per_log: int = SENDS_PER_LOG):
        self._sends_per_log = sends_per_log
        self._queue: dict[Hashable, _Queued[_Item]] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(
        self,
        key: Hashable,
        item: _Item,
        size: int,
        sends_per_log: int | None = None,
    ) -> None:
        """Queues news.

        Args:
            key: What the news is about; newer news replaces it.
            item: The news.
            size: Bytes that it takes in a message.
            sends_per_log: Sends of this one, if not the usual ones.
        """
        self._queue.pop(key, None)
        if len(self._queue) < MOST_QUEUED:
            sends = sends_per_log or self._sends_per_log
            self._queue[key] = _Queued(item, size, sends)

    def pick(self, budget: int, fleet: int) -> tuple[_Item, ...]:
        """Returns news for one message, the least sent first.

        Args:
            budget: Bytes that the news may take.
            fleet: Members of the fleet.
        """
        logarithm = max(1, math.ceil(math.log2(fleet + 1)))
        picked = []
        by_sends = sorted(self._queue.items(), key=lambda pair: pair[1].sends)
        for key, queued in by_sends:
            if queued.size > budget:
                continue
            budget -= queued.size
            picked.append(queued.item)
            queued.sends += 1
            if queued.sends >= queued.sends_per_log * logarithm:
                del self._queue[key]
        return tuple(picked)


class ByteBudget:
    """How many bytes may be sent now, at a constant rate."""

    def __init__(self, bytes_per_s: float, burst: float, now: float):
        self._rate = bytes_per_s
        self._burst = burst
        self._left = burst
        self._at = now

    def left(self, now: float) -> int:
        """Returns the bytes that may be sent now, never below zero."""
        grown = self._left + (now - self._at) * self._rate
        self._left = min(self._burst, grown)
        self._at = now
        return max(0, int(self._left))

    def spend(self, amount: int) -> None:
        """Notes bytes as sent; what must be sent may overdraw."""
        self._left -= amount
