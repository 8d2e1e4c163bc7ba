"""How much work each endpoint gets, from all VMs together.

Load pattern: each zone's endpoints are shared by several VMs, and zones have
unlike numbers of clients and endpoints. A VM that counts only its own
requests cannot see that its zone's last two endpoints are full while another
zone's stand idle: requests are turned away by the queue of two slots although
there was room.

Each request passes exactly one VM, so the VMs' counts add up. A VM tells the
VMs of its zone what it sends; and the others its zone's sum. An endpoint's
load is the sum over zones, so what a VM has to hear does not grow with the
VMs of other zones.
"""

import collections

import attrs

WINDOW_S = 2.0
"""Over which requests are counted. At 20 requests a second to an endpoint the
count is then within a sixth of the mean; flows move within seconds."""

BUCKET_S = 0.25

REPORT_LIFE_S = 4.0
"""A report older than this no longer counts: eight of them were missed."""

Rates = dict[int, float]
"""Requests a second by endpoint number."""


@attrs.frozen
class _Report:
    at: float
    rates: Rates


class _Meter:
    """Counts of one endpoint in a sliding window."""

    def __init__(self):
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()

    def add(self, now: float) -> None:
        bucket = int(now / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1] = (bucket, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((bucket, 1))

    def rate(self, now: float) -> float:
        oldest = int((now - WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        return sum(count for _, count in self._buckets) / WINDOW_S


class LoadBook:
    """What one VM knows of all endpoints' load."""

    def __init__(self, zone: str):
        self._zone = zone
        self._meters: dict[int, _Meter] = {}
        self._mates: dict[str, _Report] = {}
        self._zones: dict[str, _Report] = {}

    def on_work(self, endpoint: int, now: float) -> None:
        """This VM sent a request, or a new flow, to an endpoint."""
        self._meters.setdefault(endpoint, _Meter()).add(now)

    def on_mate(self, vm: str, rates: Rates, now: float) -> None:
        """A VM of the same zone told what it sends."""
        self._mates[vm] = _Report(now, rates)

    def on_zone(self, zone: str, rates: Rates, now: float) -> None:
        """A VM of another zone told what its zone sends."""
        self._zones[zone] = _Report(now, rates)

    def own(self, now: float) -> Rates:
        """Returns what this VM sends; idle endpoints are left out."""
        rates = {}
        for endpoint, meter in list(self._meters.items()):
            rate = meter.rate(now)
            if rate:
                rates[endpoint] = rate
            else:
                del self._meters[endpoint]
        return rates

    def zone(self, now: float) -> Rates:
        """Returns what this zone's VMs send."""
        return _total([self.own(now), *_fresh(self._mates, now)])

    def total(self, now: float) -> Rates:
        """Returns what all VMs send."""
        return _total([self.zone(now), *_fresh(self._zones, now)])


def _fresh(reports: dict[str, _Report], now: float) -> list[Rates]:
    for name, report in list(reports.items()):
        if now - report.at > REPORT_LIFE_S:
            del reports[name]
    return [report.rates for report in reports.values()]


def _total(parts: list[Rates]) -> Rates:
    total: Rates = collections.defaultdict(float)
    for rates in parts:
        for endpoint, rate in rates.items():
            total[endpoint] += rate
    return total
