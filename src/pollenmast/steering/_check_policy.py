"""Decides which endpoints a VM health-checks and which it leaves to others.

When a service is released, or an availability zone is cut off, endpoints
disappear or die by the dozen. If every VM checked each of them, the number of
checks would grow with the product of VMs and endpoints, and would be highest
just when the endpoints return.

So the zone's readers, the VMs that gather its reports, check endpoints and
report the results. Any other VM checks only endpoints that it has flows to, as
their clients wait for the result.
"""

from collections.abc import Callable

from pollenmast.counters import CheckReason
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._flows import FlowTable
from pollenmast.steering._record import Presence, Record


class CheckPolicy:
    """Decides which endpoints one VM health-checks."""

    def __init__(self, catalog: Catalog, flows: FlowTable):
        self._catalog = catalog
        self._flows = flows
        self._is_reader: Callable[[], bool] = _always

    def set_is_reader(self, is_reader: Callable[[], bool]) -> None:
        """Shares the checks with the other VMs of the zone.

        Args:
            is_reader: Returns whether this VM checks endpoints for its zone.
        """
        self._is_reader = is_reader

    def on_lapsed(self, records: list[Record], now: float) -> None:
        """Schedules checks of endpoints whose directory entries disappeared."""
        for record in self._to_check(records):
            record.health.request_check(now, CheckReason.LAPSED)

    def schedule_overdue(self, now: float) -> None:
        """Schedules checks of endpoints whose entries did not come back."""
        for record in self._to_check(self._catalog.expired_lapses()):
            record.health.request_check_unless_recent(now, CheckReason.MISSING)

    def on_peer_reported_down(self, number: int, now: float) -> None:
        """Handles another VM's report to this reader that an endpoint is down.

        The endpoint is checked first. If the report were believed without a
        check, a VM that is cut off would turn the others away from endpoints
        that they can reach.
        """
        record = self._catalog.by_number(number)
        if record is None or record.health.down or self._is_unused(record):
            return
        record.health.request_check(now, CheckReason.REPORTED)

    def on_reader_reported_down(self, number: int, now: float) -> None:
        """Handles a report by this zone's reader that an endpoint is down.

        The reader has checked the endpoint itself, so new flows are kept away.
        If this VM also found it down, it leaves it to the reader to notice the
        endpoint's return.
        """
        record = self._catalog.by_number(number)
        if record is None:
            return
        if record.health.down:
            record.health.defer_recheck(now)
            return
        record.health.avoid(now)
        if self._flows.count(record.endpoint.name):
            record.health.request_check_unless_recent(now, CheckReason.TOLD)

    def cancel_if_unused(self, record: Record) -> bool:
        """Cancels a check that nobody needs; returns whether it did.

        Endpoints of a drained zone, or of a service that no configuration has
        named, get no new flows, so only clients with open flows depend on their
        health.
        """
        if not self._is_unused(record):
            return False
        record.health.forget()
        return True

    def on_flow_moved(self, record: Record, now: float) -> None:
        """Schedules a check for a flow that moved here from another VM.

        This VM may not have checked the flow's endpoint yet.
        """
        if record.presence is Presence.LAPSED:
            record.health.request_check_unless_recent(now, CheckReason.LAPSED)
        elif record.health.is_avoided(now):
            record.health.request_check_unless_recent(now, CheckReason.TOLD)

    def controls(self, but: Record, most: int) -> list[Record]:
        """Returns endpoints to check for comparison with an unresponsive one.

        These are the endpoints that most recently showed that they are alive,
        one of each availability zone, because a whole zone may be unreachable.
        Drained zones are left out: a VM there that is cut off leaves its flows
        to VMs of other zones.

        Args:
            but: The endpoint that does not answer.
            most: Maximum number of endpoints to return.
        """
        known = [
            record
            for record in self._catalog.records
            if record is not but
            and record.usable
            and record.presence is Presence.LISTED
            and not record.health.down
            and not self._catalog.is_drained(record)
        ]
        known.sort(key=lambda record: -record.health.last_alive_at)
        by_zone: dict[str, Record] = {}
        for record in known:
            by_zone.setdefault(record.endpoint.zone, record)
        return list(by_zone.values())[:most]

    def _to_check(self, records: list[Record]) -> list[Record]:
        """Returns those of the missing endpoints that this VM checks."""
        if self._is_reader():
            return [r for r in records if not self._is_unused(r)]
        return [r for r in records if self._flows.count(r.endpoint.name)]

    def _is_unused(self, record: Record) -> bool:
        """Whether an endpoint gets no new flows and has no open ones here."""
        used = record.usable and not self._catalog.is_drained(record)
        return not used and not self._flows.count(record.endpoint.name)


def _always() -> bool:
    return True
