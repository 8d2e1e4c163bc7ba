"""Who probes an endpoint, and what the fleet's probes say of it.

The pattern: each VM needs every endpoint's load, while the endpoints' health
ports stay bounded in reads. If every VM probed, an endpoint of a large fleet
would be probed thousands of times a second; if one VM did, a frozen prober
would freeze the report. Two probe each endpoint and tell the others.
"""

import collections
import math
from collections.abc import Iterable

import attrs
import xxhash

from pollenmast.decisions._rendezvous import mix
from pollenmast.fleet import EndpointReport, Vm, VmState
from pollenmast.manifest import Endpoint, Service
from pollenmast.peers._gossip import ProbeNews

PROBERS = 2
"""Probers of an endpoint: one may freeze or die without a gap."""

FAILURES = 2
"""Probes in a row that must fail before an endpoint is told unhealthy. One
lost answer is no outage; the second probe follows half a second later."""

REPORT_LEASE_S = 5.0
"""A prober unheard for so long no longer counts, in seconds: it is cut off,
and what it said is old. More than two refresh times."""

REFRESH_S = 2.0
"""An unchanged report is told again after so long, in seconds."""

_UPTIME_MATTERS_S = 60.0
"""Slow start looks at the first minute only."""

_Key = tuple[int, str]


def assignments(
    services: Iterable[Service], vms: Iterable[Vm], zone: str | None = None
) -> dict[_Key, list[str]]:
    """Returns the names of the VMs that probe each endpoint.

    Every VM computes the same from the manifest and its members. VMs of the
    endpoint's own availability zone come first: their probes outlast a cut
    between zones, and so does what they tell. Rendezvous hashing moves few
    probes when a VM comes or goes; the bound on a VM's share keeps one VM
    from probing twice as much as the next, which its processor shows.

    Args:
        services: The services of the manifest.
        vms: All VMs known.
        zone: Leave out the endpoints that no VM of this zone may probe. At
            1,400 VMs and 11,000 endpoints that is nearly all of the work.
    """
    live = [vm for vm in vms if vm.state in (VmState.ALIVE, VmState.SUSPECT)]
    by_zone = _by_zone(live)
    endpoints = [
        (service.number, endpoint)
        for service in services
        for endpoint in service.endpoints
        if zone in (None, endpoint.zone)
        or len(by_zone.get(endpoint.zone, ())) < PROBERS
    ]
    shares = _shares(endpoints, by_zone)
    taken: collections.Counter[str] = collections.Counter()
    assigned = {}
    for number, endpoint in endpoints:
        ranked = _ranked(number, endpoint, by_zone)
        share = shares.get(endpoint.zone, 0)
        room = [
            vm.name
            for vm in ranked
            if vm.zone == endpoint.zone and taken[vm.name] < share
        ]
        # Without room in its own zone, whoever comes next by rank.
        names = list(dict.fromkeys(room + [vm.name for vm in ranked]))
        assigned[number, endpoint.name] = names[:PROBERS]
        taken.update(names[:PROBERS])
    return assigned


@attrs.frozen
class _Ranked:
    """A VM and the hash of its name, which each endpoint's is mixed with."""

    vm: Vm
    seed: int


def _by_zone(vms: list[Vm]) -> dict[str, list[_Ranked]]:
    by_zone: dict[str, list[_Ranked]] = {}
    for vm in vms:
        entry = _Ranked(vm, xxhash.xxh64_intdigest(vm.name.encode()))
        by_zone.setdefault(vm.zone, []).append(entry)
    return by_zone


def _shares(
    endpoints: list[tuple[int, Endpoint]], by_zone: dict[str, list[_Ranked]]
) -> dict[str, int]:
    """Returns how many endpoints a VM of each zone should probe at most."""
    wanted = collections.Counter(each.zone for _, each in endpoints)
    return {
        zone: math.ceil(PROBERS * wanted[zone] / len(there))
        for zone, there in by_zone.items()
    }


def _ranked(
    number: int, endpoint: Endpoint, by_zone: dict[str, list[_Ranked]]
) -> list[Vm]:
    """Returns the VMs in the endpoint's order, those of its zone first.

    Other zones are ranked only where its own has too few.
    """
    name = f"{number}/{endpoint.name}".encode()
    seed = xxhash.xxh64_intdigest(name)

    def place(entry: _Ranked) -> int:
        return mix(seed ^ entry.seed)

    own = sorted(by_zone.get(endpoint.zone, ()), key=place)
    others: list[_Ranked] = []
    if len(own) < PROBERS:
        others = sorted(
            (
                entry
                for zone, entries in by_zone.items()
                if zone != endpoint.zone
                for entry in entries
            ),
            key=place,
        )
    return [entry.vm for entry in (*own, *others)]


def matters(old: EndpointReport | None, new: EndpointReport) -> bool:
    """Returns whether a report is worth its bytes before its refresh."""
    if old is None or old.healthy != new.healthy:
        return True
    if (old.running, old.queued) != (new.running, new.queued):
        return True
    if new.uptime_s < old.uptime_s:
        return True
    # One part in twenty of the connections moves no decision.
    moved = abs(old.connections - new.connections)
    return moved * 20 > max(20, old.connections)


@attrs.define
class _Kept:
    news: ProbeNews
    heard_s: float


class Reports:
    """The newest report of each endpoint by each of its probers."""

    def __init__(self, own_prober: int, floor: int):
        """Starts empty.

        Args:
            own_prober: Number of this VM as a prober.
            floor: Sequences start above it. Seconds of the wall clock, so
                that a fleet restarted as a whole goes on upwards.
        """
        self._own = own_prober
        self._floor = floor
        self._kept: dict[_Key, dict[int, _Kept]] = {}
        self._told: dict[_Key, tuple[EndpointReport, float]] = {}
        self._failures: dict[_Key, int] = {}

    def next_sequence(self, service: int, endpoint: str) -> int:
        """Returns a sequence above all that were heard of this endpoint."""
        kept = self._kept.get((service, endpoint), {})
        heard = (each.news.report.sequence for each in kept.values())
        return max(heard, default=self._floor) + 1

    def own(
        self, report: EndpointReport, now: float, answered: bool = True
    ) -> ProbeNews | None:
        """Takes a probe of this VM; returns it where peers should hear it.

        Args:
            report: What the endpoint said, or an unhealthy report without it.
            now: The runtime's clock, in seconds.
            answered: Whether it said so itself. A lost answer is doubted
                once; an endpoint that says that it leaves is believed at
                once, or it would get new work for seconds more.
        """
        key = (report.service, report.endpoint)
        if not answered:
            report = self._damped(key, report)
        else:
            self._failures.pop(key, None)
        if report is None:
            return None
        news = ProbeNews(self._own, report)
        self._kept.setdefault(key, {})[self._own] = _Kept(news, now)
        told, told_s = self._told.get(key, (None, now))
        if not matters(told, report) and now - told_s < REFRESH_S:
            return None
        self._told[key] = (report, now)
        return news

    def heard(self, news: ProbeNews, now: float) -> bool:
        """Takes a peer's news; returns whether it is new here."""
        key = (news.report.service, news.report.endpoint)
        by_prober = self._kept.setdefault(key, {})
        known = by_prober.get(news.prober)
        if news.prober == self._own:
            return False
        if known and known.news.report.sequence >= news.report.sequence:
            return False
        by_prober[news.prober] = _Kept(news, now)
        return True

    def view(self, now: float) -> tuple[EndpointReport, ...]:
        """Returns one report an endpoint, those expired left out."""
        merged = []
        for key in list(self._kept):
            self._expire(key, now)
            report = self._merge(key)
            if report is not None:
                merged.append(report)
        return tuple(merged)

    def keep_only(self, keys: set[_Key]) -> None:
        """Forgets endpoints that the manifest no longer names."""
        for table in (self._kept, self._told, self._failures):
            for key in [key for key in table if key not in keys]:
                del table[key]

    def forget_own(self, service: int, endpoint: str) -> None:
        """Drops own probes of an endpoint that others probe now."""
        key = (service, endpoint)
        self._kept.get(key, {}).pop(self._own, None)
        self._told.pop(key, None)
        self._failures.pop(key, None)

    def _damped(
        self, key: _Key, report: EndpointReport
    ) -> EndpointReport | None:
        failures = self._failures.get(key, 0) + 1
        self._failures[key] = failures
        kept = self._kept.get(key, {}).get(self._own)
        if failures < FAILURES and kept is not None:
            return None
        return report

    def _expire(self, key: _Key, now: float) -> None:
        by_prober = self._kept[key]
        for prober, kept in list(by_prober.items()):
            if now - kept.heard_s > REPORT_LEASE_S:
                del by_prober[prober]
        if not by_prober:
            del self._kept[key]

    def _merge(self, key: _Key) -> EndpointReport | None:
        """One prober may be cut off from the endpoint while it is well.

        So a healthy report wins over an unhealthy one. An endpoint that is
        down, or takes no work, is told so by both within a probe's time.
        """
        kept = self._kept.get(key, {}).values()
        if not kept:
            return None
        newest = max(
            kept,
            key=lambda each: (
                each.news.report.healthy,
                each.news.report.sequence,
                each.heard_s,
            ),
        )
        return newest.news.report
