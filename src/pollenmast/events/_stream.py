"""A stream for log lines that never makes its writer wait.

Whoever reads a program's output may be slow, stuck or gone. A blocking write
would then stop the packets of every flow, with nothing in the log to say so.
Lines that do not fit are counted, and the count is written when there is room.
"""

import collections
import io
import json
import os

MOST_QUEUED_BYTES = 256 * 1024
"""Log kept for a slow reader: about 1,000 lines, some seconds of the greatest
rate at which events are written."""


class BoundedStream(io.RawIOBase):
    """Writes whole lines to a descriptor, without waiting."""

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued = 0
        self._lost = 0
        self._closed = False

    @property
    def lost(self) -> int:
        """Lines that did not fit and are not yet told of."""
        return self._lost

    def writable(self) -> bool:
        """Whether lines are taken; they always are."""
        return True

    def write(self, data: bytes) -> int:
        """Queues one line; a line too many is counted instead."""
        size = len(data)
        if self._closed or self._queued + len(data) > MOST_QUEUED_BYTES:
            self._lost += 1
            return size
        if self._lost:
            data = self._notice() + data
        self._queue.append(data)
        self._queued += len(data)
        return size

    def flush(self) -> None:
        """Writes what the reader takes now; the rest stays queued."""
        while self._queue and not self._closed:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good: there is nobody left to tell.
                self._closed = True
                self._queue.clear()
                self._queued = 0
                return
            self._queued -= written
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()

    def _notice(self) -> bytes:
        lost, self._lost = self._lost, 0
        notice = {"message_type": "log_lost", "lines": lost}
        return json.dumps(notice).encode() + b"\n"
