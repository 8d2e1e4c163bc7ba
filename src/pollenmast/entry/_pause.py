"""Notices that the VM stood still.

A VM can be suspended, or its process stopped, for seconds. It wakes with old
beliefs and full of packets that nobody waits for. The runtime's clock does
not count a suspension; the clock since boot does.

The watch looks by itself a few times a second, and whoever is about to rely
on old beliefs looks first: a VM that wakes finds its timers and its packets
due at the same moment.
"""

import time
from collections.abc import Callable

import anyio

TICK_S = 0.3
"""Between two looks of its own; half of the shortest pause."""

LAG_DECAY = 0.8
"""What is left of a lag at the next look: a tenth after three seconds."""

PAUSE_S = 0.7
"""A gap of more is a pause. Beside busy neighbours a process waits tenths of
a second for its turn; clients send a SYN again after 0.2 and 0.6 s."""


def _boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseWatch:
    """Looks at the clock since boot."""

    def __init__(self, clock: Callable[[], float] = _boot_clock):
        self._clock = clock
        self._last = clock()
        self._count = 0
        self._lag_s = 0.0
        self._on_pause: Callable[[float], None] = _nothing

    @property
    def count(self) -> int:
        """Pauses seen so far."""
        return self._count

    @property
    def lag_s(self) -> float:
        """How late this VM's timers have been lately, in seconds.

        A VM whose processor is busy or slowed takes an answer that waits in
        its own socket for one that did not come.
        """
        return self._lag_s

    def notify(self, on_pause: Callable[[float], None]) -> None:
        """Sets what is called with the length of a pause, in seconds."""
        self._on_pause = on_pause

    def look(self) -> float:
        """Returns the length of a pause that has just ended, or 0."""
        now = self._clock()
        gap = now - self._last
        self._last = now
        if gap < PAUSE_S:
            return 0.0
        self._count += 1
        self._on_pause(gap)
        return gap

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            self.look()
            due_at = anyio.current_time() + TICK_S
            await anyio.sleep(TICK_S)
            late_s = anyio.current_time() - due_at
            self._lag_s = max(late_s, LAG_DECAY * self._lag_s)


def _nothing(gap_s: float) -> None:
    pass
