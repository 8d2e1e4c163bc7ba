"""Tests of steering._core: decisions about client segments."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import DropReason, PlacementReason, ResetReason
from pollenmast.steering import (
    CheckResult,
    Drop,
    EndpointAnnounced,
    EndpointRemoved,
    FlowKey,
    Forward,
    Presence,
    Reset,
    RoutesPublished,
    Update,
)
from pollenmast.steering._catalog import GONE_RETENTION_S, LAPSE_GRACE_PERIOD_S
from pollenmast.steering._core import DIRECTORY_SETTLE_S, MAX_VIEW_AGE_S
from pollenmast.steering._health import FULL_SPAN_S
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)
FAR = group.endpoint(3, zone=group.OTHER_ZONE)
REFUSED, TIMEOUT = CheckResult.REFUSED, CheckResult.TIMEOUT


def _open(core, number: int, now: float):
    """Opens a flow and completes its handshake; returns its endpoint."""
    key = group.flow(number)
    outcome = core.on_segment(group.syn(key), now)
    core.on_segment(group.segment(key, outcome.endpoint.token), now)
    return outcome.endpoint


class OpenTest(TestCase):
    """Placement of SYNs."""

    def test_own_zone(self):
        """Flows stay in the VM's zone, so a cut between zones breaks none."""
        core = group.steering(FIRST, FAR)
        chosen = {_open(core, number, 1.0).name for number in range(8)}
        self.assertEqual({FIRST.name}, chosen)

    def test_even_spread(self):
        """Flows are spread evenly over the zone's endpoints."""
        core = group.steering(FIRST, SECOND)
        chosen = [_open(core, number, 1.0).name for number in range(8)]
        self.assertEqual(4, chosen.count(FIRST.name))

    def test_retransmitted_syn(self):
        """A retransmitted SYN goes to another endpoint than the first one.

        The first endpoint did not answer. If the copy went there too, the
        client would have wasted its whole retry.
        """
        core = group.steering(FIRST, SECOND)
        key = group.flow()
        first = core.on_segment(group.syn(key), 1.0)
        copy = core.on_segment(group.syn(key, 1), 1.2)
        self.assertNotEqual(first.endpoint, copy.endpoint)
        self.assertEqual(PlacementReason.RETRY, copy.placed)

    def test_buffered_duplicate_syn(self):
        """A SYN and its copy that waited in one buffer open only one flow.

        A VM that starts late finds both in its socket. Two endpoints would open
        the flow, one of them for nobody.
        """
        core = group.steering(FIRST, SECOND)
        key = group.flow()
        core.on_segment(group.syn(key), 1.0)
        copy = core.on_segment(group.syn(key, 1), 1.001)
        self.assertEqual(Drop(DropReason.DUPLICATE_SYN), copy)

    def test_unanswered_syn(self):
        """A client is not placed on an endpoint that left a SYN unanswered.

        When a process crashes, its machine resets each SYN at once. The second
        client must be placed elsewhere before any health check has completed.
        """
        core = group.steering(FIRST, SECOND)
        lost = core.on_segment(group.syn(group.flow(1)), 1.0).endpoint
        later = core.on_segment(group.syn(group.flow(2)), 1.1).endpoint
        self.assertNotEqual(lost, later)
        self.assertEqual(
            [lost.name], [r.endpoint.name for r in core.due_checks(1.1)]
        )

    def test_last_resort_when_all_down(self):
        """An endpoint that is down is still tried if there is no other.

        A VM that is cut off finds every endpoint down. Refusing all clients
        would outlast the cut.
        """
        core = group.steering(FIRST)
        core.on_check(core.catalog.get(FIRST.name), CheckResult.REFUSED, 1.0)
        outcome = core.on_segment(group.syn(group.flow()), 1.0)
        self.assertEqual(PlacementReason.LAST_RESORT, outcome.placed)

    def test_last_resort_opens(self):
        """A flow that opens as a last resort marks its endpoint as up.

        The failure: a zone was cut off from a service, and the cut had just
        ended. A flow tried an endpoint that was marked down, and it opened. The
        VM, which still considered the endpoint unreachable, reset the client's
        request.
        """
        core = group.steering(FAR)
        record = core.catalog.get(FAR.name)
        core.on_check(record, CheckResult.REFUSED, 1.0)
        key = group.flow()
        core.on_segment(group.syn(key), 1.1)
        opened = group.segment(key, FAR.token, length=10)
        self.assertEqual(Forward(FAR), core.on_segment(opened, 1.2))
        self.assertFalse(record.health.down)
        self.assertEqual([record], core.due_checks(1.2))

    @parameterized.expand(
        [
            ("current", 1.0, Reset),
            ("old_view", MAX_VIEW_AGE_S + 0.1, Drop),
        ]
    )
    def test_unknown_route(self, _, now, kind):
        """An address without a route is refused only if the view is recent.

        A VM whose view is old cannot know: the route may have been added.
        """
        core = group.steering(FIRST)
        key = FlowKey("100.64.0.7", 1024, group.VIP, 9999)
        self.assertIsInstance(core.on_segment(group.syn(key), now), kind)

    @parameterized.expand(
        [("settled", DIRECTORY_SETTLE_S, Reset), ("back", 0.5, Drop)]
    )
    def test_no_endpoint(self, _, since_return, kind):
        """A service without endpoints is refused only once that is certain.

        Just after the directory's return some entries are still missing.
        """
        core = group.steering()
        core.on_directory_return(10.0)
        core.on_confirmed(10.0 + since_return)
        outcome = core.on_segment(group.syn(group.flow()), 10.0 + since_return)
        self.assertIsInstance(outcome, kind)

    def test_draining(self):
        """A draining endpoint gets no new flows."""
        core = group.steering(FIRST, SECOND)
        leaving = group.endpoint(1, draining=True)
        core.apply(Update((EndpointAnnounced(leaving, 11),), 11), 1.0)
        chosen = {_open(core, number, 1.0).name for number in range(6)}
        self.assertEqual({SECOND.name}, chosen)


class ForwardTest(TestCase):
    """Forwarding of packets of open flows."""

    def test_any_vm(self):
        """A VM forwards packets of a flow it does not know by their token."""
        core = group.steering(FIRST, SECOND)
        outcome = core.on_segment(
            group.segment(group.flow(), SECOND.token, length=10), 1.0
        )
        self.assertEqual(Forward(SECOND), outcome)

    def test_unknown_token(self):
        """A packet with an unknown token is dropped, never reset.

        The endpoint may be alive and be listed again in a moment.
        """
        core = group.steering(FIRST)
        outcome = core.on_segment(group.segment(group.flow(), 77), 1.0)
        self.assertEqual(Drop(DropReason.UNKNOWN_TOKEN), outcome)

    def test_draining_endpoint_keeps_flows(self):
        """Open flows of an endpoint continue after it starts draining."""
        core = group.steering(FIRST)
        _open(core, 1, 1.0)
        leaving = group.endpoint(1, draining=True)
        core.apply(Update((EndpointAnnounced(leaving, 11),), 11), 1.0)
        outcome = core.on_segment(
            group.segment(group.flow(1), FIRST.token, length=10), 1.1
        )
        self.assertEqual(Forward(leaving), outcome)

    def test_down_ends_flows(self):
        """Flows of an endpoint that goes down are reset at once.

        The clients have to know before their next request: a request that may
        not be repeated is lost if the endpoint does not answer it.
        """
        core = group.steering(FIRST, SECOND)
        endpoint = _open(core, 1, 1.0)
        record = core.catalog.get(endpoint.name)
        resets = core.on_check(record, CheckResult.REFUSED, 2.0)
        self.assertEqual([group.flow(1)], [reset.flow for reset in resets])
        self.assertEqual(ResetReason.ENDPOINT_DOWN, resets[0].reason)
        late = core.on_segment(
            group.segment(group.flow(2), endpoint.token, length=10), 2.1
        )
        self.assertEqual(ResetReason.ENDPOINT_DOWN, late.reason)


class LeavingTest(TestCase):
    """Checks of an endpoint that announces that it is leaving."""

    @parameterized.expand(
        [
            # Whether it is leaving, the results of its checks from 2 s on with
            # the seconds between them, and when its entry goes.
            ("ready", False, [TIMEOUT] * 3, 0.05, None, 2.1),
            ("leaving", True, [TIMEOUT] * 9, 0.05, None, None),
            ("long", True, [TIMEOUT] * 4, 0.5, None, 2.0 + FULL_SPAN_S),
            ("left", True, [TIMEOUT] * 9, 0.05, 2.13, 2.15),
            ("refused", True, [TIMEOUT, REFUSED], 0.05, None, 2.05),
        ]
    )
    def test_timeouts(self, _, leaving, results, interval_s, left_at, reset_at):
        """Timeouts do not reset the flows of an endpoint that is leaving.

        It may leave new connections unanswered while it still serves its open
        flows, and gets no new ones. Once its entry is gone they count.
        """
        core = group.steering(FIRST)
        _open(core, 1, 1.0)
        known = attrs.evolve(FIRST, draining=leaving)
        core.apply(Update((EndpointAnnounced(known, 11),), 11), 1.5)
        record = core.catalog.get(FIRST.name)
        ended_at = None
        for number, result in enumerate(results):
            now = round(2.0 + number * interval_s, 3)
            if left_at is not None and now > left_at:
                removed = (EndpointRemoved(FIRST.name, 12),)
                core.apply(Update(removed, 12), left_at)
            if core.on_check(record, result, now) and ended_at is None:
                ended_at = now
        self.assertEqual(reset_at, ended_at)


class LapseTest(TestCase):
    """Directory entries that disappear, most of which come back."""

    def test_entries_come_back(self):
        """A missing entry does not end the flows of an endpoint that lives.

        The directory lost the entry while it was down. If flows were ended at
        once, every flow to the endpoint would be cut for nothing.
        """
        core = group.steering(FIRST)
        _open(core, 1, 1.0)
        core.apply(Update((EndpointRemoved(FIRST.name, 11),), 11), 2.0)
        record = core.catalog.get(FIRST.name)
        self.assertEqual([record], core.due_checks(2.0))
        self.assertEqual([], core.on_check(record, CheckResult.ANSWERED, 2.0))
        core.apply(Update((EndpointAnnounced(FIRST, 12),), 12), 3.0)
        self.assertIs(Presence.LISTED, record.presence)
        outcome = core.on_segment(group.syn(group.flow(2)), 3.0)
        self.assertEqual(PlacementReason.OWN_ZONE, outcome.placed)

    def test_directory_away_again(self):
        """An endpoint is not gone while the directory cannot list it again.

        The directory lost its entries and became unavailable again before they
        were back. If the endpoints counted as gone, a service would have none
        for the rest of the outage.
        """
        core = group.steering(FIRST)
        core.on_confirmed(2.0)
        core.apply(Update((EndpointRemoved(FIRST.name, 11),), 11), 2.0)
        record = core.catalog.get(FIRST.name)
        core.on_check(record, CheckResult.ANSWERED, 2.0)
        outcome = core.on_segment(
            group.syn(group.flow()), 2.0 + 3 * LAPSE_GRACE_PERIOD_S
        )
        self.assertEqual(PlacementReason.LAST_RESORT, outcome.placed)

    def test_missing_but_alive(self):
        """An endpoint whose entry stays missing gets no new flows.

        It still answers but is leaving: a new flow there, even as a last
        resort, would be cut when it ends. Its open flows continue, and it is
        not checked in a tight loop.
        """
        core = group.steering(FIRST)
        core.apply(Update((EndpointRemoved(FIRST.name, 11),), 11), 2.0)
        record = core.catalog.get(FIRST.name)
        core.on_check(record, CheckResult.ANSWERED, 2.0)
        later = 2.0 + LAPSE_GRACE_PERIOD_S
        core.on_confirmed(later)
        outcome = core.on_segment(group.syn(group.flow()), later)
        self.assertEqual(ResetReason.NO_ENDPOINT, outcome.reason)
        carried = core.on_segment(
            group.segment(group.flow(2), FIRST.token, length=1), later
        )
        self.assertEqual(Forward(FIRST), carried)
        checks = 0
        for step in range(100):
            now = later + step * 0.05
            for due in core.due_checks(now):
                checks += 1
                core.on_check(due, CheckResult.ANSWERED, now)
        self.assertLessEqual(checks, 6)

    def test_gone(self):
        """Flows of an endpoint that is gone are reset.

        Its record is removed some time later.
        """
        core = group.steering(FIRST)
        core.apply(Update((EndpointRemoved(FIRST.name, 11),), 11), 2.0)
        record = core.catalog.get(FIRST.name)
        later = 2.0 + LAPSE_GRACE_PERIOD_S
        core.on_confirmed(later)
        self.assertEqual([record], core.due_checks(later))
        core.on_check(record, CheckResult.REFUSED, later)
        self.assertIs(Presence.GONE, record.presence)
        outcome = core.on_segment(
            group.segment(group.flow(), FIRST.token, length=1), later
        )
        self.assertEqual(ResetReason.ENDPOINT_GONE, outcome.reason)
        core.tick(later + GONE_RETENTION_S)
        self.assertIsNone(core.catalog.get(FIRST.name))

    def test_missing_from_full_list(self):
        """An endpoint that a new complete list lacks counts as lapsed.

        The directory sends such a list after its history was dropped.
        """
        core = group.steering(FIRST, SECOND)
        core.apply(group.listing(FIRST, revision=20), 2.0)
        self.assertIs(Presence.LAPSED, core.catalog.get(SECOND.name).presence)

    def test_outdated_list(self):
        """A complete list from a peer that is behind changes nothing."""
        core = group.steering(FIRST)
        leaving = group.endpoint(1, draining=True)
        core.apply(Update((EndpointAnnounced(leaving, 11),), 11), 1.0)
        core.apply(group.listing(FIRST, revision=5), 1.1)
        record = core.catalog.get(FIRST.name)
        self.assertTrue(record.endpoint.draining)
        self.assertIs(Presence.LISTED, record.presence)


class ConfigurationTest(TestCase):
    """Which configuration is in force."""

    @parameterized.expand([("newer", 2, 2), ("older", 0, 1)])
    def test_version(self, _, offered, in_force):
        """A configuration is never replaced by an older one."""
        core = group.steering(FIRST)
        published = RoutesPublished(group.table(offered), 99)
        core.apply(Update((published,), 99), 1.0)
        self.assertEqual(in_force, core.table.version)
