"""Keeps a fault in the handling of one message from ending a VM.

Messages come from clients, peers, endpoints and the directory. If one that
nobody foresaw ended the process, it would end all VMs that get it, and again
after each start.
"""

import abc
import contextlib
from collections.abc import Iterator

from pollenmast.counters import FAULTS_CONTAINED, Counters, FaultPlace
from pollenmast.events import FAULT_CONTAINED, EventLog

MAX_INPUT_CHARS = 200
"""Maximum length of the input in the log."""

MAX_TRACE_CHARS = 2000
"""Maximum length of the trace in the log; its end is kept."""


class FaultBarrier(abc.ABC):
    """Decides what becomes of a fault while one message is handled."""

    @abc.abstractmethod
    def contains(
        self, place: FaultPlace, error: Exception, data: object = ""
    ) -> bool:
        """Handles a fault.

        Args:
            place: What was handled.
            error: The fault.
            data: The message.

        Returns:
            Whether the program goes on; if not, the error is to be raised.
        """

    @contextlib.contextmanager
    def guard(self, place: FaultPlace, data: object = "") -> Iterator[None]:
        """Contains the faults of a block; the rest of it is skipped.

        Args:
            place: What the block handles.
            data: The message.
        """
        try:
            yield
        except Exception as error:
            if not self.contains(place, error, data):
                raise


class OpenBarrier(FaultBarrier):
    """Lets every fault pass, so that tests see it."""

    def contains(
        self, place: FaultPlace, error: Exception, data: object = ""
    ) -> bool:
        """Returns False."""
        return False


class LoggingBarrier(FaultBarrier):
    """Counts and logs faults, and the program goes on."""

    def __init__(self, counters: Counters, log: EventLog):
        self._counters = counters
        self._log = log

    def contains(
        self, place: FaultPlace, error: Exception, data: object = ""
    ) -> bool:
        """Counts and logs a fault with its input and trace."""
        # Imported here because it is hardly ever needed.
        import traceback

        trace = "".join(traceback.format_exception(error))
        self._counters.add(FAULTS_CONTAINED, place)
        self._log.write(
            FAULT_CONTAINED,
            place=place,
            error=ascii(error)[:MAX_INPUT_CHARS],
            input=ascii(data)[:MAX_INPUT_CHARS],
            trace=trace[-MAX_TRACE_CHARS:],
        )
        return True


OPEN_BARRIER = OpenBarrier()
