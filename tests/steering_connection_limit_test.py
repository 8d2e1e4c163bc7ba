"""Tests of steering: the open flows of all VMs at one endpoint."""

import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import OCCUPANCY_PER_SLOT
from pollenmast.counters import (
    ADMISSIONS,
    AdmissionReason,
    PlacementReason,
    ResetReason,
)
from pollenmast.steering import (
    CheckResult,
    Endpoint,
    Forward,
    Reset,
    RouteTable,
    Steering,
)
from pollenmast.steering._attributes import MAX_CONNS_LIMIT
from pollenmast.steering._connection_limit import (
    HEADROOM_DIVISOR,
    REMOTE_DIVISOR,
    SHARERS_MAX_AGE_S,
    UNKNOWN_SHARERS,
    ConnectionLimit,
)
from pollenmast.steering._flows import FlowTable
from pollenmast.steering._record import Record
from tests import steering_group as group

SERVICE = "registry"
FLEETS = (1, 6, 62, 280)
ZONES = 3


class _Flows(FlowTable):
    """A flow table that reports a given number of flows at any endpoint."""

    def __init__(self):
        super().__init__()
        self.number = 0

    def __len__(self) -> int:
        return self.number

    def count(self, endpoint: str) -> int:
        return self.number


def _share(limit_conns: int, sharers, record: Record) -> int:
    """Returns how many flows a VM opens to an endpoint before it stops."""
    flows = _Flows()
    limit = ConnectionLimit(group.ZONE, flows)
    limit.set_limits({SERVICE: limit_conns})
    limit.set_sharers(lambda now: sharers)
    low, high = 0, limit_conns + 1
    while low < high:
        flows.number = (low + high) // 2
        if limit.admits(record, 0.0):
            low = flows.number + 1
        else:
            high = flows.number
    return low


def _names(vms: int) -> list[str]:
    return [f"10.0.{n // 200}.{n % 200}" for n in range(vms)]


def _others(vm: str, vms: list[str]) -> list[str]:
    return [other for other in vms if other != vm]


def _total(limit_conns: int, vms: list[str], record: Record) -> int:
    return sum(
        _share(limit_conns, (vm, _others(vm, vms)), record) for vm in vms
    )


def _divided(limit_conns: int) -> int:
    return limit_conns - -(-limit_conns // HEADROOM_DIVISOR)


def _record(number: int = 1, zone: str = group.ZONE) -> Record:
    return Record(group.endpoint(number, zone), 10, 0.0)


class FleetTotalTest(TestCase):
    """The flows at one endpoint while every VM uses its whole share."""

    @parameterized.expand(
        [
            (f"{vms}_vms_{limit_conns}", vms, limit_conns)
            for vms in FLEETS
            for limit_conns in (320, 2000, MAX_CONNS_LIMIT)
        ]
    )
    def test_within_limit(self, _, vms, limit_conns):
        """All VMs fill their shares and the endpoint gets more than it holds.

        This happens if each VM rounds its share up, or if two VMs take the
        same remaining flow. A sum below the divided part would leave
        connections unused.
        """
        for number in (1, 2, 3):
            total = _total(limit_conns, _names(vms), _record(number))
            self.assertEqual(_divided(limit_conns), total)
            self.assertLess(total, limit_conns)

    @parameterized.expand(
        [
            (f"{vms}_vms_{limit_conns}", vms, limit_conns)
            for vms in FLEETS[1:]
            for limit_conns in (311, 2000)
        ]
    )
    def test_partitioned_zone(self, _, vms, limit_conns):
        """Two halves of a zone that do not hear each other open too many flows.

        Each half divides the whole limit. The sum must not exceed twice the
        limit less the headroom.
        """
        names = _names(vms)
        total = sum(
            _total(limit_conns, half, _record())
            for half in (names[::2], names[1::2])
        )
        self.assertLessEqual(total, 2 * _divided(limit_conns))

    @parameterized.expand([(f"{vms}_vms", vms) for vms in (6, 62, 280)])
    def test_incomplete_views(self, _, vms):
        """VMs that each miss one other VM exceed the limit.

        Their views differ while VMs start. The headroom covers the few flows
        more of a zone of at least 20 VMs; smaller zones exceed it by no more
        than the missing VM's share.
        """
        rng = random.Random(vms)
        names = _names(vms)
        total = 0
        for vm in names:
            others = _others(vm, names)
            others.remove(rng.choice(others))
            total += _share(2000, (vm, others), _record())
        missing = _divided(2000) // (vms - 1) + 1
        self.assertLessEqual(total, max(2000, _divided(2000) + missing))

    @parameterized.expand(
        [
            ("one_connection", 62, 1, 62),
            ("fewer_than_vms", 280, 100, 280),
            ("one_connection_one_vm", 1, 1, 1),
            ("one_each", 90, 100, 90),
        ]
    )
    def test_more_vms_than_connections(self, _, vms, limit_conns, expected):
        """A VM whose share is rounded down to zero refuses all its clients.

        Each VM has one flow at least, so the endpoint has one for each VM at
        most.
        """
        self.assertEqual(expected, _total(limit_conns, _names(vms), _record()))

    @parameterized.expand(
        [
            ("one", 1, 1),
            ("usual", 2000, _divided(2000) // UNKNOWN_SHARERS),
            (
                "largest",
                MAX_CONNS_LIMIT,
                _divided(MAX_CONNS_LIMIT) // UNKNOWN_SHARERS,
            ),
        ]
    )
    def test_unknown_vms(self, _, limit_conns, expected):
        """VMs that have just started each fill the endpoint on their own.

        After a loss of power no VM knows the others, and the backlog of all
        clients arrives at once.
        """
        self.assertEqual(expected, _share(limit_conns, None, _record()))

    @parameterized.expand([(f"{vms}_vms", vms) for vms in (1, 6, 28, 93)])
    def test_other_zones(self, _, vms):
        """VMs of other zones each take as much as a VM of the own zone.

        They do not know the VMs of the endpoint's zone. When all zones are
        overloaded, each zone's flows overflow into the others.
        """
        own = _total(2000, _names(vms), _record())
        far = _total(2000, _names(vms), _record(zone=group.OTHER_ZONE))
        self.assertEqual(_divided(2000) // REMOTE_DIVISOR, far)
        self.assertLessEqual(own + (ZONES - 1) * far, 1.5 * 2000)

    def test_remainder_is_spread(self):
        """The same VM gets the remaining flow of every endpoint.

        Its clients would then reach more endpoints than those of others.
        """
        names = _names(6)
        sharers = names[0], names[1:]
        shares = {_share(311, sharers, _record(n)) for n in range(1, 40)}
        self.assertEqual({_divided(311) // 6, _divided(311) // 6 + 1}, shares)


class ChangeTest(TestCase):
    """Shares after a change of the VMs or of the configuration."""

    def _limit(self, number: int) -> ConnectionLimit:
        flows = _Flows()
        flows.number = number
        limit = ConnectionLimit(group.ZONE, flows)
        limit.set_limits({SERVICE: 100})
        return limit

    def test_vms_change(self):
        """A VM keeps its old share after others have joined or were lost."""
        limit = self._limit(46)
        sharers = ["a", ["b"]]
        limit.set_sharers(lambda now: tuple(sharers))
        self.assertFalse(limit.admits(_record(), 0.0))
        sharers[1] = []
        self.assertTrue(limit.admits(_record(), SHARERS_MAX_AGE_S))
        sharers[1] = ["b", "c"]
        self.assertFalse(limit.admits(_record(), 2 * SHARERS_MAX_AGE_S))

    def test_limit_changes(self):
        """A limit that the operator has raised or removed stays in force."""
        limit = self._limit(90)
        limit.set_sharers(lambda now: ("a", []))
        self.assertFalse(limit.admits(_record(), 0.0))
        limit.set_limits({SERVICE: 200})
        self.assertTrue(limit.admits(_record(), 0.0))
        limit.set_limits({SERVICE: 100})
        self.assertFalse(limit.admits(_record(), 0.0))
        limit.set_limits({})
        self.assertTrue(limit.admits(_record(), 0.0))

    @parameterized.expand(
        [
            ("no_limit", {}, 10**6, False),
            ("another_service", {"other": 1}, 10**6, False),
            ("far_below", {SERVICE: 2000}, 20, False),
            ("no_flows", {SERVICE: 1}, 0, False),
            ("may_be_full", {SERVICE: 100}, 40, True),
        ]
    )
    def test_applies(self, _, limits, number, expected):
        """Placement checks each endpoint although none can be at its limit.

        That would take processor time in every deployment.
        """
        limit = self._limit(number)
        limit.set_limits(limits)
        limit.set_sharers(lambda now: ("a", _names(21)))
        self.assertEqual(expected, limit.applies(SERVICE, 0.0))

    @parameterized.expand([("admits",), ("applies",)])
    def test_no_query_without_limit(self, method):
        """The VMs are queried for services that state no limit.

        The query takes time proportional to the number of VMs.
        """
        limit = self._limit(20)
        limit.set_limits({})
        limit.set_sharers(lambda now: self.fail("queried"))
        argument = SERVICE if method == "applies" else _record()
        getattr(limit, method)(argument, 0.0)


def _table(limit_conns: int | None, version: int = 1) -> RouteTable:
    max_conns = {} if limit_conns is None else {SERVICE: limit_conns}
    return attrs.evolve(group.table(version), max_conns=max_conns)


def _core(*endpoints: Endpoint, limit_conns: int | None) -> Steering:
    """Returns the steering core of a VM that is alone in its zone."""
    core = group.steering(*endpoints, routes=_table(limit_conns))
    core.admission_control.set_sharers(lambda now: ("a", []))
    return core


def _open(core: Steering, first: int, flows: int, now: float = 0.5) -> list:
    return [
        core.on_segment(group.syn(group.flow(first + n)), now)
        for n in range(flows)
    ]


def _flows_to(outcomes: list, endpoint: Endpoint) -> int:
    return sum(
        isinstance(o, Forward) and o.endpoint.name == endpoint.name
        for o in outcomes
    )


def _reset_reasons(outcomes: list) -> list[ResetReason]:
    return [o.reason for o in outcomes if isinstance(o, Reset)]


class PlacementTest(TestCase):
    """The placement of new flows while endpoints are at this VM's share."""

    def test_one_endpoint_at_share(self):
        """An endpoint at its share gets further flows although another is free.

        The open flows of the first one are long, so that its load does not
        show them.
        """
        full, free = group.endpoint(1), group.endpoint(2)
        core = _core(full, free, limit_conns=100)
        for number in range(90):
            core.flows.bind(group.flow(number), full.name, 0.5)
        outcomes = _open(core, 100, 30)
        self.assertEqual(30, _flows_to(outcomes, free))

    def test_all_at_share(self):
        """Flows beyond the limit are placed, or refused without the reason."""
        ends = group.endpoint(1), group.endpoint(2)
        outcomes = _open(_core(*ends, limit_conns=10), 0, 25)
        self.assertEqual([9, 9], [_flows_to(outcomes, e) for e in ends])
        self.assertEqual(
            [ResetReason.CONNECTION_LIMIT] * 7, _reset_reasons(outcomes)
        )

    def test_other_zone_before_refusal(self):
        """A VM refuses flows although endpoints of other zones have room."""
        near, far = group.endpoint(1), group.endpoint(2, group.OTHER_ZONE)
        outcomes = _open(_core(near, far, limit_conns=10), 0, 20)
        self.assertEqual([9, 3], [_flows_to(outcomes, e) for e in (near, far)])
        placed = [o for o in outcomes if isinstance(o, Forward)]
        self.assertEqual(PlacementReason.OTHER_ZONE, placed[-1].placed)
        self.assertEqual(
            [ResetReason.CONNECTION_LIMIT] * 8, _reset_reasons(outcomes)
        )

    def test_down_endpoint_is_no_alternative(self):
        """A flow goes to an endpoint that is down because others are full."""
        full, down = group.endpoint(1), group.endpoint(2)
        core = _core(full, down, limit_conns=10)
        core.on_check(core.catalog.get(down.name), CheckResult.REFUSED, 0.1)
        outcomes = _open(core, 0, 12)
        self.assertEqual(9, _flows_to(outcomes, full))
        self.assertEqual(0, _flows_to(outcomes, down))
        self.assertEqual(
            [ResetReason.CONNECTION_LIMIT] * 3, _reset_reasons(outcomes)
        )

    def test_retransmitted_syn(self):
        """The copy of a SYN is refused because of the flow that it opens.

        The flow counts at its endpoint since its first SYN. The copy adds no
        connection, and a reset would end a flow that is about to be served.
        """
        only = group.endpoint(1)
        core = _core(only, limit_conns=1)
        self.assertEqual(1, _flows_to(_open(core, 0, 1, 0.5), only))
        self.assertEqual(1, _flows_to(_open(core, 0, 1, 0.8), only))
        self.assertEqual(
            [ResetReason.CONNECTION_LIMIT],
            _reset_reasons(_open(core, 1, 1, 0.9)),
        )

    def test_ended_flow_frees_its_place(self):
        """An endpoint stays at its limit after its flows have ended."""
        only = group.endpoint(1)
        core = _core(only, limit_conns=1)
        _open(core, 0, 1)
        fin = group.segment(group.flow(0), only.token, fin=True)
        core.on_segment(fin, 0.6)
        self.assertEqual(1, _flows_to(_open(core, 1, 1, 0.7), only))

    def test_removed_limit(self):
        """A limit stays in force after a configuration without it."""
        only = group.endpoint(1)
        core = _core(only, limit_conns=1)
        _open(core, 0, 1)
        update = group.listing(only, revision=11, routes=_table(None, 2))
        core.apply(update, 0.6)
        self.assertEqual(20, _flows_to(_open(core, 1, 20, 0.7), only))

    def test_accepts(self):
        """Admission control places a flow on an endpoint at its share.

        It chooses the endpoints for its credits itself and asks only whether
        they accept a flow.
        """
        ends = [group.endpoint(n, slots=8) for n in (1, 2)]
        table = _table(10)
        routes = {
            address: attrs.evolve(route, priority=0, target_latency_s=0.4)
            for address, route in table.routes.items()
        }
        core = group.steering(*ends, routes=attrs.evolve(table, routes=routes))
        core.admission_control.set_sharers(lambda now: ("a", []))
        outcomes = _open(core, 0, 8 * OCCUPANCY_PER_SLOT * len(ends) - 1)
        for end in ends:
            self.assertEqual(9, _flows_to(outcomes, end))
        by_credit = core._counters.value(ADMISSIONS, AdmissionReason.CREDIT)
        self.assertGreater(by_credit, 0)

    @parameterized.expand(
        [
            ("one_vm", ("a", []), 2000, 200),
            ("zone_of_28_vms", ("a", _names(27)), 2000, 60),
            ("unknown_vms", None, 2000, 40),
            ("largest", ("a", _names(279)), MAX_CONNS_LIMIT, 200),
        ]
    )
    def test_far_limit_changes_nothing(self, _, sharers, limit_conns, flows):
        """A limit far above the open flows changes placement.

        Each check that draws a random number or leaves an endpoint out
        would.
        """
        ends = [
            *(group.endpoint(n) for n in (1, 2, 3)),
            *(group.endpoint(n, group.OTHER_ZONE) for n in (4, 5, 6)),
        ]
        without = _open(_core(*ends, limit_conns=None), 0, flows)
        core = _core(*ends, limit_conns=limit_conns)
        core.admission_control.set_sharers(lambda now: sharers)
        limited = _open(core, 0, flows)
        self.assertEqual(without, limited)
        self.assertEqual([], _reset_reasons(limited))

    def test_no_limit(self):
        """A service without `maxConns` is limited by the limit of another."""
        only = group.endpoint(1)
        routes = attrs.evolve(group.table(), max_conns={"other": 1})
        core = group.steering(only, routes=routes)
        self.assertEqual(200, _flows_to(_open(core, 0, 200), only))
