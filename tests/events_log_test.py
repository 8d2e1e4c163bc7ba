"""Tests of events._log."""

import io
import json

import eliot
from testtools import TestCase

from pollenmast.counters import ResetReason
from pollenmast.events import STARTED, STOPPED, SUPPRESSED, EventLog, JsonSink
from pollenmast.events._catalogue import DEFAULT_BURST


class EventLogTest(TestCase):
    """The log limits the lines per second of each event."""

    def setUp(self):
        """Collects the lines that are written.

        Eliot passes to its first destination all lines written before, also
        those of other tests in the same process; they are cleared.
        """
        super().setUp()
        self.lines: list[dict[str, object]] = []
        eliot.add_destinations(self.lines.append)
        self.lines.clear()
        self.addCleanup(eliot.remove_destination, self.lines.append)
        self.now = 10.0
        self.log = EventLog("relay", "relay-1", lambda: self.now)

    def written(self, event) -> list[dict[str, object]]:
        """Returns the lines of one event."""
        return [line for line in self.lines if line["event"] == event.number]

    def test_fields(self):
        """A line contains event, program, VM and the given fields."""
        self.log.write(STARTED, port=7001)
        line = self.written(STARTED)[0]
        self.assertEqual(
            ("started", 101, "relay", "relay-1", 7001),
            tuple(
                line[key]
                for key in ("message_type", "event", "program", "vm", "port")
            ),
        )

    def test_limit(self):
        """Lines over the limit are suppressed, and counted in a later line.

        Without a limit, a client that causes thousands of events would use up
        the processor time.
        """
        for _ in range(1000):
            self.log.write(STARTED)
        self.assertEqual(DEFAULT_BURST, len(self.written(STARTED)))
        self.now += 1
        self.log.write(STARTED)
        suppressed = self.written(SUPPRESSED)
        self.assertEqual(
            [(STARTED.number, 1000 - DEFAULT_BURST)],
            [(line["of"], line["lines"]) for line in suppressed],
        )

    def test_flush_reports_suppressed(self):
        """`flush` reports suppressed lines once, for a program that ends."""
        for _ in range(DEFAULT_BURST + 5):
            self.log.write(STARTED)
        self.log.flush()
        self.log.flush()
        self.assertEqual(
            [5], [line["lines"] for line in self.written(SUPPRESSED)]
        )

    def test_limit_is_per_event(self):
        """The limit of one event does not suppress another."""
        for _ in range(DEFAULT_BURST + 1):
            self.log.write(STARTED)
        self.log.write(STOPPED)
        self.assertEqual(1, len(self.written(STOPPED)))


class JsonSinkTest(TestCase):
    """Lines written without eliot have the same fields."""

    def test_line(self):
        """A line is one JSON object with the time, for fields of any type."""
        stream = io.BytesIO()
        sink = JsonSink(stream, lambda: 1.5)
        log = EventLog("entry", "vm-1", lambda: 10.0, sink)
        log.write(STARTED, reason=ResetReason.NO_ROUTE, odd=object)
        line = json.loads(stream.getvalue())
        self.assertEqual(
            (1.5, "started", 101, "entry", "vm-1", "no_route"),
            tuple(
                line[key]
                for key in (
                    "timestamp",
                    "message_type",
                    "event",
                    "program",
                    "vm",
                    "reason",
                )
            ),
        )
