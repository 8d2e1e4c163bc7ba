"""Tracks whether a VM of a drained zone can reach endpoints of other zones.

When a zone is drained and then cut off from the others, its VMs still receive
its clients' packets but can reach no endpoint that may be used. Callers would
wait for their deadlines although VMs of other zones could carry their flows. So
such a VM reports that it is not ready until it reaches an endpoint again.
"""

from pollenmast.steering._catalog import Catalog
from pollenmast.steering._record import Presence, Record

PROBE_AFTER_S = 0.5
"""Time in seconds without progress of any client before the paths are probed: a
few usual answer times."""

MAX_FAILED_ROUNDS = 2
"""Consecutive probe rounds without a connection after which a VM is cut off.
Connections to endpoints in several zones are not all lost by chance, but a link
may be full for some tenths of a second."""


class Reach:
    """Whether one VM has working paths to other zones."""

    def __init__(self, zone: str, catalog: Catalog):
        self._zone = zone
        self._catalog = catalog
        # A VM that starts counts as cut off until a probe succeeds: if it were
        # ready in a cut-off zone, it would attract all of the zone's clients.
        self._failed_rounds = MAX_FAILED_ROUNDS

    @property
    def cut_off(self) -> bool:
        """Whether this VM can reach no endpoint that may be used."""
        drained = self._catalog.drains.is_drained(self._zone)
        return drained and self._failed_rounds >= MAX_FAILED_ROUNDS

    def targets(self, now: float) -> list[Record]:
        """Returns the endpoints to probe now by connecting, one per zone.

        There are none while the VM's own zone is in use, or while an endpoint
        has recently shown that it is alive.
        """
        if not self._catalog.records:
            return []
        if not self._catalog.drains.is_drained(self._zone):
            self._failed_rounds = 0
            return []
        usable = self._usable()
        if not usable:
            # There is nothing to reach: new flows are refused at once.
            self._failed_rounds = 0
            return []
        # Once cut off, progress does not count: it may come from clients that
        # other VMs have served meanwhile.
        latest = max(record.health.last_alive_at for record in usable)
        if not self.cut_off and now - latest < PROBE_AFTER_S:
            self._failed_rounds = 0
            return []
        by_zone: dict[str, Record] = {}
        for record in sorted(usable, key=_last_alive_at):
            by_zone[record.endpoint.zone] = record
        return list(by_zone.values())

    def on_probed(self, reached: bool) -> None:
        """Records whether at least one of the targets was reached."""
        self._failed_rounds = 0 if reached else self._failed_rounds + 1

    def _usable(self) -> list[Record]:
        return [
            record
            for record in self._catalog.records
            if record.usable
            and record.presence is Presence.LISTED
            and not record.endpoint.draining
            and not self._catalog.is_drained(record)
        ]


def _last_alive_at(record: Record) -> float:
    return record.health.last_alive_at
