"""Tests of entry._overload_log."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import ServiceStatus
from pollenmast.entry._overload_log import OverloadLog
from pollenmast.events import EventLog, Sink


class _ListSink(Sink):
    """Collects the lines."""

    def __init__(self):
        self.lines: list[dict[str, object]] = []

    def put(self, fields: dict[str, object]) -> None:
        self.lines.append(fields)


def _status(service: str, overloaded: bool, held: int = 0) -> ServiceStatus:
    return ServiceStatus(service, 5, 4, held, overloaded, 0.05)


class OverloadLogTest(TestCase):
    """Operators see when a VM lacked capacity, without a flood of lines."""

    def setUp(self):
        """Collects the lines of a log whose clock the test sets."""
        super().setUp()
        self.now = 10.0
        self.sink = _ListSink()
        self.overload = OverloadLog(
            EventLog("entry", "vm-1", lambda: self.now, self.sink)
        )

    def run_rounds(
        self, rounds: str, interval_s: float = 0.5
    ) -> list[tuple[str, float]]:
        """Returns the events and times of maintenance rounds.

        Args:
            rounds: A character for each round: `+` if the service is short of
                capacity, `-` if not, a space if its status is missing.
            interval_s: Seconds between two rounds.
        """
        found = []
        for state in rounds:
            seen = len(self.sink.lines)
            statuses = (
                [] if state == " " else [_status("registry", state == "+")]
            )
            self.overload.update(statuses, self.now)
            found += [
                (line["message_type"], self.now)
                for line in self.sink.lines[seen:]
            ]
            self.now += interval_s
        return found

    @parameterized.expand(
        [
            ("never", "---", []),
            ("unknown", "   ", []),
            ("lasting", "-+++", [("scarcity_began", 10.5)]),
            (
                "ended",
                "+++-",
                [("scarcity_began", 10.0), ("scarcity_ended", 11.5)],
            ),
            (
                "evicted",
                "++  ",
                [("scarcity_began", 10.0), ("scarcity_ended", 11.0)],
            ),
            (
                "again",
                "+--+",
                [
                    ("scarcity_began", 10.0),
                    ("scarcity_ended", 10.5),
                    ("scarcity_began", 11.5),
                ],
            ),
        ]
    )
    def test_changes(self, _, rounds, expected):
        """Only changes are logged, and every start is followed by its end.

        A start without an end would look like an overload that never ended;
        this could happen if admission control evicts an idle service.
        """
        self.assertEqual(expected, self.run_rounds(rounds))

    @parameterized.expand([(0.5,), (0.1,), (0.01,)])
    def test_at_most_one_pair_a_second(self, interval_s):
        """A service whose load varies around its capacity floods no log.

        Without a minimum interval every round could write a line, and the
        lines of other services would be suppressed by the log's limit.
        """
        found = self.run_rounds("+-" * round(5.0 / interval_s), interval_s)
        began = [at for name, at in found if name == "scarcity_began"]
        ended = [at for name, at in found if name == "scarcity_ended"]
        self.assertTrue(2 <= len(began) <= 11, found)
        self.assertEqual(len(began), len(ended))
        for first, second in zip(began, began[1:], strict=False):
            self.assertGreater(second - first, 0.999)

    def test_delayed_start(self):
        """An overload that returns within the interval is logged after it."""
        found = self.run_rounds("+-++++", 0.25)
        self.assertEqual(
            [
                ("scarcity_began", 10.0),
                ("scarcity_ended", 10.25),
                ("scarcity_began", 11.0),
            ],
            found,
        )

    def test_bounded_memory(self):
        """Services that are gone are forgotten after the interval."""
        for number in range(1000):
            status = _status(f"service-{number}", True)
            self.overload.update([status], self.now)
            self.now += 0.5
        self.assertLess(len(self.overload._episodes), 4)

    def test_fields(self):
        """Both events contain the figures; services are told apart."""
        self.overload.update(
            [_status("registry", True, 3), _status("spare", False)], 10.0
        )
        self.overload.update([_status("registry", False)], 12.5)
        fields = ("service", "credits", "in_progress", "held", "lasted_s")
        self.assertEqual(
            [("registry", 4, 5, 3, None), ("registry", 4, 5, 0, 2.5)],
            [tuple(map(line.get, fields)) for line in self.sink.lines],
        )
