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
        heard_s: When the last report came, or the agent started.
        report: The last report, or None before the first.
    """

    heard_s: float
    report: RelayReport | None = None

    def hear(self, report: RelayReport, now: float) -> None:
        """Takes a report; endpoints that it leaves out stay as they were."""
        if report.endpoints is None:
            known = self.report.endpoints if self.report else ()
            report = attrs.evolve(report, endpoints=known)
        self.report = report
        self.heard_s = now

    def lose(self) -> None:
        """Notes that the relay has closed the link, as one that ends does."""
        self.heard_s = float("-inf")

    def excuse(self, late_s: float) -> None:
        """Gives the relay the time for which this process stood still.

        Its reports wait in the link meanwhile. Without this, an agent that
        wakes would tell the fleet that its relay is gone and take its ports.
        """
        self.heard_s += late_s

    def up(self, now: float) -> bool:
        """Returns whether the relay reports."""
        return self.report is not None and not self.silent(now)

    def silent(self, now: float) -> bool:
        """Returns whether the relay should have reported by now."""
        return now - self.heard_s >= SILENT_S

    @property
    def has_manifest(self) -> bool:
        """Whether the relay last said that it has a manifest, and so ports."""
        return self.report is not None and self.report.version > 0
