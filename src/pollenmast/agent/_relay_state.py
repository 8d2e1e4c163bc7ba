"""What the agent knows of the relay of its own VM."""

import attrs

from pollenmast.peers._messages import RelayReport

SILENT_S = 1.5
"""A relay unheard for so long does not carry packets, in seconds: it missed
three reports. Its agent then says so, and its flows get other owners."""


@attrs.define
class RelayState:
    """The relay's last report.

    Attributes:
        report: The last report, or None before the first.
        heard_s: When it came.
    """

    report: RelayReport | None = None
    heard_s: float = 0.0

    def hear(self, report: RelayReport, now: float) -> None:
        """Takes a report; endpoints that it leaves out stay as they were."""
        if report.endpoints is None:
            known = self.report.endpoints if self.report else ()
            report = attrs.evolve(report, endpoints=known)
        self.report = report
        self.heard_s = now

    def up(self, now: float) -> bool:
        """Returns whether the relay reports."""
        return self.report is not None and now - self.heard_s < SILENT_S
