"""Outlier ejection: endpoints that fail requests but pass health checks.

An endpoint of a service may answer every request with an error at once, or
leave requests hanging, while the others work. It passes its health checks and
looks idle, so it attracts new flows from the endpoints that work.

So failures are counted: answers that are unusually short, and requests that
became late. One VM sees too few of them. A zone's readers add up the counts of
all its VMs and look for endpoints that fail far more often than others of their
service. Such endpoints get no new flows for a while. Open flows continue,
because neither the fault nor its cause is certain, and a reset may lose a
request.
"""

import math
import statistics
from collections.abc import Callable, Iterable

import attrs

from pollenmast.steering._catalog import Catalog
from pollenmast.steering._load import MAX_REPORTERS
from pollenmast.steering._meter import Meter
from pollenmast.steering._record import Presence, Record

WINDOW_S = 2.0
"""Length in seconds of the window in which failures are counted."""

REPORT_LIFE_S = 2.0
"""Age in seconds after which another VM's report no longer counts."""

MIN_FAILURES = 4
"""Minimum number of failures, over a zone's VMs within the window, that make an
endpoint an outlier."""

MEDIAN_FACTOR = 3
"""Multiple of the service's median number of failures added to this minimum.
Where all endpoints are full, all fail alike, and none is worth avoiding."""

EJECTION_S = 4.0
"""How long an outlier gets no new flows before it is tried again, in
seconds."""

MAX_EJECTED_SHARE = 0.2
"""Maximum share of a service's endpoints that is ejected at the same time."""

MAX_REPORTED = 64
"""Maximum number of endpoints in one VM's report; those with the most failures
are named."""

Failures = dict[int, int]
"""Number of failed requests by endpoint number."""


@attrs.frozen
class _Report:
    at: float
    failures: Failures


class Outliers:
    """One VM's view of endpoints that fail requests."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog
        self._meters: dict[int, Meter] = {}
        self._peer_reports: dict[str, _Report] = {}
        self._ejected_until: dict[int, float] = {}
        self._on_ejected: Callable[[Record, int], None] = _nothing
        self._is_saturated: Callable[[str, float], bool] = _never

    def set_on_ejected(self, on_ejected: Callable[[Record, int], None]) -> None:
        """Sets the callback for an ejection.

        Args:
            on_ejected: Called with the outlier and its number of failures.
        """
        self._on_ejected = on_ejected

    def set_is_saturated(
        self, is_saturated: Callable[[str, float], bool]
    ) -> None:
        """Sets the source of which services have too little capacity.

        Args:
            is_saturated: Called with a service and the time in seconds.
        """
        self._is_saturated = is_saturated

    def on_failed(self, endpoint: int, now: float) -> None:
        """Counts a failed request that this VM had sent to an endpoint.

        While the endpoint's service has too little capacity, requests are late
        or rejected at endpoints that work. Ejecting these would reduce the
        capacity further.
        """
        record = self._catalog.by_number(endpoint)
        if record is not None and self._is_saturated(
            record.endpoint.service, now
        ):
            return
        self._meters.setdefault(endpoint, Meter(WINDOW_S)).add(now)

    def on_peer_report(self, vm: str, failures: Failures, now: float) -> None:
        """Handles a report of failures by a VM of the same zone."""
        if vm not in self._peer_reports:
            if len(self._peer_reports) >= MAX_REPORTERS:
                self._drop_outdated(now)
            if len(self._peer_reports) >= MAX_REPORTERS:
                return
        self._peer_reports[vm] = _Report(now, failures)

    def own_failures(self, now: float) -> Failures:
        """Returns this VM's failures, for its report to a reader."""
        failures = {}
        for endpoint, meter in list(self._meters.items()):
            count = meter.count(now)
            if count:
                failures[endpoint] = count
            else:
                del self._meters[endpoint]
        worst = sorted(failures, key=lambda each: -failures[each])
        return {each: failures[each] for each in worst[:MAX_REPORTED]}

    def eject(self, now: float) -> list[int]:
        """Finds outliers as a reader and keeps new flows away from them.

        Returns:
            The numbers of all endpoints that are ejected at present.
        """
        self._ejected_until = {
            n: u for n, u in self._ejected_until.items() if now < u
        }
        totals = self._totals(now)
        for number in self._find_outliers(totals):
            self._ejected_until[number] = now + EJECTION_S
            self._notify_ejected(number, totals[number])
        self.on_ejections_reported(self._ejected_until, now)
        return list(self._ejected_until)

    def on_ejections_reported(self, ejected: Iterable[int], now: float) -> None:
        """Keeps new flows away from the outliers that a reader reports."""
        for number in ejected:
            record = self._catalog.by_number(number)
            if record is not None:
                record.health.avoid(now)

    def _notify_ejected(self, number: int, failed: int) -> None:
        record = self._catalog.by_number(number)
        if record is not None:
            self._on_ejected(record, failed)

    def _find_outliers(self, totals: Failures) -> list[int]:
        if max(totals.values(), default=0) < MIN_FAILURES:
            return []
        found = []
        for members in self._services().values():
            found += self._service_outliers(members, totals)
        return found

    def _service_outliers(
        self, members: list[int], totals: Failures
    ) -> list[int]:
        """Returns a service's new outliers, those with most failures first."""
        if len(members) < 2:
            return []
        counts = [totals.get(each, 0) for each in members]
        least = MIN_FAILURES + MEDIAN_FACTOR * statistics.median_low(counts)
        outliers = [each for each in members if totals.get(each, 0) >= least]
        outliers.sort(key=lambda each: -totals[each])
        away = sum(each in self._ejected_until for each in members)
        room = max(1, math.floor(MAX_EJECTED_SHARE * len(members))) - away
        fresh = [each for each in outliers if each not in self._ejected_until]
        return fresh[: max(0, room)]

    def _services(self) -> dict[str, list[int]]:
        services: dict[str, list[int]] = {}
        for record in self._catalog.records:
            if _in_use(record) and not self._catalog.is_drained(record):
                endpoint = record.endpoint
                members = services.setdefault(endpoint.service, [])
                members.append(endpoint.number)
        return services

    def _drop_outdated(self, now: float) -> None:
        for vm, report in list(self._peer_reports.items()):
            if now - report.at > REPORT_LIFE_S:
                del self._peer_reports[vm]

    def _totals(self, now: float) -> Failures:
        self._drop_outdated(now)
        totals = self.own_failures(now)
        for report in self._peer_reports.values():
            for endpoint, count in report.failures.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        return totals


def _in_use(record: Record) -> bool:
    listed = record.presence is Presence.LISTED
    return listed and not record.endpoint.draining and not record.health.down


def _nothing(record: Record, failed: int) -> None:
    pass


def _never(service: str, now: float) -> bool:
    return False
