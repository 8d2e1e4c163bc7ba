"""A non-blocking stream for log lines with a bounded queue.

The process that reads the log may be slow, stuck or gone. A blocking write
would then stop the packets of every flow, and the log could not show why.
Lines that do not fit into the queue are dropped and counted; the count is
written when there is room again.
"""

import collections
import io
import json
import os

MAX_QUEUED_BYTES = 256 * 1024
"""Maximum bytes queued for a slow reader.

About 1,000 lines, which is a few seconds of events at their maximum rate."""


class BoundedStream(io.RawIOBase):
    """Writes whole lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued = 0
        self._lost = 0
        self._closed = False

    @property
    def lost(self) -> int:
        """Lines dropped since the last notice in the log."""
        return self._lost

    def writable(self) -> bool:
        """Returns True, as `io.RawIOBase` requires of a writable stream."""
        return True

    def write(self, data: bytes) -> int:
        """Queues one line, or drops and counts it if the queue is full."""
        size = len(data)
        if self._closed or self._queued + len(data) > MAX_QUEUED_BYTES:
            self._lost += 1
            return size
        if self._lost:
            data = self._take_notice() + data
        self._queue.append(data)
        self._queued += len(data)
        return size

    def flush(self) -> None:
        """Writes what the descriptor accepts now; the rest stays queued."""
        while self._queue and not self._closed:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so nobody would see a notice: later lines
                # are dropped without one.
                self._closed = True
                self._queue.clear()
                self._queued = 0
                return
            self._queued -= written
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()

    def _take_notice(self) -> bytes:
        lost, self._lost = self._lost, 0
        notice = {"message_type": "log_lost", "lines": lost}
        return json.dumps(notice).encode() + b"\n"
