"""Which endpoints a VM asks for their health, and which it leaves to others.

Load pattern: a service is released, or an availability zone cut off, and
endpoints vanish or die by the dozen. Were each asked by every VM, the checks
would grow with the product of both, and be most when the endpoints return.

So the zone's readers ask and tell. Another VM asks only where it carries
flows, as their clients wait for the answer.
"""

from collections.abc import Callable

from pollenmast.counters import CheckReason
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._flows import FlowTable
from pollenmast.steering._record import Presence, Record


class Doubts:
    """Decides for one VM what it asks."""

    def __init__(self, catalog: Catalog, flows: FlowTable):
        self._catalog = catalog
        self._flows = flows
        self._is_reader: Callable[[], bool] = _always

    def join(self, is_reader: Callable[[], bool]) -> None:
        """Shares the asking with other VMs.

        Args:
            is_reader: Whether this VM asks for its zone.
        """
        self._is_reader = is_reader

    def on_lapsed(self, records: list[Record], now: float) -> None:
        """Entries have vanished from the directory."""
        for record in self._concerning(records):
            record.health.ask(now, CheckReason.LAPSED)

    def ask_overdue(self, now: float) -> None:
        """Asks endpoints whose entries did not come back."""
        for record in self._concerning(self._catalog.overdue()):
            record.health.ask_again(now, CheckReason.MISSING)

    def on_reported_down(self, number: int, now: float) -> None:
        """Another VM finds an endpoint down: this one, a reader, asks.

        Believed without a check, a VM that is cut off would turn the others
        away from endpoints that they reach.
        """
        record = self._catalog.by_number(number)
        if record is None or record.health.down or self._is_unused(record):
            return
        record.health.ask(now, CheckReason.REPORTED)

    def on_told_down(self, number: int, now: float) -> None:
        """A reader of this zone, which has asked itself, finds one down.

        New flows are kept away. A VM that has found it down itself leaves it
        to the reader to see its return.
        """
        record = self._catalog.by_number(number)
        if record is None:
            return
        if record.health.down:
            record.health.defer(now)
            return
        record.health.avoid(now)
        if self._flows.count(record.endpoint.name):
            record.health.ask_again(now, CheckReason.TOLD)

    def drop(self, record: Record) -> bool:
        """Gives up a check that nobody waits for; returns whether it did.

        Endpoints of a drained zone get no new flows, so that only the clients
        of open flows need to know of their health.
        """
        if not self._is_unused(record):
            return False
        record.health.forget()
        return True

    def on_arrival(self, record: Record, now: float) -> None:
        """A flow has moved here, whose endpoint this VM may not have asked."""
        if record.presence is Presence.LAPSED:
            record.health.ask_again(now, CheckReason.LAPSED)
        elif record.health.is_avoided(now):
            record.health.ask_again(now, CheckReason.TOLD)

    def controls(self, but: Record, most: int) -> list[Record]:
        """Returns endpoints to ask beside one that does not answer.

        They are those that have shown life last, one of each availability
        zone: a whole zone may be out of reach. None is of a drained zone: a VM
        there that is cut off leaves its flows to VMs of other zones.
        """
        known = [
            record
            for record in self._catalog.records
            if record is not but
            and record.presence is Presence.LISTED
            and not record.health.down
            and not self._catalog.is_drained(record)
        ]
        known.sort(key=lambda record: -record.health.advanced_at)
        by_zone: dict[str, Record] = {}
        for record in known:
            by_zone.setdefault(record.endpoint.zone, record)
        return list(by_zone.values())[:most]

    def _concerning(self, records: list[Record]) -> list[Record]:
        """Returns those of the vanished endpoints that this VM asks."""
        if self._is_reader():
            return [r for r in records if not self._is_unused(r)]
        return [r for r in records if self._flows.count(r.endpoint.name)]

    def _is_unused(self, record: Record) -> bool:
        """Whether an endpoint gets no new flows and has no open ones here."""
        drained = self._catalog.is_drained(record)
        return drained and not self._flows.count(record.endpoint.name)


def _always() -> bool:
    return True
