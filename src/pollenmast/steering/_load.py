"""How much work each endpoint gets, from all VMs together.

Load pattern: each zone's endpoints are shared by several VMs, and zones have
unlike numbers of clients and endpoints. A VM that counts only its own
requests cannot see that its zone's last two endpoints are full while another
zone's stand idle: requests are turned away by the queue of two slots although
there was room.

Each request passes exactly one VM, so the VMs' counts add up. Readers hear
them from their zone's VMs and from other zones as one sum each; the other VMs
are told the total, in which they replace their own part by what they know to
have sent since. So what a VM has to hear does not grow with the fleet.
"""

import collections

import attrs

from pollenmast.steering._meter import Meter

WINDOW_S = 2.0
"""Over which requests are counted: long enough for a steady count, short
enough to follow flows that move within seconds."""

REPORT_LIFE_S = 4.0
"""A report older than this no longer counts: eight of them were missed."""

BETTER_S = 1.5
"""For so long a sum over more VMs is kept against one over fewer: a VM that
has just become a reader has heard from few yet."""

SETTLED_S = 4.0
"""How long a VM has to hear from others before it compares zones: when a fleet
starts at once, its zones hear of their own load first."""

LATE_WINDOW_S = 6.0
"""For how long a late request counts: the usual length of such a trouble."""

LATE_RATE = 5.0
"""Requests a second that one late request counts for. A single late one, which
any endpoint has now and then, moves few flows; several keep new ones away."""

Rates = dict[int, float]
"""Requests a second by endpoint number."""


@attrs.frozen
class _Report:
    at: float
    rates: Rates
    vms: int = 1
    floor: float = 0.0

    def replaces(self, other: "_Report | None") -> bool:
        if other is None or self.vms >= other.vms:
            return True
        return self.at - other.at >= BETTER_S


class LoadBook:
    """What one VM knows of all endpoints' load."""

    def __init__(self, zone: str):
        self._zone = zone
        self._meters: dict[int, Meter] = {}
        self._late: dict[int, Meter] = {}
        self._mates: dict[str, _Report] = {}
        self._zones: dict[str, _Report] = {}
        self._told: _Report | None = None
        self._reported: Rates = {}
        self._heard_since = float("-inf")
        self._heard_at = float("-inf")

    def on_work(self, endpoint: int, now: float) -> None:
        """This VM sent a request, or a new flow, to an endpoint."""
        self._meters.setdefault(endpoint, Meter(WINDOW_S)).add(now)

    def on_late(self, endpoint: int, now: float) -> None:
        """A request that this VM sent to an endpoint has become late."""
        self._late.setdefault(endpoint, Meter(LATE_WINDOW_S)).add(now)

    def on_mate(self, vm: str, rates: Rates, now: float) -> None:
        """A VM of the same zone told what it sends."""
        self._on_heard(now)
        self._mates[vm] = _Report(now, rates)

    def on_zone(self, zone: str, rates: Rates, vms: int, now: float) -> None:
        """A reader of another zone told what its zone's VMs send."""
        self._on_heard(now)
        report = _Report(now, rates, vms)
        if report.replaces(self._zones.get(zone)):
            self._zones[zone] = report

    def on_total(
        self, rates: Rates, vms: int, now: float, floor: float = 0.0
    ) -> None:
        """A reader of this zone told what all VMs send.

        Load pattern: a fleet has more endpoints than one report names. Taken
        for idle, those left out would draw flows away from every zone.

        Args:
            rates: The total, of the busiest endpoints.
            vms: How many VMs of this zone it has heard from.
            now: The runtime's clock in seconds.
            floor: What an endpoint counts for that is not named.
        """
        self._on_heard(now)
        report = _Report(now, rates, vms, floor)
        if report.replaces(self._told):
            self._told = report

    def report(self, now: float) -> Rates:
        """Returns what this VM sends, to be told to a reader."""
        self._reported = self.own(now)
        return self._reported

    def own(self, now: float) -> Rates:
        """Returns what this VM sends; idle endpoints are left out."""
        rates = _rates(self._meters, 1.0 / WINDOW_S, now)
        late = _rates(self._late, LATE_RATE, now)
        return _total([rates, late]) if late else rates

    def zone(self, now: float) -> Rates:
        """Returns what this zone's VMs send."""
        return _total([self.own(now), *_fresh(self._mates, now)])

    def vms(self, now: float) -> int:
        """Returns how many VMs of the zone this one hears from, and itself."""
        return len(_fresh(self._mates, now)) + 1

    def gathered(self, now: float) -> Rates:
        """Returns what all VMs send, by what this one has gathered itself.

        Only this is told to others: two VMs that told each other what they
        were told would keep the load of the dead alive.
        """
        return _total([self.zone(now), *_fresh(self._zones, now)])

    def is_settled(self, now: float) -> bool:
        """Whether the zones' loads can be compared.

        A VM hears of its own zone's load before it hears of the others', and
        of those from few VMs first. While all VMs start, each zone would take
        the others for idle and place most flows there, and a cut of a zone then
        breaks them.
        """
        if now - self._heard_at > REPORT_LIFE_S:
            return False
        return now - self._heard_since >= SETTLED_S

    def _on_heard(self, now: float) -> None:
        if now - self._heard_at > REPORT_LIFE_S:
            self._heard_since = now
        self._heard_at = now

    def rate(self, endpoint: int, now: float) -> float:
        """Returns what all VMs send to an endpoint, in requests a second.

        The sum of whoever has heard from more VMs counts. A flow is placed by
        the rates of a few endpoints: adding up those of all took most of the
        time of placing it.
        """
        own = self.own_rate(endpoint, now)
        if self.told_vms(now) <= self.vms(now):
            reports = [*_fresh(self._mates, now), *_fresh(self._zones, now)]
            return own + sum(rates.get(endpoint, 0.0) for rates in reports)
        told = self._told.rates.get(endpoint, self._told.floor)
        # The part that the told sum has of this VM is older than its own.
        return max(0.0, told + own - self._reported.get(endpoint, 0.0))

    def own_rate(self, endpoint: int, now: float) -> float:
        """Returns what this VM sends to an endpoint, in requests a second."""
        meter, late = self._meters.get(endpoint), self._late.get(endpoint)
        rate = meter.count(now) / WINDOW_S if meter is not None else 0.0
        return rate + (LATE_RATE * late.count(now) if late is not None else 0.0)

    def told_vms(self, now: float) -> int:
        """Returns how many VMs of the zone a reader hears from, 0 if untold."""
        told = self._told
        if told is None or now - told.at > REPORT_LIFE_S:
            return 0
        return told.vms


def _rates(meters: dict[int, Meter], weight: float, now: float) -> Rates:
    rates = {}
    for endpoint, meter in list(meters.items()):
        count = meter.count(now)
        if count:
            rates[endpoint] = weight * count
        else:
            del meters[endpoint]
    return rates


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
