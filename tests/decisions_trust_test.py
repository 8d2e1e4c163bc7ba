"""Tests of decisions._trust."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._trust import STALE_S, ReportTrust, Verdict
from pollenmast.fleet import EndpointReport


def _fed(reports: int = 20, per_report: int = 1, **fields) -> ReportTrust:
    """Returns one after some reports, with flows placed between them.

    Args:
        reports: How many came, two a second.
        per_report: Flows placed for each.
        **fields: Of the report; `rate` is what finishes in between, `sessions`
            what the VM itself carries.
    """
    trust = ReportTrust(2)
    rate, sessions = fields.pop("rate", 0), fields.pop("sessions", 0)
    for n in range(reports):
        for _ in range(per_report):
            trust.on_placed()
        report = EndpointReport(1, "e", n, True, finished=n * rate, **fields)
        trust.on_report(report, n / 2, sessions)
    return trust


class ReportTrustTest(TestCase):
    """A report that cannot be true loses its weight."""

    @parameterized.expand(
        [
            ("moves", {"running": 1, "rate": 5}, Verdict.BELIEVED),
            ("frozen_idle", {"running": 0}, Verdict.FROZEN),
            ("frozen_full", {"running": 2, "queued": 4}, Verdict.STUCK),
            ("nothing_sent", {"per_report": 0}, Verdict.BELIEVED),
            (
                "fewer_sessions_than_this_vm_has",
                {"connections": 3, "rate": 1, "sessions": 50},
                Verdict.HIDES,
            ),
            (
                "sessions_that_ended_unnoticed",
                {"connections": 30, "rate": 1, "sessions": 50},
                Verdict.BELIEVED,
            ),
        ]
    )
    def test_verdict(self, _, fields, verdict):
        """What does not move, or cannot be, is told apart."""
        self.assertEqual(verdict, _fed(**fields).verdict(9.6))

    def test_says_idle_and_finishes_little(self):
        """A slow endpoint says that it is idle.

        By its report it would be the best choice, and what is sent there
        waits for seconds.
        """
        trust = _fed(per_report=2, rate=4)
        trust.compare(usual=10.0, usual_busy=1.0, now=9.6)
        self.assertEqual(Verdict.HIDES, trust.verdict(9.7))

    def test_slow_and_honest(self):
        """A slow endpoint that says it is busy is believed."""
        trust = _fed(per_report=2, rate=4, running=2)
        trust.compare(usual=10.0, usual_busy=1.0, now=9.6)
        self.assertEqual(Verdict.BELIEVED, trust.verdict(9.7))

    def test_all_alike(self):
        """Callers open flows and send nothing, so nothing much finishes.

        Compared with what was sent alone, all endpoints would be doubted and
        the service closed by whoever opens flows.
        """
        trust = _fed(per_report=10, rate=1)
        trust.compare(usual=0.1, usual_busy=1.0, now=9.6)
        self.assertEqual(Verdict.BELIEVED, trust.verdict(9.7))

    def test_stale(self):
        """The probes stop; the last report is not believed for ever."""
        trust = _fed(rate=5, running=1)
        self.assertEqual(Verdict.STALE, trust.verdict(9.6 + STALE_S))

    def test_restart_is_no_lie(self):
        """An endpoint restarts and counts from nothing."""
        trust = _fed(rate=5, running=1)
        report = EndpointReport(1, "e", 99, True, running=1, finished=0)
        trust.on_report(report, 10.0, 0)
        self.assertEqual(Verdict.BELIEVED, trust.verdict(10.1))
