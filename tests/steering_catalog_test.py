"""Tests of steering._catalog: how many endpoints a VM keeps."""

from unittest import mock

import anyio
import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import ENTRIES_REFUSED, Counters, EntryFault
from pollenmast.entry import _snapshot as snapshot
from pollenmast.steering import (
    NO_START_STATED,
    CheckResult,
    EndpointAnnounced,
    EndpointRemoved,
    RoutesPublished,
    Update,
)
from pollenmast.steering import _catalog as catalog
from pollenmast.steering._moves import MOVE_SETTLE_S
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY
from tests.store_group import StoreCase

KNOWN = group.endpoint(1)


def _announce(core, numbers, revision: int, **fields) -> None:
    changes = tuple(
        EndpointAnnounced(group.endpoint(number, **fields), revision)
        for number in numbers
    )
    core.apply(Update(changes, revision), 1.0)


class LimitTest(TestCase):
    """Entries under ever new names."""

    def setUp(self):
        """Creates a VM that keeps few endpoints."""
        super().setUp()
        for name, limit in (("MAX_RECORDS", 10), ("MAX_UNUSABLE", 4)):
            patch = mock.patch.object(catalog, name, limit)
            patch.start()
            self.addCleanup(patch.stop)
        self.counters = Counters()
        self.core = group.steering(counters=self.counters)

    def _refused(self) -> int:
        return self.counters.value(ENTRIES_REFUSED, EntryFault.LIMIT)

    def test_unnamed_service(self):
        """Entries of a service that nobody names leave room for the others."""
        _announce(self.core, range(100, 130), 11, service="junk")
        _announce(self.core, range(1, 7), 12)
        self.assertEqual(6, len(self.core.catalog.serving("registry")))
        self.assertEqual(10, len(self.core.catalog.records))
        self.assertEqual(26, self._refused())
        self.assertFalse(self.core.catalog.lacks_entries)

    def test_service_named_later(self):
        """All entries are read again if some of a service in use are unknown.

        They were left out before a configuration named it.
        """
        _announce(self.core, range(100, 106), 11, service="late")
        published = RoutesPublished(group.table(2, "registry", "late"), 12)
        self.core.apply(Update((published,), 12), 1.0)
        self.assertTrue(self.core.catalog.lacks_entries)
        late = [group.endpoint(n, service="late") for n in range(100, 106)]
        self.core.apply(
            group.listing(
                *late, revision=13, routes=group.table(2, "registry", "late")
            ),
            2.0,
        )
        self.assertFalse(self.core.catalog.lacks_entries)
        self.assertEqual(6, len(self.core.catalog.serving("late")))

    def test_gone_first(self):
        """Endpoints that are gone make room for new ones."""
        _announce(self.core, range(1, 11), 11)
        removed = EndpointRemoved(group.endpoint(1).name, 12)
        self.core.apply(Update((removed,), 12), 2.0)
        self.core.on_confirmed(9.0)
        record = self.core.catalog.get(removed.name)
        _announce(self.core, [11], 13)
        self.assertEqual(1, self._refused())
        self.core.on_check(record, CheckResult.REFUSED, 9.0)
        _announce(self.core, [12], 14)
        self.assertIsNone(self.core.catalog.get(removed.name))
        self.assertIsNotNone(self.core.catalog.get(group.endpoint(12).name))
        self.assertEqual(1, self._refused())


class MovedTest(TestCase):
    """A living endpoint's entry with another address or service."""

    def setUp(self):
        """Creates a VM with an endpoint, whose entry then changes."""
        super().setUp()
        routes = group.table(1, "registry", "other")
        self.core = group.steering(KNOWN, routes=routes)

    def _announce(self, revision: int, now: float, **fields) -> None:
        change = EndpointAnnounced(attrs.evolve(KNOWN, **fields), revision)
        self.core.apply(Update((change,), revision), now)

    def _used(self, now: float):
        self.core.tick(now)
        return self.core.on_segment(
            group.segment(group.flow(), KNOWN.token), now
        ).endpoint

    @parameterized.expand(
        [
            ("address", {"host": "10.1.64.99"}),
            ("port", {"port": 9}),
            ("service", {"service": "other"}),
        ]
    )
    def test_overwritten(self, _, fields):
        """An entry that another writer overwrites moves no open flow.

        Packets would go to an address where nobody holds the flow, or requests
        of another service to the endpoint, until its next heartbeat.
        """
        for revision in range(11, 31, 2):
            at = float(revision)
            self._announce(revision, at, **fields)
            self.assertEqual(KNOWN, self._used(at + 1.0))
            self.assertEqual([], self.core.catalog.serving("other"))
            self._announce(revision + 1, at + 1.2)
        self.assertEqual(KNOWN, self._used(40.0))

    def test_lasting(self):
        """An endpoint that started again elsewhere is used there."""
        moved = attrs.evolve(KNOWN, host="10.1.64.99", draining=True)
        self._announce(11, 1.0, host=moved.host, draining=True)
        self.assertTrue(self._used(2.0).draining)
        self.assertEqual(KNOWN.host, self._used(2.0).host)
        self.assertEqual(moved, self._used(1.0 + MOVE_SETTLE_S))

    def test_down(self):
        """The new address of an endpoint that is down is used at once."""
        self._announce(11, 1.0, host="10.1.64.99")
        record = self.core.catalog.get(KNOWN.name)
        self.core.on_check(record, CheckResult.REFUSED, 1.5)
        self.core.tick(1.6)
        self.assertEqual("10.1.64.99", record.endpoint.host)

    def test_told(self):
        """A VM that starts is told the entry as the directory has it."""
        self._announce(11, 1.0, host="10.1.64.99")
        told = snapshot.decode(snapshot.encode(self.core)).ok_value
        hosts = [
            change.endpoint.host
            for change in told.changes
            if isinstance(change, EndpointAnnounced)
        ]
        self.assertEqual(["10.1.64.99"], hosts)


class IncompleteTest(TestCase):
    """Entries that do not state when their endpoint started."""

    @parameterized.expand(
        [
            ("one_of_four", (1, 2, 3, None), 3),
            ("two_of_eight", (1, 2, 3, 4, 5, 6, None, None), 6),
            ("many", (1, 2, 3, 4, 5, None, None), 7),
            ("few", (1, 2, None), 3),
            ("none_states", (None, None, None), 3),
        ]
    )
    def test_serving(self, _, starts, serving):
        """An entry that lacks what its service's others state is not used.

        It comes from another writer, and flows placed there get no answer.
        Where many lack it, the servers are being replaced; where all do, they
        never state it. A VM that is told by a peer decides alike.
        """
        endpoints = [
            group.endpoint(n, started_ms=NO_START_STATED if s is None else s)
            for n, s in enumerate(starts, 1)
        ]
        endpoints += [
            group.endpoint(20 + n, service="other", started_ms=n)
            for n in range(9)
        ]
        counters = Counters()
        core = group.steering(*endpoints, counters=counters)
        told = group.steering()
        told.apply(snapshot.decode(snapshot.encode(core)).ok_value, 1.0)
        for each in (core, told):
            self.assertEqual(serving, len(each.catalog.serving("registry")))
        refused = counters.value(ENTRIES_REFUSED, EntryFault.INCOMPLETE)
        self.assertEqual(len(starts) - serving, refused)

    def test_others_lost(self):
        """An incomplete entry is not used when the others are lost either."""
        known = [group.endpoint(n, started_ms=n) for n in range(1, 5)]
        foreign = group.endpoint(9, started_ms=NO_START_STATED)
        core = group.steering(*known, foreign)
        removed = tuple(EndpointRemoved(e.name, 20) for e in known)
        core.apply(Update(removed, 20), 1.0)
        core.on_confirmed(9.0)
        self.assertEqual([], core.catalog.serving("registry"))

    def test_written_over(self):
        """An endpoint that is written over is used after its own next write."""
        known = [group.endpoint(n, started_ms=n) for n in range(1, 5)]
        core = group.steering(*known)
        foreign = attrs.evolve(known[0], started_ms=NO_START_STATED)
        for revision, endpoint, serving in (
            (11, foreign, 3),
            (12, known[0], 4),
        ):
            change = EndpointAnnounced(endpoint, revision)
            core.apply(Update((change,), revision), 1.0)
            self.assertEqual(serving, len(core.catalog.serving("registry")))


class ReadAgainTest(StoreCase):
    """A VM that left entries out before a configuration named their service."""

    def test_read_again(self):
        """A VM that leaves watching to others reads the store again."""
        self.patch(catalog, "MAX_UNUSABLE", 4)
        for number in range(1, 9):
            self.store.put(f"servers/i-{number}", {**ENTRY, "service": "late"})
        named = {"name": "late", "healthPath": "/health"}
        services = [*CONFIGURATION["services"], named]

        async def script(core, follower):
            self.assertLess(len(core.catalog.serving("late")), 8)
            self.store.put(
                "op/config",
                {**CONFIGURATION, "version": 8, "services": services},
            )
            await anyio.sleep(3.0)
            self.assertEqual(8, len(core.catalog.serving("late")))
            self.assertFalse(core.catalog.lacks_entries)

        self.follow(script, on_change=lambda: None)
