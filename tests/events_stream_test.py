"""Tests of events._stream."""

import os

from testtools import TestCase

from pollenmast.events._stream import MAX_QUEUED_BYTES, BoundedStream

_LINE = b"x" * 999 + b"\n"


class BoundedStreamTest(TestCase):
    """Writing to the log never blocks on its reader."""

    def setUp(self):
        """Creates a pipe."""
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.stream = BoundedStream(self.writer)

    def _close(self, *descriptors: int) -> None:
        for descriptor in descriptors:
            os.close(descriptor)

    def test_reader_does_not_read(self):
        """If nobody reads, lines are dropped and counted, and no write blocks.

        A blocking write would stop the packets of every flow.
        """
        for _ in range(2 * MAX_QUEUED_BYTES // len(_LINE)):
            self.stream.write(_LINE)
            self.stream.flush()
        self.assertGreater(self.stream.lost, 0)
        os.set_blocking(self.reader, False)
        read = b""
        for _ in range(100):
            try:
                read += os.read(self.reader, 1 << 16)
            except BlockingIOError:
                break
            self.stream.flush()
        self.stream.write(_LINE)
        self.stream.flush()
        read += os.read(self.reader, 1 << 16)
        self.assertIn(b"log_lost", read)
        self.assertEqual(0, self.stream.lost)
        self._close(self.reader, self.writer)

    def test_reader_gone(self):
        """If the reader has ended, writes are ignored and raise nothing."""
        self._close(self.reader)
        for _ in range(10):
            self.stream.write(_LINE)
            self.stream.flush()
        self._close(self.writer)

    def test_whole_lines(self):
        """Lines arrive complete and in order."""
        for number in range(5):
            self.stream.write(b"%d\n" % number)
        self.stream.flush()
        self.assertEqual(b"0\n1\n2\n3\n4\n", os.read(self.reader, 99))
        self._close(self.reader, self.writer)
