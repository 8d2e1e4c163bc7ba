"""Which endpoints there are, and how surely.

An entry can vanish while its endpoint lives: the directory forgets entries
while it is down or cut off from the endpoints, and they are back within
about two seconds. Taken at its word it would empty a service, and callers
would be refused by the thousand. So an entry that vanished counts as lapsed
at first: its endpoint takes new flows only where no other can, and keeps its
open ones. What is still missing after the lapse is gone, once a health check
confirms it; only then are its flows ended.
"""

import functools
from collections.abc import Iterable

import attrs

from pollenmast.steering._changes import (
    EndpointAnnounced,
    EndpointRemoved,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._drains import Drains
from pollenmast.steering._model import Endpoint, Warmup
from pollenmast.steering._position import EARLIER_EPOCH
from pollenmast.steering._record import Presence, Record
from pollenmast.steering._watchlist import Watchlist

LAPSE_S = 2.3
"""How long a vanished entry may come back: the directory promises about two
seconds, and a new flow may reach a leaving endpoint for three."""

FORGET_S = 90.0
"""How long an endpoint that is gone is remembered, for the tokens of flows
to it: flows are at most a minute old."""


RESTORE_SETTLE_S = 5.0
"""How long what was known before the directory was restored goes before what
its copy lists, in seconds. By then endpoints that live have written again, and
the entries of others have lapsed."""


class Catalog:
    """The endpoints by name, token and service."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._by_token: dict[int, list[Record]] = {}
        self._by_number: dict[int, Record] = {}
        self._watchlist = Watchlist()
        self._lapsed: dict[str, Record] = {}
        self._drains = Drains()
        self._confirmed_at = float("-inf")
        self._settles_at: float | None = None

    @property
    def records(self) -> list[Record]:
        """Every endpoint remembered, those that are gone too."""
        return list(self._records.values())

    @property
    def drains(self) -> Drains:
        """The availability zones that take no new flows."""
        return self._drains

    @property
    def watchlist(self) -> Watchlist:
        """The endpoints whose health needs a look."""
        return self._watchlist

    def get(self, name: str) -> Record | None:
        """Returns an endpoint's record."""
        return self._records.get(name)

    def by_number(self, number: int) -> Record | None:
        """Returns the endpoint that other VMs name by this number."""
        return self._by_number.get(number)

    def by_token(self, token: int) -> Record | None:
        """Returns the endpoint that packets with this token go to.

        Where two names yield one token the least name has it on every VM;
        `owns_token` keeps new flows from the other one.
        """
        records = self._by_token.get(token)
        return records[0] if records else None

    def owns_token(self, record: Record) -> bool:
        """Whether packets with its token come to this endpoint."""
        return self.by_token(record.endpoint.token) is record

    def confirm(self, at: float) -> None:
        """The directory has said, then, that nothing else has changed."""
        self._confirmed_at = at

    def is_missing(self, record: Record) -> bool:
        """Whether an endpoint's entry vanished and will not come back.

        Only what the directory has said since counts: while it is away again
        no entry can come back, and a service would be emptied for nothing.
        """
        if record.presence is Presence.LAPSED:
            return self._confirmed_at - record.lapsed_at >= LAPSE_S
        return record.presence is Presence.GONE

    def is_drained(self, record: Record) -> bool:
        """Whether the operator has drained the zone of an endpoint."""
        return self._drains.is_drained(record.endpoint.zone)

    def serving(self, service: str) -> list[Record]:
        """Returns the endpoints of a service that are meant to be used.

        One whose entry stayed missing takes none, even if it still answers:
        it is leaving, and its address will be another's.
        """
        return [
            record
            for record in self._records.values()
            if record.endpoint.service == service
            and not record.endpoint.draining
            and not self.is_missing(record)
        ]

    def apply(self, update: Update, now: float) -> list[Record]:
        """Takes in what the directory told; returns what changed."""
        changed = []
        listed = set()
        for change in update.changes:
            if isinstance(change, EndpointAnnounced):
                listed.add(change.endpoint.name)
                changed += self._announce(change, now)
            elif isinstance(change, EndpointRemoved):
                changed += self._remove(change.name, change.revision, now)
        if update.whole:
            for name, record in list(self._records.items()):
                if name not in listed and record.revision <= update.revision:
                    changed += self._remove(name, update.revision, now)
        return changed

    def begin_epoch(self, now: float) -> None:
        """The directory was restored: what is known is older than its news."""
        self._settles_at = now + RESTORE_SETTLE_S
        self._drains.begin_epoch()
        for record in self._records.values():
            record.revision = EARLIER_EPOCH
            record.listed = None

    def settle(self, now: float) -> tuple[list[Record], list[ZoneRestored]]:
        """Takes the directory's word where an earlier epoch's still held.

        Returns:
            The endpoints and the zones that are in service again by it.
        """
        if self._settles_at is None or now < self._settles_at:
            return [], []
        self._settles_at = None
        listed = [r for r in self._records.values() if r.listed is not None]
        for record in listed:
            self._list(record, record.listed, now)
        return listed, self._drains.settle()

    def cool(
        self,
        zones: Iterable[ZoneDrained | ZoneRestored],
        warmups: dict[str, Warmup],
        now: float,
    ) -> None:
        """Takes the endpoints of restored zones for cold.

        Nothing was sent there for long. What they announce of it themselves
        comes a heartbeat later.
        """
        restored = {z.zone for z in zones if isinstance(z, ZoneRestored)}
        for record in self.records if restored else ():
            warmup = warmups.get(record.endpoint.service)
            if record.endpoint.zone in restored and warmup is not None:
                record.cold_until = now + warmup.duration_s

    def extend_lapses(self, now: float) -> None:
        """Starts the time of every lapse anew: the directory is just back."""
        for record in self._still_lapsed():
            record.lapsed_at = now

    def overdue(self) -> list[Record]:
        """Returns lapsed endpoints whose entries will not come back."""
        return [r for r in self._still_lapsed() if self.is_missing(r)]

    def _still_lapsed(self) -> list[Record]:
        self._lapsed = {
            name: record
            for name, record in self._lapsed.items()
            if record.presence is Presence.LAPSED
        }
        return list(self._lapsed.values())

    def expire(self, now: float) -> None:
        """Forgets endpoints whose entries have been missing for long."""
        for name, record in list(self._records.items()):
            gone = self.is_missing(record)
            if gone and now - record.lapsed_at >= FORGET_S:
                del self._records[name]
                self._lapsed.pop(name, None)
                del self._by_number[record.endpoint.number]
                self._by_token[record.endpoint.token].remove(record)

    def _announce(self, change: EndpointAnnounced, now: float) -> list[Record]:
        endpoint = change.endpoint
        record = self._records.get(endpoint.name)
        if record is None:
            record = Record(endpoint, change.revision, now)
            record.health.notify(functools.partial(self._watchlist.add, record))
            self._records[endpoint.name] = record
            self._by_number[endpoint.number] = record
            sharers = self._by_token.setdefault(endpoint.token, [])
            sharers.append(record)
            sharers.sort(key=lambda each: each.endpoint.name)
            return [record]
        if change.revision <= record.revision:
            return []
        held = self._is_held(record, endpoint)
        record.revision = change.revision
        if held:
            record.endpoint = attrs.evolve(
                endpoint, draining=record.endpoint.draining
            )
            record.listed = endpoint
            return []
        same = record.endpoint == endpoint
        back = record.presence is not Presence.LISTED
        if same and not back:
            record.listed = None
            return []
        self._list(record, endpoint, now)
        return [record]

    def _is_held(self, record: Record, endpoint: Endpoint) -> bool:
        """Whether a restored directory lists what had left by then.

        Its copy may be older than the endpoint's end: taken at its word, it
        would bring back new flows to where they may no longer go.
        """
        if record.revision != EARLIER_EPOCH or self._settles_at is None:
            return False
        drained = record.endpoint.draining and not endpoint.draining
        return drained or self.is_missing(record)

    def _list(self, record: Record, endpoint: Endpoint, now: float) -> None:
        record.endpoint = endpoint
        record.listed = None
        record.presence = Presence.LISTED
        record.announced_at = now
        self._watchlist.add(record)

    def _remove(self, name: str, revision: int, now: float) -> list[Record]:
        record = self._records.get(name)
        if record is None:
            return []
        if revision < record.revision:
            return []
        record.revision = revision
        record.listed = None
        if record.presence is not Presence.LISTED:
            return []
        record.presence = Presence.LAPSED
        record.lapsed_at = now
        self._lapsed[name] = record
        return [record]
