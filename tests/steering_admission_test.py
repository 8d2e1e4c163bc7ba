"""Tests of admission control in steering: holds, releases, refusals."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.admission import Admit, AdmitReason
from pollenmast.admission._in_progress import OPENING_TIMEOUT_S
from pollenmast.counters import DropReason, ResetReason
from pollenmast.steering import (
    CheckResult,
    Drop,
    EndpointAnnounced,
    Forward,
    Held,
    Reset,
    RoutesPublished,
    RouteTable,
    Update,
)
from pollenmast.steering._admission_control import GUEST_RETRY_S
from tests import steering_group as group

URGENT, NORMAL, UNSTATED = 443, 444, 445
"""Ports of the routes: priority 0, priority 1, no priority."""

HOLD_S = 0.25
"""How long a flow is held: a quarter of the target latency of one second."""

ONE = group.endpoint(1, slots=1)
OTHER = group.endpoint(2, slots=1)


def _table(version=1, ports=(URGENT, NORMAL, UNSTATED)) -> RouteTable:
    base = group.table(version)
    (route,) = base.routes.values()
    stated = {URGENT: (0, 1.0), NORMAL: (1, 1.0), UNSTATED: (None, None)}
    routes = {}
    for port in ports:
        priority, target_s = stated[port]
        routes[route.host, port] = attrs.evolve(
            route, port=port, priority=priority, target_latency_s=target_s
        )
    return attrs.evolve(base, routes=routes)


def _key(number: int, port: int = NORMAL):
    return attrs.evolve(group.flow(number), service_port=port)


class _Case(TestCase):
    """A VM that has all credits: two at each endpoint."""

    def _vm(self, *endpoints):
        core = group.steering(*endpoints or (ONE,), routes=_table())
        core.admission_control.set_sharers(lambda now: ("vm", []))
        return core

    def _full(self, *endpoints):
        """Returns a VM whose credits are in use, and its flows' endpoints."""
        core = self._vm(*endpoints)
        keys = [_key(number) for number in range(2 * len(endpoints or (ONE,)))]
        at = {}
        for key in keys:
            outcome = core.on_segment(group.syn(key), 0.0)
            at[key] = outcome.endpoint
            ack = group.segment(key, outcome.endpoint.token)
            core.on_segment(ack, 0.0)
            core.on_segment(attrs.evolve(ack, length=100), 0.0)
        return core, at

    def _answer(self, core, key, endpoint, now, acknowledged=501, **fields):
        fields = {"sequence": 101, "acknowledged": acknowledged, **fields}
        core.on_segment(group.segment(key, endpoint.token, **fields), now)

    def _hold(self, core, number=9, port=NORMAL, now=0.0):
        key = _key(number, port)
        self.assertEqual(Held(), core.on_segment(group.syn(key), now))
        return key

    def _count(self, core, counter, reason):
        return core._counters.value(counter, reason)


class ArrivalTest(_Case):
    """Decisions about arriving SYNs."""

    def test_unstated_route(self):
        """A route without priority is never held, however full the VM is.

        Deployments that state no priority would otherwise change behaviour.
        """
        core = self._vm()
        for number in range(40):
            key = _key(number, UNSTATED)
            outcome = core.on_segment(group.syn(key), 0.0)
            self.assertIsInstance(outcome, Forward)

    def test_copy(self):
        """A copy of a held SYN is dropped, not queued a second time."""
        core, _ = self._full()
        key = self._hold(core)
        copy = core.on_segment(group.syn(key, 1), 0.2)
        self.assertEqual(Drop(DropReason.HELD), copy)
        self.assertEqual(1, core.admission.held)

    def test_no_room(self):
        """A flow that cannot be placed in time is reset at once, not held.

        A sequence number other than 0 would be ignored by the client, which
        would then wait for its timeout.
        """
        core, _ = self._full()
        # Two requests at a time take 50 ms each: 52 in the 1.3 s that a client
        # waits.
        for number in range(10, 62):
            self._hold(core, number)
        key = _key(62)
        outcome = core.on_segment(group.syn(key), 0.0)
        self.assertEqual(
            Reset(key, 0, ResetReason.NO_ROOM, service="registry"), outcome
        )
        self.assertEqual(1, self._count(core, c.RESETS, ResetReason.NO_ROOM))

    def test_copy_at_other_vm(self):
        """A VM fails with a held SYN: the copy is placed by another VM."""
        core, _ = self._full()
        key = self._hold(core)
        outcome = self._vm().on_segment(group.syn(key, 1), 0.2)
        self.assertIsInstance(outcome, Forward)

    def test_named_endpoint_unusable(self):
        """A flow is placed elsewhere if the endpoint chosen for it is lost."""
        core = self._vm(OTHER)
        admit = Admit(ONE.name, AdmitReason.CREDIT)
        core.admission_control.decide = lambda *_: admit
        outcome = core.on_segment(group.syn(_key(1)), 0.0)
        self.assertEqual(OTHER, outcome.endpoint)


class ReleaseTest(_Case):
    """Decisions about held SYNs."""

    def test_answered(self):
        """A held SYN is forwarded when a request in progress is answered."""
        core, at = self._full()
        key = self._hold(core)
        self.assertEqual([], core.release_held(0.1))
        first, endpoint = next(iter(at.items()))
        self._answer(core, first, endpoint, 0.1)
        (released,) = core.release_held(0.1)
        self.assertEqual(key, released.segment.flow)
        self.assertEqual(ONE, released.outcome.endpoint)
        self.assertEqual(1, self._count(core, c.FLOWS_HELD, ""))
        self.assertEqual(1, self._count(core, c.ADMISSIONS, "after_hold"))

    def test_same_instant(self):
        """A flow that is held and placed in one batch counts as held.

        Otherwise held flows and their outcomes do not add up.
        """
        core, at = self._full()
        self._hold(core)
        self._answer(core, *next(iter(at.items())), 0.0)
        self.assertEqual(1, len(core.release_held(0.0)))
        self.assertEqual(1, self._count(core, c.ADMISSIONS, "after_hold"))

    def test_expired(self):
        """A hold that expires is refused once, with a reset of sequence 0."""
        core, _ = self._full()
        key = self._hold(core)
        self.assertEqual([], core.release_held(HOLD_S - 0.01))
        (released,) = core.release_held(HOLD_S)
        reason = ResetReason.HOLD_EXPIRED
        reset = Reset(key, 0, reason, service="registry")
        self.assertEqual(reset, released.outcome)
        self.assertEqual([], core.release_held(2 * HOLD_S))
        self.assertEqual(1, self._count(core, c.RESETS, reason))

    def test_urgent_first(self):
        """An urgent flow overtakes one that has waited longer."""
        core, at = self._full()
        self._hold(core, 8, NORMAL)
        urgent = self._hold(core, 9, URGENT)
        self._answer(core, *next(iter(at.items())), 0.1)
        (released,) = core.release_held(0.1)
        self.assertEqual(urgent, released.segment.flow)

    def test_endpoint_drained(self):
        """A held SYN does not go to an endpoint that drains meanwhile."""
        core, at = self._full(ONE, OTHER)
        self._hold(core)
        draining = attrs.evolve(ONE, draining=True)
        core.apply(Update((EndpointAnnounced(draining, 11),), 11), 0.05)
        for endpoint, released in ((ONE, 0), (OTHER, 1)):
            key = next(k for k, e in at.items() if e == endpoint)
            self._answer(core, key, endpoint, 0.1)
            outcomes = [each.outcome for each in core.release_held(0.1)]
            self.assertEqual(released, len(outcomes))
        self.assertEqual(OTHER, outcomes[0].endpoint)

    @parameterized.expand([("copy_seen", True), ("no_copy", False)])
    def test_route_removed(self, _, copied):
        """A held SYN of a removed route is reset once, and never placed.

        Placed by the old route, it would occupy an endpoint of a flow whose
        client had its copy reset.
        """
        core, at = self._full()
        key = self._hold(core)
        routes = RoutesPublished(_table(2, (URGENT,)), 11)
        core.apply(Update((routes,), 11), 0.05)
        if copied:
            core.on_segment(group.syn(key, 1), 0.1)
        self._answer(core, *next(iter(at.items())), 0.1)
        for released in core.release_held(0.1):
            self.assertIsInstance(released.outcome, Reset)
        self.assertEqual(0, core.admission.held)
        self.assertEqual(1, self._count(core, c.RESETS, ResetReason.NO_ROUTE))

    @parameterized.expand([("reset", {"rst": True}), ("moved", {"length": 9})])
    def test_superseded(self, _, fields):
        """A hold ends when the client resets the flow or uses it elsewhere.

        Another VM may have placed a copy while this one was out of rotation.
        The held SYN would then be sent to a second endpoint.
        """
        core, at = self._full()
        key = self._hold(core)
        core.on_segment(group.segment(key, ONE.token, **fields), 0.1)
        self._answer(core, *next(iter(at.items())), 0.1)
        self.assertEqual([], core.release_held(0.1))
        self.assertEqual([], core.release_held(2 * HOLD_S))

    def test_all_refused(self):
        """A VM that stops or was suspended resets what it holds.

        Otherwise these clients wait for their next retransmission, or, after
        a suspension, occupy endpoints though they have given up.
        """
        core, _ = self._full()
        keys = [self._hold(core, number) for number in (8, 9)]
        released = core.refuse_held(0.1)
        self.assertEqual(keys, [each.segment.flow for each in released])
        reason = ResetReason.HOLD_EXPIRED
        self.assertEqual(
            [reason] * 2, [each.outcome.reason for each in released]
        )
        self.assertEqual([], core.release_held(HOLD_S))
        self.assertEqual(2, self._count(core, c.RESETS, reason))

    def test_guest_search(self):
        """Releases in quick succession search other zones once.

        The search passes over all endpoints of a service. One for each packet
        would occupy the processor during a flood of SYNs.
        """
        core, _ = self._full()
        searches = []
        core._selector.less_loaded_zone = lambda *args: searches.append(args)
        self._hold(core)
        for step in range(10):
            core.release_held(step / 1000)
        self.assertEqual(1, len(searches))
        core.release_held(GUEST_RETRY_S)
        self.assertEqual(2, len(searches))


class RequestsInProgressTest(_Case):
    """Which segments end a request in progress.

    A request that never ends takes a credit from new flows; one that ends too
    early sends an endpoint more than it can queue.
    """

    @parameterized.expand(
        [
            ("answer", {"acknowledged": 501}, 1),
            ("fin", {"acknowledged": 1, "fin": True}, 1),
            ("rst", {"acknowledged": 1, "rst": True}, 1),
            ("duplicate", {"acknowledged": 1}, 2),
            ("backward", {"acknowledged": (1 << 32) - 5}, 2),
            ("zero", {"acknowledged": 0}, 2),
        ]
    )
    def test_end(self, _, fields, left):
        """Only an answer or the end of the flow ends its request."""
        core, at = self._full()
        self._answer(core, *next(iter(at.items())), 0.1, **fields)
        self.assertEqual(left, core.admission.in_progress.count("registry"))

    def test_endpoint_lost(self):
        """Requests of an endpoint that is marked down end with their flows."""
        core, _ = self._full()
        record = core.catalog.get(ONE.name)
        self.assertEqual(
            2, len(core.on_check(record, CheckResult.REFUSED, 0.1))
        )
        self.assertEqual(0, core.admission.in_progress.count("registry"))

    def test_moved_here(self):
        """A request of a flow that another VM opened counts here too."""
        core = self._vm()
        request = group.segment(_key(1), ONE.token, length=100)
        core.on_segment(request, 0.0)
        self.assertEqual(1, core.admission.in_progress.count_at(ONE.name))
        self._answer(core, _key(1), ONE, 0.1)
        self.assertEqual(0, core.admission.in_progress.count_at(ONE.name))


class UnansweredSynTest(_Case):
    """SYNs from forged addresses, whose answers nobody acknowledges.

    Counted as long as requests, ten of them a second would use up the credits
    of a VM, and it would refuse the flows of its clients.
    """

    @parameterized.expand([("forged", False, 0), ("opened", True, 2)])
    def test_timeout(self, _, opened, left):
        """A SYN alone counts for a short time, an open flow for longer."""
        core = self._vm()
        for number in range(2):
            placed = core.on_segment(group.syn(_key(number)), 0.0)
            if opened:
                ack = group.segment(_key(number), placed.endpoint.token)
                core.on_segment(ack, 0.01)
        core.admission.in_progress.expire(OPENING_TIMEOUT_S)
        self.assertEqual(left, core.admission.in_progress.count("registry"))

    def test_late_request(self):
        """A request counts even if its client answered the SYN late."""
        core = self._vm()
        placed = core.on_segment(group.syn(_key(1)), 0.0)
        core.admission.in_progress.expire(OPENING_TIMEOUT_S)
        request = group.segment(_key(1), placed.endpoint.token, length=100)
        core.on_segment(request, 2 * OPENING_TIMEOUT_S)
        self.assertEqual(1, core.admission.in_progress.count("registry"))


class RotationTest(_Case):
    """The set of VMs in rotation changes, and nearly all flows move.

    The ends of all requests in progress then pass through other VMs. A VM that
    waited for them would refuse urgent flows while endpoints are idle.
    """

    @parameterized.expand(
        [
            ("ends", [0.1] * 3, {"fin": True}, 0),
            ("requests", [0.1] * 3, {"length": 9}, 3),
            ("two", [0.1] * 2, {"fin": True}, 2),
            ("spread", [0.04, 0.1, 0.25], {"fin": True}, 2),
            ("last_acknowledgements", [0.1] * 9, {}, 2),
        ]
    )
    def test_moved_flows(self, _, times, fields, left):
        """Only several flows of other VMs in a short time show a change."""
        core, _ = self._full()
        key = self._hold(core, now=0.03)
        for number, now in enumerate(times, 20):
            moved = group.segment(_key(number), ONE.token, **fields)
            core.on_segment(moved, now)
        core.admission.in_progress.expire(0.26)
        self.assertEqual(left, core.admission.in_progress.count("registry"))
        placed = [each.segment.flow for each in core.release_held(0.26)]
        self.assertEqual([key] if left == 0 else [], placed)

    def test_own_flows(self):
        """The ends of a VM's own flows do not show a change."""
        core = self._vm(*(group.endpoint(n) for n in range(1, 9)))
        for number in range(8):
            key = _key(number)
            placed = core.on_segment(group.syn(key), 0.0)
            self._answer(core, key, placed.endpoint, 0.1, fin=True)
            self._answer(core, key, placed.endpoint, 0.1)
        placed = core.on_segment(group.syn(_key(8)), 0.0)
        request = group.segment(_key(8), placed.endpoint.token, length=100)
        core.on_segment(request, 0.0)
        core.release_held(0.1)
        self.assertEqual(1, core.admission.in_progress.count("registry"))
