"""Tests of decisions._trust."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._trust import STALE_S, ReportTrust, Verdict
from pollenmast.fleet import EndpointReport


def _trust_after_reports(
    reports: int = 20, per_report: int = 1, **fields
) -> ReportTrust:
    """Returns a `ReportTrust` after some reports with flows between them.

    Args:
        reports: Number of reports, two per second.
        per_report: Flows placed before each report.
        **fields: Fields of the reports. Besides these, `rate` is the number of
            requests finished between two reports, and `sessions` the number
            of sessions that the VM carries.
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
    """Reports that cannot be true are not trusted."""

    @parameterized.expand(
        [
            ("moves", {"running": 1, "rate": 5}, Verdict.TRUSTED),
            ("frozen_idle", {"running": 0}, Verdict.FROZEN),
            ("frozen_full", {"running": 2, "queued": 4}, Verdict.STUCK),
            ("nothing_sent", {"per_report": 0}, Verdict.TRUSTED),
            (
                "fewer_sessions_than_this_vm_has",
                {"connections": 3, "rate": 1, "sessions": 50},
                Verdict.HIDES,
            ),
            (
                "sessions_that_ended_unnoticed",
                {"connections": 30, "rate": 1, "sessions": 50},
                Verdict.TRUSTED,
            ),
        ]
    )
    def test_verdict(self, _, fields, verdict):
        """Frozen and impossible reports get the right verdict."""
        self.assertEqual(verdict, _trust_after_reports(**fields).verdict(9.6))

    def test_slow_endpoint_reports_idle(self):
        """A slow endpoint that reports itself idle is detected.

        By its report it would be the best choice, and flows placed there
        would wait for seconds.
        """
        trust = _trust_after_reports(per_report=2, rate=4)
        trust.compare(median_ratio=10.0, median_busy=1.0, now=9.6)
        self.assertEqual(Verdict.HIDES, trust.verdict(9.7))

    def test_slow_endpoint_reports_busy(self):
        """A slow endpoint that reports itself busy is trusted."""
        trust = _trust_after_reports(per_report=2, rate=4, running=2)
        trust.compare(median_ratio=10.0, median_busy=1.0, now=9.6)
        self.assertEqual(Verdict.TRUSTED, trust.verdict(9.7))

    def test_all_endpoints_finish_little(self):
        """Endpoints that all finish little are trusted.

        This happens if callers open flows and send nothing. If the finished
        requests were compared only with the placed flows, no endpoint would
        be trusted, and anyone could close the service by opening flows.
        """
        trust = _trust_after_reports(per_report=10, rate=1)
        trust.compare(median_ratio=0.1, median_busy=1.0, now=9.6)
        self.assertEqual(Verdict.TRUSTED, trust.verdict(9.7))

    def test_stale(self):
        """The last report becomes stale when the probes stop."""
        trust = _trust_after_reports(rate=5, running=1)
        self.assertEqual(Verdict.STALE, trust.verdict(9.6 + STALE_S))

    def test_restart_is_believed(self):
        """A restart, which resets the finished count, is no false report."""
        trust = _trust_after_reports(rate=5, running=1)
        report = EndpointReport(1, "e", 99, True, running=1, finished=0)
        trust.on_report(report, 10.0, 0)
        self.assertEqual(Verdict.TRUSTED, trust.verdict(10.1))
