"""Tests of steering._journal: the log of recent changes."""

from testtools import TestCase

from pollenmast.steering import (
    EndpointAnnounced,
    RoutesDelta,
    Update,
)
from pollenmast.steering._journal import MAX_CHANGES, ChangeLog
from tests import steering_group as group


def _announced(revision: int) -> EndpointAnnounced:
    return EndpointAnnounced(group.endpoint(1), revision)


def _log(*changes, known: int = 10) -> ChangeLog:
    log = ChangeLog()
    log.add(group.listing(revision=known), 0)
    log.add(Update(tuple(changes), changes[-1].revision), known)
    return log


def _delta(revision: int, routes, removed=()) -> RoutesDelta:
    paths = {"registry": "/health"}
    return RoutesDelta(1, 2, routes, removed, paths, 15.0, {}, revision)


class ChangeLogTest(TestCase):
    """What the log of changes keeps."""

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
