"""Last known state of this VM's relay."""

import attrs

from pollenmast.peers._messages import RelayReport

REPORT_TIMEOUT_S = 1.5
"""Time without a report after which the relay is considered down, in seconds.

The relay has then missed three reports and is assumed not to forward packets.
Its agent announces this, and the relay's flows are assigned to other owners.
"""


@attrs.define
class RelayState:
    """The relay's last report and whether the next one is overdue.

    Attributes:
        heard_s: When the last report came, or when the agent started, in
            seconds on the event loop's clock. It is -inf after the link was
            closed, and later than the last report after this process was
            suspended.
        report: The last report, or None before the first.
    """

    heard_s: float
    report: RelayReport | None = None

    def record_report(self, report: RelayReport, now: float) -> None:
        """Records a report.

        Args:
            report: The report. If it omits the endpoints, those of the last
                report are kept.
            now: Current time on the event loop's clock, in seconds.
        """
        if report.endpoints is None:
            known = self.report.endpoints if self.report else ()
            report = attrs.evolve(report, endpoints=known)
        self.report = report
        self.heard_s = now

    def mark_lost(self) -> None:
        """Records that the link was closed, as it is when the relay exits."""
        self.heard_s = float("-inf")

    def extend_deadline(self, suspended_s: float) -> None:
        """Extends the relay's deadline after this process was suspended.

        The relay's reports wait in the link during that time. Without the
        extension, an agent that resumes would announce to the fleet that its
        relay is down and take over the relay's ports.

        Args:
            suspended_s: How long this process was suspended, in seconds.
        """
        self.heard_s += suspended_s

    def is_up(self, now: float) -> bool:
        """Returns whether the relay reports and no report is overdue."""
        return self.report is not None and not self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Returns whether the relay's next report is overdue."""
        return now - self.heard_s >= REPORT_TIMEOUT_S

    @property
    def has_manifest(self) -> bool:
        """Whether the relay last reported a manifest.

        It opens its ports only once it has one.
        """
        return self.report is not None and self.report.version > 0
