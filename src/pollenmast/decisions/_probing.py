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
from pollenmast.peers._gossip import ProbeUpdate

PROBERS = 2
"""Number of VMs that probe an endpoint. With two, reports continue while one of
them is frozen or dead."""

FAILURES_UNTIL_UNHEALTHY = 2
"""Consecutive unanswered probes after which an endpoint is reported unhealthy.
A single lost answer is no outage; the second probe follows half a second
later."""

REPORT_LEASE_S = 5.0
"""Time without a new report after which a prober's last report is discarded, in
seconds: the prober is cut off and its report is outdated. It is longer than
two intervals of `RESEND_INTERVAL_S`."""

RESEND_INTERVAL_S = 2.0
"""Interval at which an unchanged report is sent again, in seconds."""

_SLOW_START_UPTIME_S = 60.0
"""The first minute of an endpoint's uptime, in seconds. No code uses it."""

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
    by_zone = _group_by_zone(live)
    endpoints = [
        (service.number, endpoint)
        for service in services
        for endpoint in service.endpoints
        if zone in (None, endpoint.zone)
        or len(by_zone.get(endpoint.zone, ())) < PROBERS
    ]
    limits = _probe_limits(endpoints, by_zone)
    taken: collections.Counter[str] = collections.Counter()
    assigned = {}
    for number, endpoint in endpoints:
        ranked = _rank_vms(number, endpoint, by_zone)
        limit = limits.get(endpoint.zone, 0)
        available = [
            vm.name
            for vm in ranked
            if vm.zone == endpoint.zone and taken[vm.name] < limit
        ]
        # If no VM of the zone has capacity left, the next VMs by rank follow.
        names = list(dict.fromkeys(available + [vm.name for vm in ranked]))
        assigned[number, endpoint.name] = names[:PROBERS]
        taken.update(names[:PROBERS])
    return assigned


@attrs.frozen
class _HashedVm:
    """A VM and the hash of its name.

    The hash is combined with the hash of each endpoint to rank the VMs.
    """

    vm: Vm
    seed: int


def _group_by_zone(vms: list[Vm]) -> dict[str, list[_HashedVm]]:
    by_zone: dict[str, list[_HashedVm]] = {}
    for vm in vms:
        entry = _HashedVm(vm, xxhash.xxh64_intdigest(vm.name.encode()))
        by_zone.setdefault(vm.zone, []).append(entry)
    return by_zone


def _probe_limits(
    endpoints: list[tuple[int, Endpoint]], by_zone: dict[str, list[_HashedVm]]
) -> dict[str, int]:
    """Returns the maximum number of endpoints per VM, by zone."""
    wanted = collections.Counter(each.zone for _, each in endpoints)
    return {
        zone: math.ceil(PROBERS * wanted[zone] / len(zone_vms))
        for zone, zone_vms in by_zone.items()
    }


def _rank_vms(
    number: int, endpoint: Endpoint, by_zone: dict[str, list[_HashedVm]]
) -> list[Vm]:
    """Returns the VMs by rank for an endpoint, those of its zone first.

    VMs of other zones are included only if the endpoint's zone has too few.
    """
    name = f"{number}/{endpoint.name}".encode()
    seed = xxhash.xxh64_intdigest(name)

    def rank(entry: _HashedVm) -> int:
        return mix(seed ^ entry.seed)

    own = sorted(by_zone.get(endpoint.zone, ()), key=rank)
    others: list[_HashedVm] = []
    if len(own) < PROBERS:
        others = sorted(
            (
                entry
                for zone, entries in by_zone.items()
                if zone != endpoint.zone
                for entry in entries
            ),
            key=rank,
        )
    return [entry.vm for entry in (*own, *others)]


def is_significant(old: EndpointReport | None, new: EndpointReport) -> bool:
    """Returns whether a report differs enough to be sent immediately."""
    if old is None or old.healthy != new.healthy:
        return True
    if (old.running, old.queued) != (new.running, new.queued):
        return True
    if new.uptime_s < old.uptime_s:
        return True
    # A change of one twentieth of the connections affects no decision.
    difference = abs(old.connections - new.connections)
    return difference * 20 > max(20, old.connections)


@attrs.define
class _ReceivedReport:
    update: ProbeUpdate
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
        self._own_prober = own_prober
        self._floor = floor
        self._reports: dict[_Key, dict[int, _ReceivedReport]] = {}
        self._sent: dict[_Key, tuple[EndpointReport, float]] = {}
        self._failures: dict[_Key, int] = {}

    def next_sequence(self, service: int, endpoint: str) -> int:
        """Returns a sequence number above all known ones of this endpoint."""
        received = self._reports.get((service, endpoint), {})
        known_sequences = (
            each.update.report.sequence for each in received.values()
        )
        return max(known_sequences, default=self._floor) + 1

    def record_local(
        self, report: EndpointReport, now: float, answered: bool = True
    ) -> ProbeUpdate | None:
        """Records the result of a probe by the local VM.

        A report that differs little from the last one sent is sent again only
        after `RESEND_INTERVAL_S`.

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
            report = self._ignore_first_failure(key, report)
        else:
            self._failures.pop(key, None)
        if report is None:
            return None
        update = ProbeUpdate(self._own_prober, report)
        self._reports.setdefault(key, {})[self._own_prober] = _ReceivedReport(
            update, now
        )
        sent, sent_at_s = self._sent.get(key, (None, now))
        if (
            not is_significant(sent, report)
            and now - sent_at_s < RESEND_INTERVAL_S
        ):
            return None
        self._sent[key] = (report, now)
        return update

    def record_peer(self, update: ProbeUpdate, now: float) -> bool:
        """Records a peer's report; returns whether it was not yet known."""
        key = (update.report.service, update.report.endpoint)
        by_prober = self._reports.setdefault(key, {})
        known = by_prober.get(update.prober)
        if update.prober == self._own_prober:
            return False
        if known and known.update.report.sequence >= update.report.sequence:
            return False
        by_prober[update.prober] = _ReceivedReport(update, now)
        return True

    def view(self, now: float) -> tuple[EndpointReport, ...]:
        """Returns one merged report per endpoint, without expired reports."""
        merged = []
        for key in list(self._reports):
            self._expire(key, now)
            report = self._merge(key)
            if report is not None:
                merged.append(report)
        return tuple(merged)

    def keep_only(self, keys: set[_Key]) -> None:
        """Removes all endpoints but `keys`, those of the manifest."""
        for table in (self._reports, self._sent, self._failures):
            for key in [key for key in table if key not in keys]:
                del table[key]

    def forget_own(self, service: int, endpoint: str) -> None:
        """Removes the local reports of an endpoint that others probe now."""
        key = (service, endpoint)
        self._reports.get(key, {}).pop(self._own_prober, None)
        self._sent.pop(key, None)
        self._failures.pop(key, None)

    def _ignore_first_failure(
        self, key: _Key, report: EndpointReport
    ) -> EndpointReport | None:
        failures = self._failures.get(key, 0) + 1
        self._failures[key] = failures
        latest = self._reports.get(key, {}).get(self._own_prober)
        if failures < FAILURES_UNTIL_UNHEALTHY and latest is not None:
            return None
        return report

    def _expire(self, key: _Key, now: float) -> None:
        by_prober = self._reports[key]
        for prober, received in list(by_prober.items()):
            if now - received.heard_s > REPORT_LEASE_S:
                del by_prober[prober]
        if not by_prober:
            del self._reports[key]

    def _merge(self, key: _Key) -> EndpointReport | None:
        """Returns the report to use for an endpoint, or None without one.

        A healthy report takes precedence over an unhealthy one, because one
        prober may be cut off from a healthy endpoint. If the endpoint is down
        or takes no work, both probers report it within one probe interval.
        """
        received = self._reports.get(key, {}).values()
        if not received:
            return None
        newest = max(
            received,
            key=lambda each: (
                each.update.report.healthy,
                each.update.report.sequence,
                each.heard_s,
            ),
        )
        return newest.update.report
