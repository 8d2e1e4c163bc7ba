"""Writes numbered events by eliot, at most so many a second of each kind."""

import time

import eliot

from pollenmast.events._catalogue import Event

BURST = 20
"""Lines of one event written within one second; the rest are counted."""


class EventLog:
    """The log of one program.

    A flood from outside (malformed datagrams, say) must not become a flood
    of log lines, which would take the processor from the flows.
    """

    def __init__(self, program: str, vm: str, clock=time.monotonic):
        self._program = program
        self._vm = vm
        self._clock = clock
        self._windows: dict[int, tuple[int, int]] = {}

    def write(self, event: Event, **fields: object) -> None:
        """Writes one event, unless too many of its kind came this second."""
        second = int(self._clock())
        started, written = self._windows.get(event.number, (second, 0))
        suppressed = 0
        if started != second:
            suppressed = max(0, written - BURST)
            started, written = second, 0
        self._windows[event.number] = (started, written + 1)
        if written >= BURST:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        eliot.log_message(
            message_type=event.name,
            event=event.number,
            program=self._program,
            vm=self._vm,
            **fields,
        )
