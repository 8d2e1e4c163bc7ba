"""Where log lines go."""

import abc
import json
import time
from collections.abc import Callable
from typing import IO

Fields = dict[str, object]


class Sink(abc.ABC):
    """Takes the fields of one line."""

    @abc.abstractmethod
    def put(self, fields: Fields) -> None:
        """Writes one line."""


class EliotSink(Sink):
    """Eliot's destinations."""

    def __init__(self):
        # Imported only where it is used: see JsonSink.
        import eliot

        self._log_message = eliot.log_message

    def put(self, fields: Fields) -> None:
        """Writes one line."""
        self._log_message(**fields)


class JsonSink(Sink):
    """One JSON object a line, as eliot writes it but for its task's ids.

    Eliot and what it imports take 59 of the 254 ms that the program of a VM
    takes to load, and 3 of its 20 MB (python -X importtime; VmHWM). After a
    loss of power that time is missing to every client of the VM.
    """

    def __init__(self, stream: IO, clock: Callable[[], float] = time.time):
        self._stream = stream
        self._clock = clock

    def put(self, fields: Fields) -> None:
        """Writes one line."""
        line = json.dumps({"timestamp": self._clock(), **fields}, default=str)
        self._stream.write(line.encode() + b"\n")
        self._stream.flush()


_streams: list[IO] = []


def write_to(stream: IO) -> None:
    """Sends eliot's lines of this process to a stream.

    A second call for the same stream does nothing.
    """
    import eliot

    if stream not in _streams:
        _streams.append(stream)
        eliot.to_file(stream)
