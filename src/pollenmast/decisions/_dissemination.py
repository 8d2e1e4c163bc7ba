"""Dissemination of updates by piggybacking them on gossip messages.

A fleet of any size learns of a change through messages that are sent anyway.
Without a limit on the number of transmissions, old updates would displace new
ones. Without a byte budget, the cost per node of a burst of updates (a network
partition, a rolling replacement) would grow with the size of the fleet.
"""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

SENDS_PER_LOG = 3
"""Transmissions of one update, as a multiple of log2 of the fleet's size. Each
transmission reaches a practically random member. Three times log2 leaves a
member uninformed in about one of n squared cases (the bound in the SWIM
paper); that member learns of a missed update at its next contact with the VM
concerned."""

MAX_QUEUED = 4096
"""Maximum number of queued updates; further ones are dropped."""

_Item = TypeVar("_Item")


@attrs.define
class _Queued(Generic[_Item]):
    item: _Item
    size: int
    sends_per_log: int
    sends: int = 0


class Dissemination(Generic[_Item]):
    """A queue of updates by key; a newer update replaces an older one."""

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
        """Queues an update.

        Args:
            key: Subject of the update. An update that is queued under the
                same key is replaced.
            item: The update.
            size: Size of the update in a message, in bytes.
            sends_per_log: Transmissions of this update as a multiple of log2
                of the fleet's size, if not the default of the queue.
        """
        self._queue.pop(key, None)
        if len(self._queue) < MAX_QUEUED:
            sends = sends_per_log or self._sends_per_log
            self._queue[key] = _Queued(item, size, sends)

    def pick(self, budget: int, fleet: int) -> tuple[_Item, ...]:
        """Returns the updates for one message, the least transmitted first.

        Args:
            budget: Maximum total size of the updates, in bytes.
            fleet: Number of members of the fleet.
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
    """A token bucket of bytes that refills at a constant rate."""

    def __init__(self, bytes_per_s: float, burst: float, now: float):
        self._rate = bytes_per_s
        self._burst = burst
        self._available = burst
        self._updated_s = now

    def left(self, now: float) -> int:
        """Returns the number of bytes that may be sent now, at least zero."""
        refilled = self._available + (now - self._updated_s) * self._rate
        self._available = min(self._burst, refilled)
        self._updated_s = now
        return max(0, int(self._available))

    def spend(self, amount: int) -> None:
        """Deducts sent bytes; mandatory messages may overdraw the budget."""
        self._available -= amount
