"""Tests of steering: flows to endpoints that warm up, summed over all VMs."""

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
SLOW = Warmup(duration_s=2.0, flows_per_s=0.0)
STEADY = Warmup(duration_s=2.0, flows_per_s=10.0)
STEP_S = 0.01


def _bound(warmup: Warmup) -> float:
    return ALLOWANCE.overrun * warmup.flows_per_s + ALLOWANCE.slack


def _limits(views: dict[str, list[str]]) -> list[ColdLimit]:
    limits = []
    for vm, others in views.items():
        limit = ColdLimit(group.ZONE, ALLOWANCE)
        limit.join(lambda vm=vm, others=others: (vm, others))
        limits.append(limit)
    return limits


def _everybody(vms: list[str], rng: random.Random) -> dict[str, list[str]]:
    return {vm: [o for o in vms if o != vm] for vm in vms}


def _some_unknown(vms: list[str], rng: random.Random) -> dict[str, list[str]]:
    views = _everybody(vms, rng)
    for others in views.values():
        for _ in range(min(2, len(others))):
            others.remove(rng.choice(others))
    return views


def _parted(vms: list[str], rng: random.Random) -> dict[str, list[str]]:
    halves = vms[::2], vms[1::2]
    return {vm: [o for o in half if o != vm] for half in halves for vm in half}


def _dead_known(vms: list[str], rng: random.Random) -> dict[str, list[str]]:
    views = _everybody(vms, rng)
    return {vm: views[vm] for vm in vms[len(vms) // 3 :]}


def _greatest_second(times: list[float]) -> int:
    """Returns the most flows in any second, its ends included."""
    return max(
        (sum(0.0 <= t - start <= 1.0 for t in times) for start in times),
        default=0,
    )


class SumTest(TestCase):
    """What one cold endpoint gets while every VM opens all that it may."""

    @parameterized.expand(
        [
            (
                f"{views.__name__}_{vms}_{warmup.flows_per_s:g}",
                vms,
                views,
                warmup,
            )
            for vms in (1, 2, 6, 62, 280)
            for views in (_everybody, _some_unknown, _parted, _dead_known)
            for warmup in (SLOW, STEADY)
        ]
    )
    def test_below_bound(self, _, vms, views, warmup):
        """A zone comes back cold, and all VMs find its endpoints idle."""
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
        self.assertLessEqual(_greatest_second(times), _bound(warmup))
        if views is _everybody:
            self.assertTrue(times)

    def test_delay(self):
        """Flows of two VMs arrive closer together than they were sent.

        One VM's flows of two windows must not fall into one second.
        """
        limit = _limits({"a": []})[0]
        record = Record(group.endpoint(1), 10, 0.0)
        for _ in range(ALLOWANCE.allocated(SLOW)):
            limit.on_opened(record, 0.0)
        self.assertFalse(limit.admits(record, SLOW, 1.1))
        self.assertTrue(limit.admits(record, SLOW, 1.3))

    def test_memory(self):
        """Endpoints of the past are forgotten."""
        limit = _limits({"a": []})[0]
        limit.on_opened(Record(group.endpoint(1), 10, 0.0), 0.0)
        limit.expire(9.0)
        self.assertEqual({}, limit._opened)


class _ColdCase(TestCase):
    def core(
        self, *endpoints: Endpoint, allowance=ALLOWANCE, sharers=("a", [])
    ):
        """Returns a VM's beliefs; endpoints are announced at 0 s."""
        core = Steering(
            group.ZONE, Counters(), random.Random(1), None, allowance
        )
        core.apply(group.listing(*endpoints, routes=_table()), 0.0)
        core.on_confirmed(0.0)
        core.cold_limit.join(lambda: sharers)
        return core

    def open(self, core: Steering, flows: int, now: float) -> list:
        """Returns what becomes of new flows."""
        start = random.Random(now).randrange(1 << 14)
        return [
            core.on_segment(group.syn(group.flow(start + n)), now)
            for n in range(flows)
        ]


def _table(version: int = 1, warmup: Warmup = SLOW) -> RouteTable:
    known = group.table(version)
    return RouteTable(
        version,
        known.routes,
        known.health_paths,
        known.idle_timeout_s,
        {"registry": warmup},
    )


def _reached(outcomes: list, endpoint: Endpoint) -> int:
    return sum(
        isinstance(o, Forward) and o.endpoint.name == endpoint.name
        for o in outcomes
    )


class PlacingTest(_ColdCase):
    """Where new flows go while endpoints warm up."""

    def test_rest_goes_to_warm_ones(self):
        """A released service: the new endpoint gets its part, no more."""
        cold = group.endpoint(1, warm_in_s=2.0)
        warm = group.endpoint(2)
        outcomes = self.open(self.core(cold, warm), 50, 0.5)
        self.assertEqual(ALLOWANCE.allocated(SLOW), _reached(outcomes, cold))
        self.assertEqual(
            50, _reached(outcomes, cold) + _reached(outcomes, warm)
        )

    @parameterized.expand(
        [
            ("other_zone", group.OTHER_ZONE, ("a", [])),
            ("just_started", group.ZONE, None),
        ]
    )
    def test_no_part(self, _, zone, sharers):
        """VMs that cannot know their part leave cold endpoints to others."""
        cold = group.endpoint(1, zone, warm_in_s=2.0)
        warm = group.endpoint(2)
        outcomes = self.open(self.core(cold, warm, sharers=sharers), 50, 0.5)
        self.assertEqual(0, _reached(outcomes, cold))

    def test_first_stage(self):
        """A VM carries packets before it has a way to hear of other VMs.

        Many that start at once would each take the whole part.
        """
        cold = group.endpoint(1, warm_in_s=2.0)
        warm = group.endpoint(2)
        core = Steering(
            group.ZONE, Counters(), random.Random(1), None, ALLOWANCE
        )
        core.apply(group.listing(cold, warm, routes=_table()), 0.0)
        core.on_confirmed(0.0)
        self.assertEqual(0, _reached(self.open(core, 50, 0.5), cold))

    def test_all_cold(self):
        """Every other zone is lost: what is beyond the part is refused at once.

        The client's next try can find another VM's part.
        """
        cold = group.endpoint(1, warm_in_s=2.0)
        outcomes = self.open(self.core(cold), 10, 0.5)
        part = ALLOWANCE.allocated(SLOW)
        self.assertEqual(part, _reached(outcomes, cold))
        refused = [o.reason for o in outcomes if isinstance(o, Reset)]
        self.assertEqual([ResetReason.WARMING_UP] * (10 - part), refused)

    @parameterized.expand([("warm", 2.5, ALLOWANCE), ("no_limit", 0.5, None)])
    def test_unlimited(self, _, now, allowance):
        """Warm endpoints, and deployments without a limit, take all flows."""
        cold = group.endpoint(1, warm_in_s=2.0)
        core = self.core(cold, allowance=allowance)
        self.assertEqual(30, _reached(self.open(core, 30, now), cold))


class RestoredZoneTest(_ColdCase):
    """A zone is taken back after a drain."""

    def _restored(self, at: float) -> Steering:
        near, far = group.endpoint(1), group.endpoint(2, group.OTHER_ZONE)
        core = self.core(near, far)
        core.apply(Update((ZoneDrained(group.ZONE, 11),), 11), 1.0)
        core.apply(Update((ZoneRestored(group.ZONE, 12),), 12), at)
        return core

    def test_cold(self):
        """Its VMs all prefer its endpoints, which nothing has warmed.

        Their own announcement of that comes a heartbeat later.
        """
        outcomes = self.open(self._restored(9.0), 30, 9.1)
        self.assertEqual(
            ALLOWANCE.allocated(SLOW), _reached(outcomes, group.endpoint(1))
        )

    def test_warm_again(self):
        """After the service's time they are used as before."""
        outcomes = self.open(self._restored(9.0), 30, 11.5)
        self.assertEqual(30, _reached(outcomes, group.endpoint(1)))


class TellingTest(_ColdCase):
    """VMs hear of warm-up rates from each other."""

    @parameterized.expand([("whole", 0), ("changes", 10)])
    def test_snapshot(self, _, after):
        """A changed rate travels with the configuration."""
        known, learner = self.core(), self.core()
        changed = RoutesPublished(_table(2, STEADY), 11)
        known.apply(Update((changed,), 11), 1.0)
        told = snapshot.decode(
            snapshot.encode(known, Position(0, after))
        ).ok_value
        learner.apply(told, 1.0)
        self.assertEqual({"registry": STEADY}, learner.table.warmups)
