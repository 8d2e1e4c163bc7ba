"""Endpoints that fail requests although their health check is good.

Load pattern: one endpoint of a service answers everything with an error, at
once, or leaves requests hanging. Its health check is good, it looks idle, and
it draws new flows away from those that work.

So failures are counted: answers that are unusually short, and requests that
became late. One VM sees too few of them; a zone's readers add up what all its
VMs saw, and find the endpoints that fail far more than others of their service.
They get no new flows for a while. Open flows are left alone: what fails and
why is not certain, and a flow that is reset may lose a request.
"""

import math
import statistics
from collections.abc import Callable, Iterable

import attrs

from pollenmast.steering._catalog import Catalog
from pollenmast.steering._meter import Meter
from pollenmast.steering._record import Presence, Record

WINDOW_S = 2.0
"""Over which failures are counted."""

REPORT_LIFE_S = 2.0
"""For how long what another VM told counts."""

LEAST_FAILED = 4
"""Failures of a zone's VMs within the window that make an outlier."""

FACTOR = 3
"""How many times the service's median is added to that: where all endpoints
are full, all fail alike, and none is worth avoiding."""

EJECT_S = 4.0
"""For how long an outlier gets no new flows; then it is tried again."""

MOST_PART = 0.2
"""Share of a service's endpoints that is kept away at the same time."""

MOST_TOLD = 64
"""Endpoints that one VM tells of, those with the most failures."""

Failures = dict[int, int]
"""Failed requests by endpoint number."""


@attrs.frozen
class _Report:
    at: float
    failures: Failures


class Outliers:
    """What one VM knows of endpoints that fail."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog
        self._meters: dict[int, Meter] = {}
        self._mates: dict[str, _Report] = {}
        self._ejected: dict[int, float] = {}
        self._on_ejected: Callable[[Record, int], None] = _nothing

    def notify(self, on_ejected: Callable[[Record, int], None]) -> None:
        """Sets what is called with an outlier and how often it failed."""
        self._on_ejected = on_ejected

    def on_failed(self, endpoint: int, now: float) -> None:
        """A request that this VM sent to an endpoint has failed."""
        self._meters.setdefault(endpoint, Meter(WINDOW_S)).add(now)

    def on_mate(self, vm: str, failures: Failures, now: float) -> None:
        """A VM of the same zone told what failed."""
        self._mates[vm] = _Report(now, failures)

    def own(self, now: float) -> Failures:
        """Returns what failed for this VM, to be told to a reader."""
        failures = {}
        for endpoint, meter in list(self._meters.items()):
            count = meter.count(now)
            if count:
                failures[endpoint] = count
            else:
                del self._meters[endpoint]
        worst = sorted(failures, key=lambda each: -failures[each])
        return {each: failures[each] for each in worst[:MOST_TOLD]}

    def eject(self, now: float) -> list[int]:
        """Returns the outliers that a reader finds, and keeps flows away."""
        self._ejected = {n: u for n, u in self._ejected.items() if now < u}
        totals = self._totals(now)
        for number in self._found(totals):
            self._ejected[number] = now + EJECT_S
            self._tell(number, totals[number])
        self.on_told(self._ejected, now)
        return list(self._ejected)

    def on_told(self, ejected: Iterable[int], now: float) -> None:
        """Keeps new flows away from outliers that a reader has found."""
        for number in ejected:
            record = self._catalog.by_number(number)
            if record is not None:
                record.health.avoid(now)

    def _tell(self, number: int, failed: int) -> None:
        record = self._catalog.by_number(number)
        if record is not None:
            self._on_ejected(record, failed)

    def _found(self, totals: Failures) -> list[int]:
        if max(totals.values(), default=0) < LEAST_FAILED:
            return []
        found = []
        for members in self._services().values():
            found += self._of_service(members, totals)
        return found

    def _of_service(self, members: list[int], totals: Failures) -> list[int]:
        """Returns a service's outliers, the worst first."""
        if len(members) < 2:
            return []
        counts = [totals.get(each, 0) for each in members]
        least = LEAST_FAILED + FACTOR * statistics.median_low(counts)
        outliers = [each for each in members if totals.get(each, 0) >= least]
        outliers.sort(key=lambda each: -totals[each])
        away = sum(each in self._ejected for each in members)
        room = max(1, math.floor(MOST_PART * len(members))) - away
        fresh = [each for each in outliers if each not in self._ejected]
        return fresh[: max(0, room)]

    def _services(self) -> dict[str, list[int]]:
        services: dict[str, list[int]] = {}
        for record in self._catalog.records:
            if _in_use(record) and not self._catalog.is_drained(record):
                endpoint = record.endpoint
                members = services.setdefault(endpoint.service, [])
                members.append(endpoint.number)
        return services

    def _totals(self, now: float) -> Failures:
        for vm, report in list(self._mates.items()):
            if now - report.at > REPORT_LIFE_S:
                del self._mates[vm]
        totals = self.own(now)
        for report in self._mates.values():
            for endpoint, count in report.failures.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        return totals


def _in_use(record: Record) -> bool:
    listed = record.presence is Presence.LISTED
    return listed and not record.endpoint.draining and not record.health.down


def _nothing(record: Record, failed: int) -> None:
    pass
