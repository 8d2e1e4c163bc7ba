"""Detects that the VM was suspended.

A VM can be suspended, or its process stopped, for seconds. It resumes with
outdated state and with queued packets that no client waits for any more. The
event loop's clock does not advance during a suspension; the boot-time clock
does.

The detector checks a few times a second by itself. Code that is about to rely
on possibly outdated state checks first, because on resumption timers and
packets are due at the same moment.
"""

import time
from collections.abc import Callable

import anyio

CHECK_INTERVAL_S = 0.3
"""Seconds between two periodic checks; half of the shortest pause."""

LAG_DECAY = 0.8
"""Factor by which the lag decays from one check to the next: a tenth is left
after three seconds."""

MIN_PAUSE_S = 0.7
"""Gap between two checks, in seconds, from which on it counts as a pause. Next
to busy neighbours a process waits tenths of a second for the processor; clients
retransmit a SYN after 0.2 and 0.6 s."""


def _boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects pauses by the boot-time clock.

    Args:
        clock: Returns a time in seconds that advances during a suspension.
    """

    def __init__(self, clock: Callable[[], float] = _boot_clock):
        self._clock = clock
        self._last = clock()
        self._count = 0
        self._lag_s = 0.0
        self._on_pause: Callable[[float], None] = _ignore_pause

    @property
    def count(self) -> int:
        """The number of pauses detected so far."""
        return self._count

    @property
    def lag_s(self) -> float:
        """How late this VM's timers have recently fired, in seconds.

        A VM whose processor is busy or throttled may treat an answer that is
        still queued in its own socket as missing.
        """
        return self._lag_s

    def notify(self, on_pause: Callable[[float], None]) -> None:
        """Sets the callback that receives the length of a pause in seconds."""
        self._on_pause = on_pause

    def check(self) -> float:
        """Returns the length in seconds of a pause that just ended, or 0."""
        now = self._clock()
        gap = now - self._last
        self._last = now
        if gap < MIN_PAUSE_S:
            return 0.0
        self._count += 1
        self._on_pause(gap)
        return gap

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            self.check()
            due_at = anyio.current_time() + CHECK_INTERVAL_S
            await anyio.sleep(CHECK_INTERVAL_S)
            late_s = anyio.current_time() - due_at
            self._lag_s = max(late_s, LAG_DECAY * self._lag_s)


def _ignore_pause(gap_s: float) -> None:
    pass
