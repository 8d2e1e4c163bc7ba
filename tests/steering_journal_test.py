"""Tests of steering._journal: the log of recent changes."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.steering import (
    EndpointAnnounced,
    Route,
    RoutesDelta,
    RoutesPublished,
    Update,
    WeightedService,
)
from pollenmast.steering._journal import MAX_BYTES, MAX_CHANGES, ChangeLog
from tests import steering_group as group


def _announced(revision: int) -> EndpointAnnounced:
    return EndpointAnnounced(group.endpoint(1), revision)


def _log(*changes, known: int = 10) -> ChangeLog:
    log = ChangeLog()
    log.add(group.listing(revision=known), 0)
    log.add(Update(tuple(changes), changes[-1].revision), known)
    return log


def _routes(count: int, name: str = "r") -> tuple[Route, ...]:
    split = (WeightedService("registry", 1),)
    return tuple(
        Route(name, group.VIP, port, split, True)
        for port in range(1, count + 1)
    )


def _table(revision: int) -> RoutesPublished:
    routes = {(each.host, each.port): each for each in _routes(400)}
    return RoutesPublished(attrs.evolve(group.table(), routes=routes), revision)


def _delta(revision: int, routes, removed=()) -> RoutesDelta:
    paths = {"registry": "/health"}
    return RoutesDelta(1, 2, routes, removed, paths, 15.0, {}, revision)


class ChangeLogTest(TestCase):
    """What the log of changes keeps."""

    @parameterized.expand(
        [
            ("many_routes", lambda r: _delta(r, _routes(400))),
            ("long_names", lambda r: _delta(r, _routes(1, "x" * 200_000))),
            (
                "removed_routes",
                lambda r: _delta(r, (), ((group.VIP, 1),) * 2000),
            ),
            ("whole_tables", _table),
        ]
    )
    def test_bytes(self, _, change):
        """Many large changes do not use up a VM's memory.

        Bounded by number alone, 256 of them may take hundreds of MB.
        """
        last = 10 + MAX_CHANGES
        log = _log(*(change(revision) for revision in range(11, last + 1)))
        kept = log.since(last - 1)
        self.assertEqual(1, len(kept))
        self.assertIsNone(log.since(12))
        self.assertLessEqual(log.size_bytes, MAX_BYTES)

    def test_single_large_change(self):
        """A change that is too large alone is not kept; peers get a listing."""
        log = _log(_delta(11, _routes(1, "x" * (2 * MAX_BYTES))))
        self.assertIsNone(log.since(10))
        self.assertEqual((), log.since(11))
        self.assertEqual(0, log.size_bytes)

    def test_out_of_order(self):
        """A peer behind gets a configuration that was read before its events.

        A VM that catches up reads the operator's entries first, then the events
        of endpoints. Dropped first, the configuration was missing in a log that
        still claimed to be complete.
        """
        events = [_announced(r) for r in range(21, 31 + MAX_CHANGES)]
        log = _log(_delta(150, ()), *events, known=20)
        claimed = [r for r in range(20, 150) if log.since(r) is not None]
        self.assertEqual(list(range(31, 150)), claimed)
        for revision in claimed:
            revisions = [change.revision for change in log.since(revision)]
            self.assertEqual(2, revisions.count(150))
