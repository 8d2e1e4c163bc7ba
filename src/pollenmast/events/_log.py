"""Writes numbered events, rate-limited per event."""

import time
from collections.abc import Callable

import attrs

from pollenmast.events._catalogue import SUPPRESSED, Event
from pollenmast.events._sinks import EliotSink, Sink


@attrs.define
class _Window:
    """Counts of one event within one second of the clock.

    Attributes:
        second: The second, as a whole number of the clock.
        written: Lines written.
        suppressed: Lines not written because the limit was reached.
    """

    second: int
    written: int = 0
    suppressed: int = 0


class EventLog:
    """The log of one program.

    Each event has a limit of lines per second. Without one, a flood of, for
    example, malformed datagrams would become a flood of log lines and take
    processor time from the flows.
    """

    def __init__(
        self,
        program: str,
        vm: str,
        clock: Callable[[], float] = time.monotonic,
        sink: Sink | None = None,
    ):
        """Creates a log.

        Args:
            program: The program's name, part of every line.
            vm: The VM's name, part of every line.
            clock: Returns the time in seconds for the rate limit.
            sink: Where the lines go; eliot's destinations by default.
        """
        self._sink = EliotSink() if sink is None else sink
        self._program = program
        self._vm = vm
        self._clock = clock
        self._windows: dict[Event, _Window] = {}

    def write(self, event: Event, **fields: object) -> None:
        """Writes one event, or counts it if it has reached its limit."""
        second = int(self._clock())
        window = self._windows.setdefault(event, _Window(second))
        if window.second != second:
            self._report_suppressed(event, window)
            window = self._windows[event] = _Window(second)
        if window.written >= event.burst:
            window.suppressed += 1
            return
        window.written += 1
        self._write_line(event, fields)

    def flush(self) -> None:
        """Logs how many lines were suppressed; to be called before the exit."""
        for event, window in self._windows.items():
            self._report_suppressed(event, window)
            window.suppressed = 0

    def _report_suppressed(self, event: Event, window: _Window) -> None:
        if window.suppressed:
            fields = {"of": event.number, "lines": window.suppressed}
            self._write_line(SUPPRESSED, fields)

    def _write_line(self, event: Event, fields: dict[str, object]) -> None:
        common = {
            "message_type": event.name,
            "event": event.number,
            "program": self._program,
            "vm": self._vm,
        }
        self._sink.put({**common, **fields})
