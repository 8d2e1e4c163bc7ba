"""Assignment of endpoint probes to VMs, and aggregation of their reports.

Every VM needs the load of every endpoint, but the rate of reads on an
endpoint's health port must stay bounded. If every VM probed, an endpoint would
be probed thousands of times per second in a large fleet. If a single VM did,
the report would not change while that VM is frozen. Therefore two VMs probe
each endpoint and share their reports with the other VMs.
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
"""Number of VMs that probe an endpoint. With two, reports continue while one of
them is frozen or dead."""

FAILURES = 2
"""Consecutive unanswered probes after which an endpoint is reported unhealthy.
A single lost answer is no outage; the second probe follows half a second
later."""

REPORT_LEASE_S = 5.0
"""Time without a new report after which a prober's last report is discarded, in
seconds: the prober is cut off and its report is outdated. It is longer than
two intervals of `REFRESH_S`."""

REFRESH_S = 2.0
"""Interval at which an unchanged report is sent again, in seconds."""

_UPTIME_MATTERS_S = 60.0
"""Uptime up to which slow start depends on it, in seconds."""

_Key = tuple[int, str]


def assignments(
    services: Iterable[Service], vms: Iterable[Vm], zone: str | None = None
) -> dict[_Key, list[str]]:
    """Returns the names of the VMs that probe each endpoint.

    Every VM computes the same result from the manifest and its members. VMs in
    the endpoint's availability zone take precedence, because their probes and
    their reports continue while the network between zones is partitioned.
    Rendezvous hashing reassigns few probes when a VM joins or leaves. The limit
    per VM keeps one VM from probing twice as many endpoints as another, which
    would show in its processor load.

    Args:
        services: The services of the manifest.
        vms: All known VMs.
        zone: If given, endpoints that no VM of this zone can be assigned to
            are left out. With 1,400 VMs and 11,000 endpoints, this saves
            nearly all of the work.

    Returns:
        The probers' names by service number and endpoint name.
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
        # If no VM of the zone has capacity left, the next VMs by rank follow.
        names = list(dict.fromkeys(room + [vm.name for vm in ranked]))
        assigned[number, endpoint.name] = names[:PROBERS]
        taken.update(names[:PROBERS])
    return assigned


@attrs.frozen
class _Ranked:
    """A VM and the hash of its name.

    The hash is combined with the hash of each endpoint to rank the VMs.
    """

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
    """Returns the maximum number of endpoints per VM, by zone."""
    wanted = collections.Counter(each.zone for _, each in endpoints)
    return {
        zone: math.ceil(PROBERS * wanted[zone] / len(there))
        for zone, there in by_zone.items()
    }


def _ranked(
    number: int, endpoint: Endpoint, by_zone: dict[str, list[_Ranked]]
) -> list[Vm]:
    """Returns the VMs by rank for an endpoint, those of its zone first.

    VMs of other zones are included only if the endpoint's zone has too few.
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
    """Returns whether a report differs enough to be sent before its refresh."""
    if old is None or old.healthy != new.healthy:
        return True
    if (old.running, old.queued) != (new.running, new.queued):
        return True
    if new.uptime_s < old.uptime_s:
        return True
    # A change of one twentieth of the connections affects no decision.
    moved = abs(old.connections - new.connections)
    return moved * 20 > max(20, old.connections)


@attrs.define
class _Kept:
    news: ProbeNews
    heard_s: float


class Reports:
    """The latest report about each endpoint from each of its probers."""

    def __init__(self, own_prober: int, floor: int):
        """Creates an empty collection.

        Args:
            own_prober: Prober number of the local VM.
            floor: Sequence numbers start above this value. It is the wall
                clock in seconds, so that the numbers keep increasing when the
                whole fleet is restarted.
        """
        self._own = own_prober
        self._floor = floor
        self._kept: dict[_Key, dict[int, _Kept]] = {}
        self._told: dict[_Key, tuple[EndpointReport, float]] = {}
        self._failures: dict[_Key, int] = {}

    def next_sequence(self, service: int, endpoint: str) -> int:
        """Returns a sequence number above all known ones of this endpoint."""
        kept = self._kept.get((service, endpoint), {})
        heard = (each.news.report.sequence for each in kept.values())
        return max(heard, default=self._floor) + 1

    def own(
        self, report: EndpointReport, now: float, answered: bool = True
    ) -> ProbeNews | None:
        """Records the result of a probe by the local VM.

        Args:
            report: The endpoint's report, or an unhealthy report if it did
                not answer.
            now: Current time of the runtime's clock, in seconds.
            answered: Whether the endpoint answered. A first missing answer is
                ignored. An answer in which the endpoint announces that it
                leaves takes effect immediately; otherwise the endpoint would
                be given new work for seconds more.

        Returns:
            The report to send to peers, or None if none needs to be sent.
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
        """Records a peer's report; returns whether it was not yet known."""
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
        """Returns one merged report per endpoint, without expired reports."""
        merged = []
        for key in list(self._kept):
            self._expire(key, now)
            report = self._merge(key)
            if report is not None:
                merged.append(report)
        return tuple(merged)

    def keep_only(self, keys: set[_Key]) -> None:
        """Removes all endpoints but `keys`, those of the manifest."""
        for table in (self._kept, self._told, self._failures):
            for key in [key for key in table if key not in keys]:
                del table[key]

    def forget_own(self, service: int, endpoint: str) -> None:
        """Removes the local reports of an endpoint that others probe now."""
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
        """Returns the report to use for an endpoint, or None without one.

        A healthy report takes precedence over an unhealthy one, because one
        prober may be cut off from a healthy endpoint. If the endpoint is down
        or takes no work, both probers report it within one probe interval.
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
