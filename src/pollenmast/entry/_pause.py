"""Notices that the VM stood still.

A VM can be suspended, or its process stopped, for seconds. It wakes with old
beliefs and full of packets that nobody waits for. The runtime's clock does
not count a suspension; the clock since boot does.
"""

import time
from collections.abc import Callable

import anyio

TICK_S = 0.1

PAUSE_S = 0.6
"""A gap of more is a pause. Beside busy neighbours a process waits tenths of
a second for its turn; clients send a SYN again after 0.2 and 0.6 s."""


def _boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseWatch:
    """Looks at the clock since boot ten times a second."""

    def __init__(self, clock: Callable[[], float] = _boot_clock):
        self._clock = clock
        self._last = clock()
        self._count = 0

    @property
    def count(self) -> int:
        """Pauses seen so far."""
        return self._count

    def look(self) -> float:
        """Returns the length of a pause that has just ended, or 0."""
        now = self._clock()
        gap = now - self._last
        self._last = now
        if gap < PAUSE_S:
            return 0.0
        self._count += 1
        return gap

    async def run(self, on_pause: Callable[[float], None]) -> None:
        """Tells of pauses until cancelled."""
        while True:
            gap = self.look()
            if gap:
                on_pause(gap)
            await anyio.sleep(TICK_S)
