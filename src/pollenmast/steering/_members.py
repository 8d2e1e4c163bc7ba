"""Membership of the fleet, and the choice of each zone's readers.

Every call to the directory and every message between VMs is counted and paid
for. If every VM watched the directory, each change would be sent once per VM.
If every VM reported its load to every other, the number of messages would grow
with the square of the fleet. Therefore only a few VMs of each zone, its
readers, watch the directory, and they collect the reports of the others.

Readers are not elected. Each VM computes them from the members that it knows
and skips those that do not answer it. VMs with the highest link bandwidth are
preferred: at 5 Mbit/s a reader needs 0.6 s to receive a configuration of a
thousand routes, which it then forwards to its zone. On a slow link that
transfer displaced clients' packets and health checks, and the reader took live
endpoints for dead.

The VMs' views may differ for seconds. Any VM that is asked answers with what
it knows, so a wrong choice of reader only makes the data less fresh.
"""

import math
import zlib
from collections.abc import Iterable

import attrs

READERS_PER_ZONE = 2
"""Readers per zone: one can fail without an interruption."""

SINGLE_READER_MAX_VMS = 4
"""The largest number of VMs with which a zone has only one reader. The zones
exchange reports, which covers the loss of that reader."""

ANSWER_TIMEOUT_S = 1.4
"""Time without an answer after which a VM is not chosen as a reader, in
seconds. Readers are queried in turn twice a second, so one lost answer alone
does not change the choice."""

EXCLUSION_S = 6.0
"""How long a VM that did not answer is not chosen as a reader, in seconds.
After a restart or network partition of usual length it is queried again; a
message from it ends the exclusion at once."""

HEARD_TIMEOUT_S = 2.5
"""How long after its last message a VM counts as heard from, in seconds: time
for two missed reports. Only VMs heard from directly are announced to others;
otherwise VMs would keep a dead member alive by announcing it to each other."""

MEMBER_TIMEOUT_S = 6.0
"""A VM that was neither heard from nor announced by others for this many
seconds is considered lost and removed."""

MAX_MEMBERS = 4096
"""Maximum number of other VMs known, and of lost ones that are contacted. The
addresses come from datagrams."""

MAX_CONTACT_ATTEMPTS = 60
"""How many times a lost VM is contacted again, once every second or two. A
zone may be partitioned for longer than its VMs are remembered; afterwards one
side has to make contact first."""


@attrs.frozen
class _Ranking:
    """A zone's readers, valid until an exclusion ends."""

    readers: list[str]
    valid_until: float


@attrs.define
class _Member:
    zone: str
    rank: int
    last_seen_at: float
    link_mbps: int = 0
    heard_at: float = float("-inf")
    queried_at: float | None = None
    excluded_until: float = float("-inf")


class Members:
    """The other VMs known to this one, by their address for reports."""

    def __init__(
        self,
        own: str,
        zone: str,
        seeds: Iterable[str] = (),
        link_mbps: int = 0,
    ):
        self._own_host = own
        self._zone = zone
        self._link_mbps = link_mbps
        self._members: dict[str, _Member] = {}
        self._seeds = set(seeds) - {own}
        self._contact_attempts: dict[str, int] = {}
        self._rankings: dict[str, _Ranking] = {}
        self._joined_at = float("-inf")

    @property
    def joined_at(self) -> float:
        """When this VM last learned of a new member."""
        return self._joined_at

    @property
    def hosts(self) -> list[str]:
        """The addresses of all other known VMs."""
        return list(self._members)

    @property
    def zone_peers(self) -> list[str]:
        """The addresses of the other VMs of this VM's zone."""
        return [
            host
            for host, member in self._members.items()
            if member.zone == self._zone
        ]

    @property
    def other_zones(self) -> list[str]:
        """The other zones that have a known VM, sorted."""
        zones = {m.zone for m in self._members.values()}
        return sorted(zones - {self._zone})

    def heard_from(self, zone: str, now: float) -> list[str]:
        """Returns the VMs of a zone that were heard from recently."""
        return [
            host
            for host, member in self._members.items()
            if member.zone == zone and now - member.heard_at < HEARD_TIMEOUT_S
        ]

    def not_heard_from(self, now: float) -> list[str]:
        """Returns the VMs of this VM's zone known only from others.

        Two VMs that each consider themselves the reader get in contact only if
        one of them queries the other.
        """
        heard = self.heard_from(self._zone, now)
        return sorted(set(self.zone_peers) - set(heard))

    def contact_candidates(self) -> list[str]:
        """Returns VMs to contact that are no members: seeds and lost VMs.

        Each call counts as one attempt to contact every lost VM.
        """
        for host in list(self._contact_attempts):
            self._contact_attempts[host] += 1
            if self._contact_attempts[host] > MAX_CONTACT_ATTEMPTS:
                del self._contact_attempts[host]
        return sorted(
            {*self._seeds, *self._contact_attempts} - set(self._members)
        )

    def link_mbps(self, host: str) -> int:
        """Returns the bandwidth of a VM's link in Mbit/s, 0 if unknown."""
        member = self._members.get(host)
        return member.link_mbps if member is not None else 0

    def on_heard(
        self, host: str, zone: str, now: float, link_mbps: int = 0
    ) -> None:
        """Handles any message received from a VM."""
        if host == self._own_host:
            return
        self.on_announced(host, zone, now, link_mbps)
        member = self._members.get(host)
        if member is None:
            return
        if member.zone != zone or member.excluded_until > now:
            self._rankings.clear()
        member.zone = zone
        member.heard_at = now
        member.queried_at = None
        member.excluded_until = float("-inf")

    def on_announced(
        self, host: str, zone: str, now: float, link_mbps: int = 0
    ) -> None:
        """Handles another VM's announcement that it has heard from `host`."""
        if host == self._own_host:
            return
        member = self._members.get(host)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return
            rank = zlib.crc32(f"{zone}/{host}".encode())
            member = self._members[host] = _Member(zone, rank, now)
            self._contact_attempts.pop(host, None)
            self._rankings.clear()
            self._joined_at = now
        member.last_seen_at = now
        if link_mbps and link_mbps != member.link_mbps:
            member.link_mbps = link_mbps
            self._rankings.clear()

    def on_queried(self, host: str, now: float) -> None:
        """Records a query to another VM whose answer is now expected."""
        member = self._members.get(host)
        if member is not None and member.queried_at is None:
            member.queried_at = now

    def expire(self, now: float) -> None:
        """Removes lost VMs and excludes VMs that did not answer in time."""
        for host, member in list(self._members.items()):
            if now - member.last_seen_at >= MEMBER_TIMEOUT_S:
                del self._members[host]
                if len(self._contact_attempts) < MAX_MEMBERS:
                    self._contact_attempts[host] = 0
                self._rankings.clear()
                continue
            queried_at = member.queried_at
            if queried_at is not None and now - queried_at >= ANSWER_TIMEOUT_S:
                member.queried_at = None
                member.excluded_until = now + EXCLUSION_S
                self._rankings.clear()

    def readers(self, now: float, zone: str | None = None) -> list[str]:
        """Returns the readers of a zone, by default of this VM's zone.

        Among links of equal bandwidth rendezvous hashing decides, so that the
        loss of a VM reassigns only that VM's role.
        """
        zone = self._zone if zone is None else zone
        ranking = self._rankings.get(zone)
        if ranking is None or now >= ranking.valid_until:
            ranking = self._rankings[zone] = self._rank(zone, now)
        return list(ranking.readers)

    def _rank(self, zone: str, now: float) -> _Ranking:
        ranked = []
        valid_until = math.inf
        for host, member in self._members.items():
            if member.zone != zone:
                continue
            if member.excluded_until > now:
                valid_until = min(valid_until, member.excluded_until)
                continue
            ranked.append((-member.link_mbps, member.rank, host))
        if zone == self._zone:
            rank = zlib.crc32(f"{zone}/{self._own_host}".encode())
            ranked.append((-self._link_mbps, rank, self._own_host))
        ranked.sort()
        count = 1 if len(ranked) <= SINGLE_READER_MAX_VMS else READERS_PER_ZONE
        return _Ranking([host for *_, host in ranked[:count]], valid_until)

    def is_reader(self, now: float) -> bool:
        """Whether this VM is one of its zone's readers."""
        return self._own_host in self.readers(now)
