"""Computes the load of each endpoint, summed over all VMs.

Each zone's endpoints are shared by several VMs, and zones differ in their
numbers of clients and endpoints. A VM that counts only its own requests cannot
see that its zone's last two endpoints are full while those of another zone are
idle. The queues of these two then turn requests away although there is room
elsewhere. VMs therefore exchange their counts.

Each request passes through exactly one VM, so the VMs' counts can be added up.
Readers receive them from the VMs of their zone, and from each other zone as one
sum. The other VMs receive the total; each of them replaces its own share in it
by its current count. So the amount that a VM has to receive does not grow with
the fleet.
"""

import collections

import attrs

from pollenmast.steering._meter import Meter

WINDOW_S = 2.0
"""Length in seconds of the window in which requests are counted: long enough
for a steady count, short enough to follow flows that move within seconds."""

REPORT_MAX_AGE_S = 4.0
"""Age in seconds after which a report no longer counts; eight newer reports
have then been missed."""

PREFER_LARGER_SUM_S = 1.5
"""How long a sum over more VMs is preferred to a newer one over fewer, in
seconds. A VM that has just become a reader has received few reports yet."""

ZONES_SETTLE_S = 4.0
"""How long a VM has to receive reports before it compares zones, in seconds.
When a whole fleet starts, each zone learns of its own load first."""

LATE_WINDOW_S = 6.0
"""How long a late request counts, in seconds: the usual duration of such a
fault."""

LATE_RATE = 5.0
"""Load of one late request, in requests per second. A single one, which any
endpoint has now and then, moves few flows; several keep new flows away."""

MAX_REPORTERS = 1024
"""Maximum number of VMs of one zone whose reports are kept, at about 10 kB."""

MAX_ZONES = 64
"""Maximum number of other zones whose reports are kept."""

Rates = dict[int, float]
"""Requests per second by endpoint number."""


@attrs.frozen
class _Report:
    at: float
    rates: Rates
    vms: int = 1
    floor: float = 0.0

    def replaces(self, other: "_Report | None") -> bool:
        if other is None or self.vms >= other.vms:
            return True
        return self.at - other.at >= PREFER_LARGER_SUM_S


class EndpointLoads:
    """One VM's view of the load of all endpoints."""

    def __init__(self, zone: str):
        self._zone = zone
        self._meters: dict[int, Meter] = {}
        self._late_meters: dict[int, Meter] = {}
        self._peer_reports: dict[str, _Report] = {}
        self._zone_reports: dict[str, _Report] = {}
        self._total_report: _Report | None = None
        self._own_report: Rates = {}
        self._receiving_since = float("-inf")
        self._last_received_at = float("-inf")

    def on_request(self, endpoint: int, now: float) -> None:
        """Counts a request, or a new flow, that this VM sent to an endpoint."""
        self._meters.setdefault(endpoint, Meter(WINDOW_S)).add(now)

    def on_late(self, endpoint: int, now: float) -> None:
        """Counts a late request that this VM had sent to an endpoint."""
        self._late_meters.setdefault(endpoint, Meter(LATE_WINDOW_S)).add(now)

    def on_peer_report(self, vm: str, rates: Rates, now: float) -> None:
        """Handles a report by a VM of the same zone of what it sends."""
        if _has_room(self._peer_reports, vm, MAX_REPORTERS, now):
            self._on_report_received(now)
            self._peer_reports[vm] = _Report(now, rates)

    def on_zone_report(
        self, zone: str, rates: Rates, vms: int, now: float
    ) -> None:
        """Handles a report by another zone's reader of what its VMs send."""
        if not _has_room(self._zone_reports, zone, MAX_ZONES, now):
            return
        self._on_report_received(now)
        report = _Report(now, rates, vms)
        if report.replaces(self._zone_reports.get(zone)):
            self._zone_reports[zone] = report

    def on_total_report(
        self, rates: Rates, vms: int, now: float, floor: float = 0.0
    ) -> None:
        """Handles a report by this zone's reader of what all VMs send.

        A fleet has more endpoints than one report names. If those left out
        counted as idle, they would attract flows from every zone. They
        therefore count with the rate `floor`.

        Args:
            rates: The total rates of the busiest endpoints.
            vms: Number of VMs of this zone that the reader receives reports
                from.
            now: The runtime's clock in seconds.
            floor: The rate to assume for endpoints that are not named.
        """
        self._on_report_received(now)
        report = _Report(now, rates, vms, floor)
        if report.replaces(self._total_report):
            self._total_report = report

    def report(self, now: float) -> Rates:
        """Returns what this VM sends, for its report to a reader."""
        self._own_report = self.own_rates(now)
        return self._own_report

    def own_rates(self, now: float) -> Rates:
        """Returns what this VM sends; idle endpoints are left out."""
        rates = _meter_rates(self._meters, 1.0 / WINDOW_S, now)
        late = _meter_rates(self._late_meters, LATE_RATE, now)
        return _sum_rates([rates, late]) if late else rates

    def zone(self, now: float) -> Rates:
        """Returns what this zone's VMs send."""
        return _sum_rates(
            [self.own_rates(now), *_fresh_rates(self._peer_reports, now)]
        )

    def vms(self, now: float) -> int:
        """Returns how many of the zone's VMs this VM's own sum covers."""
        return len(_fresh_rates(self._peer_reports, now)) + 1

    def sum_of_reports(self, now: float) -> Rates:
        """Returns what all VMs send, from the reports received here.

        Only this is passed on. If two VMs reported to each other the totals
        that they had been sent, the load of VMs that died would circulate for
        ever.
        """
        return _sum_rates(
            [self.zone(now), *_fresh_rates(self._zone_reports, now)]
        )

    def is_settled(self, now: float) -> bool:
        """Whether the zones' loads can be compared.

        A VM learns of its own zone's load before that of the others, which at
        first covers few VMs. While all VMs start, each zone would consider the
        others idle and place most flows there; a cut between zones would then
        break them.
        """
        if now - self._last_received_at > REPORT_MAX_AGE_S:
            return False
        return now - self._receiving_since >= ZONES_SETTLE_S

    def _on_report_received(self, now: float) -> None:
        if now - self._last_received_at > REPORT_MAX_AGE_S:
            self._receiving_since = now
        self._last_received_at = now

    def rate(self, endpoint: int, now: float) -> float:
        """Returns what all VMs send to an endpoint, in requests per second.

        It comes from the reader's total or from this VM's own sum, whichever
        covers more VMs. Only this endpoint's rates are added up: a flow is
        placed by the rates of a few endpoints, and adding up those of all took
        most of the time of a placement.
        """
        own = self.own_rate(endpoint, now)
        if self.total_vm_count(now) <= self.vms(now):
            reports = [
                *_fresh_rates(self._peer_reports, now),
                *_fresh_rates(self._zone_reports, now),
            ]
            return own + sum(rates.get(endpoint, 0.0) for rates in reports)
        total = self._total_report.rates.get(endpoint, self._total_report.floor)
        # Replace this VM's last report in the total by its current rate.
        return max(0.0, total + own - self._own_report.get(endpoint, 0.0))

    def own_rate(self, endpoint: int, now: float) -> float:
        """Returns what this VM sends to an endpoint, in requests per second."""
        meter, late = (
            self._meters.get(endpoint),
            self._late_meters.get(endpoint),
        )
        rate = meter.count(now) / WINDOW_S if meter is not None else 0.0
        return rate + (LATE_RATE * late.count(now) if late is not None else 0.0)

    def total_vm_count(self, now: float) -> int:
        """Returns how many of the zone's VMs the reader's total covers.

        Returns:
            The number of VMs, 0 if there is no current total.
        """
        total = self._total_report
        if total is None or now - total.at > REPORT_MAX_AGE_S:
            return 0
        return total.vms


def _meter_rates(meters: dict[int, Meter], weight: float, now: float) -> Rates:
    rates = {}
    for endpoint, meter in list(meters.items()):
        count = meter.count(now)
        if count:
            rates[endpoint] = weight * count
        else:
            del meters[endpoint]
    return rates


def _has_room(
    reports: dict[str, _Report], sender: str, most: int, now: float
) -> bool:
    """Whether a report may be kept; the names come from datagrams."""
    if sender in reports or len(reports) < most:
        return True
    return len(_fresh_rates(reports, now)) < most


def _fresh_rates(reports: dict[str, _Report], now: float) -> list[Rates]:
    for name, report in list(reports.items()):
        if now - report.at > REPORT_MAX_AGE_S:
            del reports[name]
    return [report.rates for report in reports.values()]


def _sum_rates(parts: list[Rates]) -> Rates:
    total: Rates = collections.defaultdict(float)
    for rates in parts:
        for endpoint, rate in rates.items():
            total[endpoint] += rate
    return total
