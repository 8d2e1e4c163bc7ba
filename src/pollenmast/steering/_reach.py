"""Whether a VM whose own zone takes no new flows reaches another one.

Load pattern: a zone is drained and then cut off from the others. Its VMs go on
getting its clients' packets and reach no endpoint that may be used. Callers
would wait until their deadlines, although VMs of other zones could carry them.
So such a VM says that it is not ready until it reaches an endpoint again.
"""

from pollenmast.steering._catalog import Catalog
from pollenmast.steering._record import Presence, Record

QUIET_S = 0.5
"""How long no client may go on before the paths are tried: a few usual answer
times."""

FAILED_PROBES = 2
"""Rounds in a row without a connection after which a VM is cut off. Of some
endpoints in as many zones not all connections are lost by chance, but a link
may be full for some tenths of a second."""


class Reach:
    """What one VM knows of its paths to other zones."""

    def __init__(self, zone: str, catalog: Catalog):
        self._zone = zone
        self._catalog = catalog
        # A VM that starts reaches nobody until it has: one that is ready in a
        # zone that is cut off would draw all of its clients back.
        self._failed = FAILED_PROBES

    @property
    def cut_off(self) -> bool:
        """Whether this VM reaches no endpoint that may be used."""
        drained = self._catalog.drains.is_drained(self._zone)
        return drained and self._failed >= FAILED_PROBES

    def targets(self, now: float) -> list[Record]:
        """Returns the endpoints to connect to now, one a zone.

        There are none while the own zone is used, or another one has shown
        life just now.
        """
        if not self._catalog.records:
            return []
        if not self._catalog.drains.is_drained(self._zone):
            self._failed = 0
            return []
        usable = self._usable()
        if not usable:
            # Nothing is out of reach: new flows are refused at once.
            self._failed = 0
            return []
        # Clients that other VMs have carried meanwhile show life as well, so
        # it does not end a cut.
        latest = max(record.health.advanced_at for record in usable)
        if not self.cut_off and now - latest < QUIET_S:
            self._failed = 0
            return []
        by_zone: dict[str, Record] = {}
        for record in sorted(usable, key=_advanced_last):
            by_zone[record.endpoint.zone] = record
        return list(by_zone.values())

    def on_probed(self, reached: bool) -> None:
        """Takes in whether one of the targets was reached."""
        self._failed = 0 if reached else self._failed + 1

    def _usable(self) -> list[Record]:
        return [
            record
            for record in self._catalog.records
            if record.presence is Presence.LISTED
            and not record.endpoint.draining
            and not self._catalog.is_drained(record)
        ]


def _advanced_last(record: Record) -> float:
    return record.health.advanced_at
