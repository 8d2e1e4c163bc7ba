"""Tracks the known endpoints and whether the directory still lists them.

An entry can disappear from the directory while its endpoint is alive: the
directory loses entries while it is down or partitioned from the endpoints,
and the entries return within about two seconds. Acting on the removal at once
would leave a service without endpoints and refuse thousands of callers.

A removed entry is therefore first marked as lapsed. A lapsed endpoint keeps
its open flows and gets new ones only if no other endpoint can take them. If
the entry is still missing after `LAPSE_GRACE_PERIOD_S` and a health check
confirms the loss, the endpoint is gone; only then are its flows ended.
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
from pollenmast.steering._incomplete import find_incomplete
from pollenmast.steering._model import Endpoint, Warmup
from pollenmast.steering._moves import hold_move, take_lasting_move
from pollenmast.steering._position import EARLIER_EPOCH_REVISION
from pollenmast.steering._record import Presence, Record
from pollenmast.steering._token_owners import TokenOwners
from pollenmast.steering._watchlist import Watchlist

LAPSE_GRACE_PERIOD_S = 2.3
"""Grace period for the return of a removed entry, in seconds. The directory
restores lost entries within about two seconds, and new flows may reach an
endpoint that is leaving for at most three."""

GONE_RETENTION_S = 90.0
"""How long an endpoint that is gone is kept, in seconds, so that the tokens of
its flows can still be resolved. Flows last at most one minute."""


RESTORE_SETTLE_S = 5.0
"""After the directory was restored from a copy, how long the state known
before takes precedence over the copy, in seconds. By then live endpoints have
written their entries again and the entries of the others have lapsed."""

MAX_RECORDS = 12_288
"""Maximum number of endpoints, at about 2.5 kB each; further ones are left out.
Those that are gone make room first."""

MAX_UNUSABLE = 2048
"""Maximum number of endpoints of services that no configuration names. Once one
names a further service, everything is read again if some were left out."""


class Catalog:
    """Endpoint records, indexed by name, number and token."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._owners = TokenOwners()
        self._services: set[str] = set()
        self._updates = 0
        self._unusable = 0
        self._left_out = 0
        self._full_at = 0
        self._unusable_left_out = False
        self._lacks_entries = False
        self._watchlist = Watchlist()
        self._lapsed: dict[str, Record] = {}
        self._incomplete: frozenset[str] = frozenset()
        self._drains = Drains()
        self._confirmed_at = float("-inf")
        self._settles_at: float | None = None

    @property
    def records(self) -> list[Record]:
        """All records, including those of endpoints that are gone."""
        return list(self._records.values())

    @property
    def drains(self) -> Drains:
        """The drain state of the availability zones."""
        return self._drains

    @property
    def watchlist(self) -> Watchlist:
        """The endpoints whose health has to be evaluated."""
        return self._watchlist

    @property
    def left_out(self) -> int:
        """How many announcements were left out because there are too many."""
        return self._left_out

    @property
    def incomplete(self) -> frozenset[str]:
        """The names of the endpoints whose entries are incomplete."""
        return self._incomplete

    @property
    def lacks_entries(self) -> bool:
        """Whether entries that were left out are needed, so all are read."""
        return self._lacks_entries

    @property
    def owners(self) -> TokenOwners:
        """The endpoints of each token."""
        return self._owners

    def get(self, name: str) -> Record | None:
        """Returns the record of the endpoint of this name, if known."""
        return self._records.get(name)

    def by_number(self, number: int) -> Record | None:
        """Returns the endpoint with this number, as used between VMs."""
        return self._owners.by_number(number)

    def by_token(self, token: int) -> Record | None:
        """Returns the endpoint to which packets with this token are sent.

        If two endpoints have the same token, every VM resolves it to the older
        one; `owns_token` keeps new flows away from the other endpoint.
        Endpoints of services that no configuration has named come last: nothing
        was placed on them.
        """
        return self._owners.by_token(token)

    def owns_token(self, record: Record) -> bool:
        """Whether the endpoint's token resolves to this endpoint."""
        return self.by_token(record.endpoint.token) is record

    def is_shadowed(self, record: Record) -> bool:
        """Whether the last update made an endpoint usable, but without token.

        An older endpoint has its token.
        """
        if record.usable_since != self._updates:
            return False
        return self.by_token(record.endpoint.token) not in (None, record)

    def _add_services(self, services: Iterable[str]) -> None:
        """Makes the endpoints of the services of a configuration usable.

        They stay usable when a later configuration no longer names their
        service, as their open flows go on.
        """
        added = set(services) - self._services
        self._services |= added
        if added and self._unusable_left_out:
            self._lacks_entries = True
        for record in self._records.values() if added else ():
            if record.endpoint.service in added:
                self._mark_usable(record)

    def confirm(self, at: float) -> None:
        """Records that the known state matched the directory's at `at`."""
        self._confirmed_at = at

    def is_missing(self, record: Record) -> bool:
        """Whether an entry was removed and its grace period has passed.

        The period is measured up to the directory's last confirmation, not up
        to now: while the directory is unavailable no entry can return, and
        counting that time would needlessly leave a service without endpoints.
        """
        if record.presence is Presence.LAPSED:
            return self._confirmed_at - record.lapsed_at >= LAPSE_GRACE_PERIOD_S
        return record.presence is Presence.GONE

    def is_drained(self, record: Record) -> bool:
        """Whether the operator has drained the endpoint's zone."""
        return self._drains.is_drained(record.endpoint.zone)

    def serving(self, service: str) -> list[Record]:
        """Returns the endpoints of a service that may take new flows.

        An endpoint whose entry stays missing is left out even if it still
        answers: it is leaving, and its address will be reassigned. One whose
        entry is incomplete is left out too; see `find_incomplete`.
        """
        return [
            record
            for record in self._records.values()
            if record.endpoint.service == service
            and not record.endpoint.draining
            and not self.is_missing(record)
            and record.name not in self._incomplete
        ]

    def apply(
        self, update: Update, services: Iterable[str], now: float
    ) -> list[Record]:
        """Applies an update.

        Args:
            update: The update.
            services: The services that the configuration in force names.
            now: The time of the runtime's clock in seconds.

        Returns:
            The records that the update changed.
        """
        self._updates += 1
        # A VM that starts learns of endpoints, or which of them are usable, all
        # at once, and not in their order.
        first = not self._records or not self._services
        self._add_services(services)
        if update.complete:
            self._lacks_entries = self._unusable_left_out = False
        changed = []
        listed = set()
        for change in update.changes:
            if isinstance(change, EndpointAnnounced):
                listed.add(change.endpoint.name)
                created = update.ages.get(change.endpoint.name, change.created)
                changed += self._announce(change, created, now)
            elif isinstance(change, EndpointRemoved):
                changed += self._remove(change.name, change.revision, now)
        if update.complete:
            for name, record in list(self._records.items()):
                if name not in listed and record.revision <= update.revision:
                    changed += self._remove(name, update.revision, now)
        if changed:
            self._incomplete = find_incomplete(self._records.values())
        if first:
            self._owners.await_order(update.ages, now)
        return changed

    def begin_epoch(self, now: float) -> None:
        """Starts a new epoch after the directory was restored from a copy.

        From here on any update of the new epoch is newer than what is known.
        """
        self._settles_at = now + RESTORE_SETTLE_S
        self._drains.begin_epoch()
        for record in self._records.values():
            record.revision = EARLIER_EPOCH_REVISION
            record.listed = None

    def adopt_restored_state(
        self, now: float
    ) -> tuple[list[Record], list[ZoneRestored]]:
        """Adopts the state of a restored directory after `RESTORE_SETTLE_S`.

        Until then the state of the earlier epoch takes precedence where the
        directory would bring back an endpoint or zone.

        Returns:
            The endpoints and the zones that are in service again as a result.
        """
        if self._settles_at is None or now < self._settles_at:
            return [], []
        self._settles_at = None
        listed = [r for r in self._records.values() if r.listed is not None]
        for record in listed:
            self._mark_listed(record, record.listed, now)
        return listed, self._drains.adopt_restored_state()

    def mark_cold(
        self,
        zones: Iterable[ZoneDrained | ZoneRestored],
        warmups: dict[str, Warmup],
        now: float,
    ) -> None:
        """Treats the endpoints of restored zones as cold.

        They have had no traffic for a long time, and their own announcement
        that they are warming up arrives one heartbeat later.
        """
        restored = {z.zone for z in zones if isinstance(z, ZoneRestored)}
        for record in self.records if restored else ():
            warmup = warmups.get(record.endpoint.service)
            if record.endpoint.zone in restored and warmup is not None:
                record.cold_until = now + warmup.duration_s

    def restart_grace_periods(self, now: float) -> None:
        """Restarts every grace period: the directory has just returned."""
        for record in self._still_lapsed():
            record.lapsed_at = now

    def expired_lapses(self) -> list[Record]:
        """Returns the lapsed endpoints whose grace period has passed."""
        return [r for r in self._still_lapsed() if self.is_missing(r)]

    def _still_lapsed(self) -> list[Record]:
        self._lapsed = {
            name: record
            for name, record in self._lapsed.items()
            if record.presence is Presence.LAPSED
        }
        return list(self._lapsed.values())

    def expire(self, now: float) -> None:
        """Removes endpoints that have been missing for `GONE_RETENTION_S`.

        Uses entries with another address or service that have lasted.
        """
        for record in list(self._records.values()):
            missing = self.is_missing(record)
            if missing and now - record.lapsed_at >= GONE_RETENTION_S:
                self._drop(record)
                continue
            moved = take_lasting_move(record, now)
            if moved is not None:
                self._mark_listed(record, moved, now)
        self._owners.expire(now)

    def _announce(
        self, change: EndpointAnnounced, created: int | None, now: float
    ) -> list[Record]:
        endpoint = change.endpoint
        record = self._records.get(endpoint.name)
        if record is None:
            if not self._has_room(endpoint):
                self._left_out += 1
                return []
            record = Record(endpoint, change.revision, now)
            record.health.set_on_schedule(
                functools.partial(self._watchlist.add, record)
            )
            record.created = change.revision if created is None else created
            if endpoint.service in self._services:
                record.usable_since = self._updates
            self._records[endpoint.name] = record
            self._unusable += not record.usable
            self._owners.add(record)
            return [record]
        if change.revision <= record.revision:
            return []
        if endpoint.started_ms is None:
            known_ms = record.endpoint.started_ms
            endpoint = attrs.evolve(endpoint, started_ms=known_ms)
        withheld = self._is_withheld(record, endpoint)
        record.revision = change.revision
        if withheld:
            record.endpoint = attrs.evolve(
                endpoint, draining=record.endpoint.draining
            )
            record.listed = endpoint
            return []
        endpoint = hold_move(record, endpoint, now)
        unchanged = record.endpoint == endpoint
        returned = record.presence is not Presence.LISTED
        if unchanged and not returned:
            record.listed = None
            return []
        self._mark_listed(record, endpoint, now)
        return [record]

    def _has_room(self, endpoint: Endpoint) -> bool:
        """Whether another endpoint may be added; makes room if it can."""
        unusable = endpoint.service not in self._services
        if unusable and self._unusable >= MAX_UNUSABLE:
            self._unusable_left_out = True
            return False
        if len(self._records) < MAX_RECORDS:
            return True
        # Searched once an update at most, as a listing may have thousands more.
        if self._full_at == self._updates:
            return False
        gone = [
            r for r in self._records.values() if r.presence is Presence.GONE
        ]
        if not gone:
            self._full_at = self._updates
            return False
        self._drop(min(gone, key=lambda record: record.lapsed_at))
        return True

    def _drop(self, record: Record) -> None:
        del self._records[record.name]
        self._lapsed.pop(record.name, None)
        self._unusable -= not record.usable
        self._owners.remove(record)

    def _is_withheld(self, record: Record, endpoint: Endpoint) -> bool:
        """Whether to withhold an entry of a restored directory for now.

        The copy may be older than the endpoint's drain or removal. Using its
        entry at once would send new flows to an endpoint that must not get
        any.
        """
        if (
            record.revision != EARLIER_EPOCH_REVISION
            or self._settles_at is None
        ):
            return False
        drained = record.endpoint.draining and not endpoint.draining
        return drained or self.is_missing(record)

    def _mark_listed(
        self, record: Record, endpoint: Endpoint, now: float
    ) -> None:
        record.endpoint = endpoint
        record.listed = None
        record.presence = Presence.LISTED
        record.announced_at = now
        if endpoint.service in self._services:
            self._mark_usable(record)
        self._watchlist.add(record)

    def _mark_usable(self, record: Record) -> None:
        if not record.usable:
            record.usable_since = self._updates
            self._unusable -= 1
            self._owners.sort(record)

    def _remove(self, name: str, revision: int, now: float) -> list[Record]:
        record = self._records.get(name)
        if record is None:
            return []
        if revision < record.revision:
            return []
        record.revision = revision
        record.listed = record.moved = None
        if record.presence is not Presence.LISTED:
            return []
        record.presence = Presence.LAPSED
        record.lapsed_at = now
        self._lapsed[name] = record
        return [record]
