"""Tests of steering: the flows that all VMs together open to cold endpoints."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters, ResetReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.steering import (
    ColdAllowance,
    ColdLimit,
    Endpoint,
    Forward,
    Position,
    Reset,
    RoutesPublished,
    RouteTable,
    Steering,
    Update,
    Warmup,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._record import Record
from tests import steering_group as group

ALLOWANCE = ColdAllowance(overrun=1.5, slack=5.0)
NO_FLOW_RATE = Warmup(duration_s=2.0, flows_per_s=0.0)
TEN_FLOWS_PER_S = Warmup(duration_s=2.0, flows_per_s=10.0)
STEP_S = 0.01


def _allowed_flows_per_s(warmup: Warmup) -> float:
    return ALLOWANCE.overrun * warmup.flows_per_s + ALLOWANCE.slack


def _limits(views: dict[str, list[str]]) -> list[ColdLimit]:
    limits = []
    for vm, others in views.items():
        limit = ColdLimit(group.ZONE, ALLOWANCE)
        limit.set_sharers(lambda vm=vm, others=others: (vm, others))
        limits.append(limit)
    return limits


def _complete_views(vms: list[str], rng: random.Random) -> dict[str, list[str]]:
    return {vm: [o for o in vms if o != vm] for vm in vms}


def _incomplete_views(
    vms: list[str], rng: random.Random
) -> dict[str, list[str]]:
    views = _complete_views(vms, rng)
    for others in views.values():
        for _ in range(min(2, len(others))):
            others.remove(rng.choice(others))
    return views


def _partitioned_views(
    vms: list[str], rng: random.Random
) -> dict[str, list[str]]:
    halves = vms[::2], vms[1::2]
    return {vm: [o for o in half if o != vm] for half in halves for vm in half}


def _views_with_dead_vms(
    vms: list[str], rng: random.Random
) -> dict[str, list[str]]:
    views = _complete_views(vms, rng)
    return {vm: views[vm] for vm in vms[len(vms) // 3 :]}


def _most_flows_in_a_second(times: list[float]) -> int:
    """Returns the most flows in any second, both its ends included."""
    return max(
        (sum(0.0 <= t - start <= 1.0 for t in times) for start in times),
        default=0,
    )


class FleetTotalTest(TestCase):
    """The flows to one cold endpoint while every VM uses its whole quota."""

    @parameterized.expand(
        [
            (
                f"{views.__name__}_{vms}_{warmup.flows_per_s:g}",
                vms,
                views,
                warmup,
            )
            for vms in (1, 2, 6, 62, 280)
            for views in (
                _complete_views,
                _incomplete_views,
                _partitioned_views,
                _views_with_dead_vms,
            )
            for warmup in (NO_FLOW_RATE, TEN_FLOWS_PER_S)
        ]
    )
    def test_within_allowance(self, _, vms, views, warmup):
        """All VMs see a cold endpoint idle; their flows stay within the limit.

        This happens when a zone returns to service. The VMs know all, some or
        only half of each other, or still count VMs that are dead.
        """
        rng = random.Random(vms)
        names = [f"10.0.{n // 200}.{n % 200}" for n in range(vms)]
        limits = _limits(views(names, rng))
        record = Record(group.endpoint(1), 10, 0.0)
        times = []
        for step in range(int(3.0 / STEP_S)):
            now = step * STEP_S
            for limit in limits:
                while limit.admits(record, warmup, now):
                    limit.on_opened(record, now)
                    times.append(now)
        self.assertLessEqual(
            _most_flows_in_a_second(times), _allowed_flows_per_s(warmup)
        )
        if views is _complete_views:
            self.assertTrue(times)

    def test_window_exceeds_one_second(self):
        """The window is longer than a second, to allow for unequal delays.

        Flows can arrive closer together than they were sent; a VM's flows of
        two windows must not arrive within one second.
        """
        limit = _limits({"a": []})[0]
        record = Record(group.endpoint(1), 10, 0.0)
        for _ in range(ALLOWANCE.allocated(NO_FLOW_RATE)):
            limit.on_opened(record, 0.0)
        self.assertFalse(limit.admits(record, NO_FLOW_RATE, 1.1))
        self.assertTrue(limit.admits(record, NO_FLOW_RATE, 1.3))

    def test_old_flows_are_dropped(self):
        """Endpoints without recent flows are removed."""
        limit = _limits({"a": []})[0]
        limit.on_opened(Record(group.endpoint(1), 10, 0.0), 0.0)
        limit.expire(9.0)
        self.assertEqual({}, limit._opened)


class _ColdLimitTestCase(TestCase):
    def core(
        self, *endpoints: Endpoint, allowance=ALLOWANCE, sharers=("a", [])
    ):
        """Returns a VM's steering core; endpoints are announced at 0 s."""
        core = Steering(
            group.ZONE, Counters(), random.Random(1), None, allowance
        )
        core.apply(group.listing(*endpoints, routes=_table()), 0.0)
        core.on_confirmed(0.0)
        core.cold_limit.set_sharers(lambda: sharers)
        return core

    def open(self, core: Steering, flows: int, now: float) -> list:
        """Opens new flows and returns their outcomes."""
        start = random.Random(now).randrange(1 << 14)
        return [
            core.on_segment(group.syn(group.flow(start + n)), now)
            for n in range(flows)
        ]


def _table(version: int = 1, warmup: Warmup = NO_FLOW_RATE) -> RouteTable:
    known = group.table(version)
    return RouteTable(
        version,
        known.routes,
        known.health_paths,
        known.idle_timeout_s,
        {"registry": warmup},
    )


def _flows_to(outcomes: list, endpoint: Endpoint) -> int:
    return sum(
        isinstance(o, Forward) and o.endpoint.name == endpoint.name
        for o in outcomes
    )


class PlacementTest(_ColdLimitTestCase):
    """The placement of new flows while endpoints are warming up."""

    def test_excess_goes_to_warm_endpoints(self):
        """After a release the new endpoint gets its quota and no more.

        The warm endpoint takes the rest.
        """
        cold = group.endpoint(1, warmup_left_s=2.0)
        warm = group.endpoint(2)
        outcomes = self.open(self.core(cold, warm), 50, 0.5)
        self.assertEqual(
            ALLOWANCE.allocated(NO_FLOW_RATE), _flows_to(outcomes, cold)
        )
        self.assertEqual(
            50, _flows_to(outcomes, cold) + _flows_to(outcomes, warm)
        )

    @parameterized.expand(
        [
            ("other_zone", group.OTHER_ZONE, ("a", [])),
            ("just_started", group.ZONE, None),
        ]
    )
    def test_no_quota(self, _, zone, sharers):
        """VMs without a quota open no flows to cold endpoints.

        These are VMs of other zones and VMs that do not know their zone's
        members yet.
        """
        cold = group.endpoint(1, zone, warmup_left_s=2.0)
        warm = group.endpoint(2)
        outcomes = self.open(self.core(cold, warm, sharers=sharers), 50, 0.5)
        self.assertEqual(0, _flows_to(outcomes, cold))

    def test_before_gossip_starts(self):
        """A VM opens no flows to cold endpoints before its gossip starts.

        Otherwise VMs that start at the same time would each use the whole
        allowance.
        """
        cold = group.endpoint(1, warmup_left_s=2.0)
        warm = group.endpoint(2)
        core = Steering(
            group.ZONE, Counters(), random.Random(1), None, ALLOWANCE
        )
        core.apply(group.listing(cold, warm, routes=_table()), 0.0)
        core.on_confirmed(0.0)
        self.assertEqual(0, _flows_to(self.open(core, 50, 0.5), cold))

    def test_all_endpoints_cold(self):
        """Flows beyond the quota are refused at once if all endpoints are cold.

        This happens when every other zone is lost. The client's next attempt
        may reach another VM that still has quota.
        """
        cold = group.endpoint(1, warmup_left_s=2.0)
        outcomes = self.open(self.core(cold), 10, 0.5)
        quota = ALLOWANCE.allocated(NO_FLOW_RATE)
        self.assertEqual(quota, _flows_to(outcomes, cold))
        refused = [o.reason for o in outcomes if isinstance(o, Reset)]
        self.assertEqual([ResetReason.WARMING_UP] * (10 - quota), refused)

    @parameterized.expand([("warm", 2.5, ALLOWANCE), ("no_limit", 0.5, None)])
    def test_unlimited(self, _, now, allowance):
        """Warm endpoints take all flows; so do cold ones without a limit."""
        cold = group.endpoint(1, warmup_left_s=2.0)
        core = self.core(cold, allowance=allowance)
        self.assertEqual(30, _flows_to(self.open(core, 30, now), cold))


class RestoredZoneTest(_ColdLimitTestCase):
    """A zone returned to service after a drain."""

    def _restored(self, at: float) -> Steering:
        near, far = group.endpoint(1), group.endpoint(2, group.OTHER_ZONE)
        core = self.core(near, far)
        core.apply(Update((ZoneDrained(group.ZONE, 11),), 11), 1.0)
        core.apply(Update((ZoneRestored(group.ZONE, 12),), 12), at)
        return core

    def test_cold_after_restore(self):
        """The restored zone's endpoints count as cold at once.

        All VMs of the zone prefer them, but they have had no traffic. Their
        own announcement of the warm-up arrives one heartbeat later.
        """
        outcomes = self.open(self._restored(9.0), 30, 9.1)
        self.assertEqual(
            ALLOWANCE.allocated(NO_FLOW_RATE),
            _flows_to(outcomes, group.endpoint(1)),
        )

    def test_warm_after_warmup(self):
        """After the service's warm-up time they take all flows again."""
        outcomes = self.open(self._restored(9.0), 30, 11.5)
        self.assertEqual(30, _flows_to(outcomes, group.endpoint(1)))


class PeerUpdateTest(_ColdLimitTestCase):
    """Warm-up settings in the updates that VMs send each other."""

    @parameterized.expand([("whole", 0), ("changes", 10)])
    def test_warmups_in_snapshot(self, _, after):
        """A changed rate is sent along with the configuration."""
        known, learner = self.core(), self.core()
        changed = RoutesPublished(_table(2, TEN_FLOWS_PER_S), 11)
        known.apply(Update((changed,), 11), 1.0)
        update = snapshot.decode(
            snapshot.encode(known, Position(0, after))
        ).ok_value
        learner.apply(update, 1.0)
        self.assertEqual({"registry": TEN_FLOWS_PER_S}, learner.table.warmups)
