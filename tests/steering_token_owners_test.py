"""Tests of steering._token_owners: endpoints that share a token."""

import random

import anyio
import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import TOKENS_SHARED, Counters, DropReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.steering import (
    NO_START_STATED,
    CheckResult,
    Drop,
    EndpointAnnounced,
    EndpointRemoved,
    RoutesPublished,
    Steering,
    Update,
)
from pollenmast.steering._catalog import GONE_RETENTION_S, LAPSE_GRACE_PERIOD_S
from pollenmast.steering._token_owners import SETTLE_S
from tests import steering_group as group
from tests.fleet_group import FleetCase
from tests.platform_entries_test import ENTRY

TOKEN = 7
OLD = group.endpoint(7)
# Its name sorts first, which must not count.
NEW = group.endpoint(7, name="a-00000000007", host="10.1.64.99")
OTHER = group.endpoint(7, name="b-00000000007", service="other")
_GONE_AT = 20.0


def _started(endpoint, started_ms: int):
    return attrs.evolve(endpoint, started_ms=started_ms)


def _announced(core, endpoint, revision: int, now: float = 1.0) -> None:
    change = EndpointAnnounced(endpoint, revision)
    core.apply(Update((change,), revision), now)


def _removed(core, endpoint, revision: int, now: float) -> None:
    core.apply(
        Update((EndpointRemoved(endpoint.name, revision),), revision), now
    )


def _running(*endpoints):
    """Returns a VM that learned of endpoints one after the other."""
    core = group.steering()
    for revision, endpoint in enumerate(endpoints, 11):
        _announced(core, endpoint, revision)
    return core


def _listed(*created: tuple, ages=None):
    """Returns a VM that starts and learns of endpoints by one listing."""
    core = group.steering()
    changes = tuple(
        EndpointAnnounced(endpoint, 90, revision)
        for endpoint, revision in created
    )
    core.apply(Update(changes, 90, complete=True, ages=ages or {}), 1.0)
    return core


def _sent_to(core, now: float = 2.0) -> str:
    sent = core.on_segment(group.segment(group.flow(), TOKEN), now)
    return "" if isinstance(sent, Drop) else sent.endpoint.name


class OwnerTest(TestCase):
    """Packets of open flows go on to the older endpoint."""

    def test_newer_endpoint(self):
        """A new endpoint does not get the open flows of one with its token.

        It would reset them. It gets no flows of its own, and it is counted.
        """
        counters = Counters()
        core = group.steering(counters=counters)
        _announced(core, OLD, 11)
        for revision in (12, 13):
            _announced(core, NEW, revision)
            self.assertEqual(OLD.name, _sent_to(core))
        placed = core.on_segment(group.syn(group.flow(2)), 2.0)
        self.assertEqual(OLD, placed.endpoint)
        self.assertEqual(1, counters.value(TOKENS_SHARED))

    def test_entry_lost(self):
        """The older endpoint keeps its token while its entry is lost."""
        core = _running(OLD, NEW)
        _removed(core, OLD, 20, 3.0)
        self.assertEqual(OLD.name, _sent_to(core, 3.1))
        _announced(core, OLD, 21, 3.5)
        self.assertEqual(OLD.name, _sent_to(core, 4.0))

    def test_retention(self):
        """The newer endpoint serves once the older one is forgotten.

        Until then flows of the older one may still be open at their clients.
        """
        core = _running(OLD, NEW)
        _removed(core, OLD, 20, _GONE_AT)
        core.on_confirmed(_GONE_AT + LAPSE_GRACE_PERIOD_S)
        record = core.catalog.get(OLD.name)
        core.on_check(record, CheckResult.REFUSED, _GONE_AT + 3.0)
        for left_s, owner in ((0.1, OLD), (0.0, NEW)):
            core.tick(_GONE_AT + GONE_RETENTION_S - left_s)
            self.assertEqual(owner.name, core.catalog.by_token(TOKEN).name)

    def test_both_forgotten(self):
        """Two endpoints with one number are forgotten without a fault.

        Both are removed and expire in the same round.
        """
        core = _running(OLD, NEW)
        _removed(core, OLD, 20, _GONE_AT)
        _removed(core, NEW, 21, _GONE_AT)
        core.on_confirmed(_GONE_AT + LAPSE_GRACE_PERIOD_S)
        core.tick(_GONE_AT + GONE_RETENTION_S)
        self.assertEqual("", _sent_to(core, _GONE_AT + 99.0))
        self.assertIsNone(core.catalog.by_number(OLD.number))

    def test_started_again(self):
        """An endpoint that starts again under its id keeps its token.

        Flows opened since its start would go to the other one if the order
        changed when its entry is read.
        """
        core = _running(_started(OLD, 1), _started(NEW, 2))
        _announced(core, _started(OLD, 3), 20)
        self.assertEqual(3, core.catalog.get(OLD.name).endpoint.started_ms)
        self.assertEqual(OLD.name, _sent_to(core))

    def test_service_named_later(self):
        """A configuration that names another service moves no open flows."""
        core = _running(OTHER, OLD)
        published = RoutesPublished(group.table(2, "registry", "other"), 20)
        core.apply(Update((published,), 20), 2.0)
        self.assertEqual(OLD.name, _sent_to(core))


class StartTest(TestCase):
    """A VM that starts while two endpoints share a token."""

    @parameterized.expand(
        [
            ("older_first", ((OLD, 11), (NEW, 12))),
            ("newer_first", ((NEW, 12), (OLD, 11))),
            ("written_again", ((_started(NEW, 2), 12), (_started(OLD, 1), 90))),
            ("one_start", ((_started(NEW, 1), 12), (OLD, 11))),
            ("one_unknown", ((NEW, 12), (_started(OLD, 3), 11))),
        ]
    )
    def test_listed(self, _, created):
        """Without other VMs the endpoint that started first has the token.

        If one does not say when it started, the entry that was created first
        counts. An entry that was lost and written again is newer than its
        endpoint, whose open flows would be reset. Until another VM could have
        told the order, packets are dropped.
        """
        core = _listed(*created)
        dropped = core.on_segment(group.segment(group.flow(), TOKEN), 1.1)
        self.assertEqual(Drop(DropReason.UNKNOWN_TOKEN), dropped)
        core.tick(1.0 + SETTLE_S)
        self.assertEqual(OLD.name, _sent_to(core))

    def test_told(self):
        """A VM that starts resolves a token as the running ones do.

        The older endpoint's entry was lost and written again, so that the store
        has the newer one's as the older.
        """
        peer = _running(OLD, NEW)
        _removed(peer, OLD, 20, 3.0)
        _announced(peer, OLD, 90, 3.5)
        core = _listed((_started(NEW, 1), 12), (_started(OLD, 2), 90))
        told = snapshot.decode(snapshot.encode_ages(peer)).ok_value
        self.assertEqual((), told.changes)
        core.catalog.owners.on_ages_told(told.ages)
        self.assertEqual(OLD.name, _sent_to(core))
        # What a VM knows does not change by what another one tells later.
        late = {NEW.name: 1, OLD.name: 2}
        core.catalog.owners.on_ages_told(late)
        self.assertEqual(OLD.name, _sent_to(core))

    def test_configuration_later(self):
        """Endpoints known before any configuration have no order either.

        Packets that came meanwhile went to the entry that was created first.
        """
        core = Steering(group.ZONE, Counters(), random.Random(1))
        changes = [
            EndpointAnnounced(endpoint, 90, created)
            for endpoint, created in ((NEW, 12), (OLD, 90))
        ]
        core.apply(Update(tuple(changes), 90, complete=True), 1.0)
        self.assertIsNone(core.catalog.by_token(TOKEN))
        published = RoutesPublished(group.table(), 91)
        core.apply(Update((published,), 91), 1.1)
        self.assertIsNone(core.catalog.by_token(TOKEN))
        told = {OLD.name: 11, NEW.name: 12}
        core.catalog.owners.on_ages_told(told)
        self.assertEqual(OLD.name, _sent_to(core))

    def test_by_peer(self):
        """A VM that learns of the endpoints from a peer learns their order."""
        peer = _running(OLD, NEW)
        _announced(peer, attrs.evolve(OLD, slots=3), 30)
        core = group.steering()
        core.apply(snapshot.decode(snapshot.encode(peer)).ok_value, 1.0)
        self.assertEqual(OLD.name, _sent_to(core))

    @parameterized.expand([("stated", 5), ("not_stated", NO_START_STATED)])
    def test_start_told(self, _, started_ms):
        """A VM that hears only peers knows when endpoints started.

        What a peer of an older build tells leaves that as it is.
        """
        core = group.steering()
        told = snapshot.encode(_running(_started(OLD, started_ms)))
        core.apply(snapshot.decode(told).ok_value, 1.0)
        _announced(core, attrs.evolve(OLD, draining=True), 90)
        known = core.catalog.get(OLD.name).endpoint
        self.assertEqual((started_ms, True), (known.started_ms, known.draining))

    def test_unshared(self):
        """Nothing is told while no endpoints share a token."""
        core = _running(OLD, group.endpoint(8))
        self.assertEqual(b"", snapshot.encode_ages(core))

    @parameterized.expand(
        [
            ("text", b"x"),
            ("list", b"\x90"),
            ("types", b"\x81\xa1a\xa1b"),
            ("starts", b"\x81\xa0\x01"),
        ]
    )
    def test_malformed_ages(self, _, rest):
        """Malformed ages do not spoil the message that they follow."""
        peer = _running(OLD)
        update = snapshot.decode(snapshot.encode(peer) + rest).ok_value
        self.assertEqual(2, len(update.changes))
        self.assertEqual({}, update.ages)


class FleetTest(FleetCase):
    """A fleet with two endpoints that share a token."""

    def test_started_vm(self):
        """A VM that starts sends packets of open flows where the others do.

        The entry of the older endpoint was lost and came back before it.
        """
        old, new = "i-7f3a91c2", "i-07f3a91c2"

        async def script(tasks) -> None:
            for name in (old, new):
                self.store.put(f"servers/{name}", {**ENTRY, "service": "a"})
                await anyio.sleep(1.0)
            self.store.delete(f"servers/{old}")
            await anyio.sleep(1.0)
            self.store.put(f"servers/{old}", {**ENTRY, "service": "a"})
            await anyio.sleep(1.0)
            vm = self.fleet.add(self, "10.1.0.77", "pos-frederick")
            tasks.start_soon(vm.run)
            await anyio.sleep(1.0)
            owners = {
                vm.core.catalog.by_token(0x7F3A91C2).name
                for vm in self.fleet.vms.values()
            }
            self.assertEqual({old}, owners)

        self.play(script)
