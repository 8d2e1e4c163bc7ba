"""Which VMs there are, and which of each zone are its readers.

Load pattern: every call to the directory and every message between VMs is
counted and paid for. If each VM watched the directory, a change would be told
as often as there are VMs; if each VM told each other one its load, messages
would grow with the square of the fleet. So a few VMs of each zone, its
readers, watch the directory and gather the reports of the others.

Nobody appoints a reader. Each VM computes them from the VMs that it knows and
passes over one that does not answer it. The widest links come first: a
configuration of a thousand routes takes a reader 0.6 s at 5 Mbit/s and is then
handed on to the zone. Over a narrow link that kept out clients' packets and
health checks, and the reader took living endpoints for dead. Views may differ
for seconds: whoever is asked answers as well as it can, so a wrong choice costs
freshness only.
"""

import math
import zlib
from collections.abc import Iterable

import attrs

READERS = 2
"""Readers of a zone: one can be lost without a gap."""

SMALL_ZONE = 4
"""Up to so many VMs a zone has one reader: the zones hear from each other,
and the loss of one reader is bridged by them."""

SILENT_S = 1.4
"""A reader that has not answered for so long is passed over. Readers are
asked in turn twice a second: one lost answer alone does not change them."""

AVOID_S = 6.0
"""For how long; it is asked again after the usual restart or cut. Hearing
from it ends this at once."""

HEARD_S = 2.5
"""A VM counts as heard from for so long: two of its reports were missed. Only
who was heard from is named to others, so that a dead VM is not kept alive by
hearsay."""

MEMBER_LIFE_S = 6.0
"""A VM that was neither heard from nor named for so long is lost."""

MOST_TRIES = 60
"""How often a lost VM is asked whether it is back, once a second or two: a
zone may be cut off for longer than its VMs are remembered, and after the cut
somebody must speak first."""


@attrs.frozen
class _Ranking:
    """A zone's readers, until one that is passed over is asked again."""

    readers: list[str]
    valid_until: float


@attrs.define
class _Member:
    zone: str
    rank: int
    known_at: float
    link_mbps: int = 0
    heard_at: float = float("-inf")
    asked_at: float | None = None
    avoided_until: float = float("-inf")


class Members:
    """The VMs that one VM knows, by the address that they are told at."""

    def __init__(
        self,
        own: str,
        zone: str,
        seeds: Iterable[str] = (),
        link_mbps: int = 0,
    ):
        self._own = own
        self._zone = zone
        self._link_mbps = link_mbps
        self._members: dict[str, _Member] = {}
        self._seeds = set(seeds) - {own}
        self._lost: dict[str, int] = {}
        self._ranked: dict[str, _Ranking] = {}
        self._joined_at = float("-inf")

    @property
    def joined_at(self) -> float:
        """When this VM last learned of a VM that it had not known."""
        return self._joined_at

    @property
    def hosts(self) -> list[str]:
        """Every other VM known."""
        return list(self._members)

    @property
    def mates(self) -> list[str]:
        """The other VMs of the own zone."""
        return [
            host
            for host, member in self._members.items()
            if member.zone == self._zone
        ]

    @property
    def other_zones(self) -> list[str]:
        """The other zones that have a VM."""
        zones = {m.zone for m in self._members.values()}
        return sorted(zones - {self._zone})

    def heard(self, zone: str, now: float) -> list[str]:
        """Returns the VMs of a zone that this one hears from."""
        return [
            host
            for host, member in self._members.items()
            if member.zone == zone and now - member.heard_at < HEARD_S
        ]

    def unheard(self, now: float) -> list[str]:
        """Returns the VMs of the own zone that were only named to it.

        Two VMs that each take themselves for the reader meet only if one of
        them asks.
        """
        heard = self.heard(self._zone, now)
        return sorted(set(self.mates) - set(heard))

    def strangers(self) -> list[str]:
        """Returns VMs to ask who they are: seeds and those that were lost."""
        for host in list(self._lost):
            self._lost[host] += 1
            if self._lost[host] > MOST_TRIES:
                del self._lost[host]
        return sorted({*self._seeds, *self._lost} - set(self._members))

    def link_mbps(self, host: str) -> int:
        """Returns the width of a VM's link, 0 if nobody has told it."""
        member = self._members.get(host)
        return member.link_mbps if member is not None else 0

    def on_heard(
        self, host: str, zone: str, now: float, link_mbps: int = 0
    ) -> None:
        """A VM has sent something."""
        if host == self._own:
            return
        self.on_named(host, zone, now, link_mbps)
        member = self._members[host]
        if member.zone != zone or member.avoided_until > now:
            self._ranked.clear()
        member.zone = zone
        member.heard_at = now
        member.asked_at = None
        member.avoided_until = float("-inf")

    def on_named(
        self, host: str, zone: str, now: float, link_mbps: int = 0
    ) -> None:
        """Another VM has heard from this one lately."""
        if host == self._own:
            return
        member = self._members.get(host)
        if member is None:
            rank = zlib.crc32(f"{zone}/{host}".encode())
            member = self._members[host] = _Member(zone, rank, now)
            self._lost.pop(host, None)
            self._ranked.clear()
            self._joined_at = now
        member.known_at = now
        if link_mbps and link_mbps != member.link_mbps:
            member.link_mbps = link_mbps
            self._ranked.clear()

    def on_asked(self, host: str, now: float) -> None:
        """This VM has asked another one and expects an answer."""
        member = self._members.get(host)
        if member is not None and member.asked_at is None:
            member.asked_at = now

    def expire(self, now: float) -> None:
        """Forgets who is lost, and passes over who does not answer."""
        for host, member in list(self._members.items()):
            if now - member.known_at >= MEMBER_LIFE_S:
                del self._members[host]
                self._lost[host] = 0
                self._ranked.clear()
                continue
            asked_at = member.asked_at
            if asked_at is not None and now - asked_at >= SILENT_S:
                member.asked_at = None
                member.avoided_until = now + AVOID_S
                self._ranked.clear()

    def readers(self, now: float, zone: str | None = None) -> list[str]:
        """Returns the readers of a zone, by default the own one.

        Among links of the same width, rendezvous hashing: the loss of a VM
        moves only its own turn.
        """
        zone = self._zone if zone is None else zone
        known = self._ranked.get(zone)
        if known is None or now >= known.valid_until:
            known = self._ranked[zone] = self._rank(zone, now)
        return list(known.readers)

    def _rank(self, zone: str, now: float) -> _Ranking:
        ranked = []
        valid_until = math.inf
        for host, member in self._members.items():
            if member.zone != zone:
                continue
            if member.avoided_until > now:
                valid_until = min(valid_until, member.avoided_until)
                continue
            ranked.append((-member.link_mbps, member.rank, host))
        if zone == self._zone:
            rank = zlib.crc32(f"{zone}/{self._own}".encode())
            ranked.append((-self._link_mbps, rank, self._own))
        ranked.sort()
        count = 1 if len(ranked) <= SMALL_ZONE else READERS
        return _Ranking([host for *_, host in ranked[:count]], valid_until)

    def is_reader(self, now: float) -> bool:
        """Whether this VM is one of its zone's readers."""
        return self._own in self.readers(now)
