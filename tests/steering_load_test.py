"""Tests of steering._load and of placement by it."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import PlacementReason
from pollenmast.steering import Catalog, LoadBook
from pollenmast.steering._load import REPORT_LIFE_S, SETTLED_S, WINDOW_S
from pollenmast.steering._placement import (
    ZONE_ADVANTAGE,
    ZONE_FACTOR,
    Placement,
)
from tests import steering_group as group

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)
FAR = group.endpoint(3, zone=group.OTHER_ZONE)


def _rates(book: LoadBook, now: float) -> list[float]:
    """Returns the rates of the first three endpoints."""
    return [book.rate(number, now) for number in (1, 2, 3)]


class LoadBookTest(TestCase):
    """The VMs' counts add up to an endpoint's load."""

    def test_window(self):
        """Requests count for two seconds, then no more."""
        book = LoadBook(group.ZONE)
        for _ in range(10):
            book.on_work(1, 5.0)
        self.assertEqual({1: 10 / WINDOW_S}, book.own(5.1))
        self.assertEqual({}, book.own(5.0 + WINDOW_S + 0.5))

    def test_sums(self):
        """Own requests, the zone's other VMs and the other zones add up."""
        book = LoadBook(group.ZONE)
        book.on_work(1, 5.0)
        book.on_mate("vm-2", {1: 3.0}, 5.0)
        book.on_zone(group.OTHER_ZONE, {1: 4.0, 3: 9.0}, 3, 5.0)
        self.assertEqual(3.5, book.zone(5.0)[1])
        self.assertEqual([7.5, 0.0, 9.0], _rates(book, 5.0))

    def test_told_total(self):
        """A reader told the total; what was sent since counts on top.

        Flows that arrive between two reports would else all find the same
        endpoint idle.
        """
        book = LoadBook(group.ZONE)
        book.on_work(1, 5.0)
        self.assertEqual({1: 0.5}, book.report(5.0))
        book.on_total({1: 8.5, 2: 4.0}, 25, 5.1)
        book.on_work(2, 5.2)
        self.assertEqual([8.5, 4.5, 0.0], _rates(book, 5.2))
        self.assertEqual({1: 0.5, 2: 0.5}, dict(book.gathered(5.2)))

    def test_new_reader(self):
        """A VM has just become a reader and has heard from two others.

        Its own sum would make busy endpoints look idle.
        """
        book = LoadBook(group.ZONE)
        book.on_total({1: 30.0}, 25, 5.0)
        book.on_mate("vm-2", {1: 1.0}, 5.0)
        self.assertEqual(30.0, book.rate(1, 5.0))
        book.on_total({1: 2.0}, 3, 5.1)
        self.assertEqual(30.0, book.rate(1, 5.1))
        book.on_zone(group.OTHER_ZONE, {1: 20.0}, 25, 5.0)
        book.on_zone(group.OTHER_ZONE, {1: 1.0}, 2, 5.1)
        after = 5.1 + REPORT_LIFE_S
        self.assertEqual(0.0, book.rate(1, after))

    def test_silent_vm(self):
        """A VM dies; what it had sent no longer counts as load.

        Its endpoints would otherwise look busy and be left idle.
        """
        book = LoadBook(group.ZONE)
        book.on_mate("vm-2", {1: 30.0}, 5.0)
        after = 5.1 + REPORT_LIFE_S
        self.assertEqual([0.0, 0.0, 0.0], _rates(book, after))


class PlacementTest(TestCase):
    """Flows leave their zone only where that pays."""

    def _choose(self, rates: dict[int, float], *endpoints, tried=()):
        catalog = Catalog()
        catalog.apply(group.listing(*endpoints), 0.0)
        load = LoadBook(group.ZONE)
        load.on_zone(group.OTHER_ZONE, rates, 1, 100.0 - SETTLED_S)
        load.on_zone(group.OTHER_ZONE, rates, 1, 100.0)
        placement = Placement(group.ZONE, catalog, load, random.Random(1))
        return placement.choose("registry", tried, 100.0)

    @parameterized.expand(
        [
            ("idle", {}, PlacementReason.OWN_ZONE),
            ("a_little_more", {1: 10.0, 3: 5.0}, PlacementReason.OWN_ZONE),
            (
                "at_the_margin",
                {1: 2 * (ZONE_FACTOR * 10.0 + ZONE_ADVANTAGE), 3: 20.0},
                PlacementReason.OWN_ZONE,
            ),
            ("full", {1: 60.0, 3: 20.0}, PlacementReason.OTHER_ZONE),
        ]
    )
    def test_full_zone(self, _, rates, reason):
        """A zone lost an endpoint and the rest cannot keep up.

        Kept at home, its clients queue while another zone stands idle.
        """
        self.assertEqual(reason, self._choose(rates, FIRST, FAR).reason)

    @parameterized.expand(
        [
            ("just_started", (99.5, 100.0), PlacementReason.OWN_ZONE),
            ("settled", (96.0, 98.0, 100.0), PlacementReason.OTHER_ZONE),
            ("cut_off_since", (90.0, 94.0), PlacementReason.OWN_ZONE),
            ("heard_again", (90.0, 99.0), PlacementReason.OWN_ZONE),
        ]
    )
    def test_settled(self, _, heard_at, reason):
        """All VMs start at once; each zone knows its own load first.

        The other zones look idle, as few of their VMs were heard yet. Each
        zone would send most of its new flows to the others, and a cut between
        them would break all of these.
        """
        catalog = Catalog()
        catalog.apply(group.listing(FIRST, FAR), 0.0)
        load = LoadBook(group.ZONE)
        for at in heard_at:
            load.on_mate("vm-2", {1: 60.0}, at)
            load.on_zone(group.OTHER_ZONE, {3: 2.0}, 1, at)
        placement = Placement(group.ZONE, catalog, load, random.Random(1))
        placed = placement.choose("registry", (), 100.0)
        self.assertEqual(reason, placed.reason)

    def test_least_loaded(self):
        """Within the zone the endpoint with the least work is chosen."""
        placed = self._choose({1: 20.0, 2: 10.0}, FIRST, SECOND)
        self.assertEqual(SECOND, placed.record.endpoint)

    def test_cold_endpoint(self):
        """A cold endpoint with a little less work is not preferred.

        It is slow yet; what it gets now it keeps for long.
        """
        cold = group.endpoint(2, warm_in_s=1000.0)
        placed = self._choose({1: 20.0, 2: 15.0}, FIRST, cold)
        self.assertEqual(FIRST, placed.record.endpoint)

    def test_burst(self):
        """Many flows arrive between two reports and are spread all the same.

        All placed on the one that was idle, they would fill its queue.
        """
        core = group.steering(FIRST, SECOND)
        names = [
            core.on_segment(group.syn(group.flow(n)), 1.0).endpoint.name
            for n in range(20)
        ]
        self.assertEqual(10, names.count(FIRST.name))

    def test_shared_token(self):
        """Two endpoints' names yield one token; only one takes new flows.

        Packets of the other's flows would go to the wrong process.
        """
        twin = group.endpoint(2, token=FIRST.token)
        for _ in range(4):
            placed = self._choose({1: 50.0}, FIRST, twin)
            self.assertEqual(FIRST, placed.record.endpoint)


class HerdTest(TestCase):
    """Many VMs place by the same old total."""

    @parameterized.expand(
        [
            ("few_vms", 2, 3, 30),
            ("small_fleet", 9, 7, 100),
            ("grown_fleet", 30, 25, 250),
            ("large_fleet", 195, 100, 1000),
        ]
    )
    def test_newcomer(self, _, vms, endpoints, flows):
        """An endpoint has just started, and no report names it yet.

        Every VM takes it for the idlest. If each sent it all its new flows,
        its two slots and its queue would be full within tenths of a second,
        and most callers of that second would be turned away while the other
        endpoints stand idle.
        """
        listed = [group.endpoint(n + 1) for n in range(endpoints)]
        catalog = Catalog()
        catalog.apply(group.listing(*listed), 0.0)
        told = {each.number: 20.0 for each in listed[1:]}
        placements = []
        for seed in range(vms):
            load = LoadBook(group.ZONE)
            load.on_total(told, vms + 1, 100.0)
            rng = random.Random(seed)
            placements.append(Placement(group.ZONE, catalog, load, rng))
        got = 0
        for number in range(flows):
            placed = placements[number % vms].choose("registry", (), 100.1)
            got += placed.record.endpoint is listed[0]
        self.assertLess(got, 3 * flows / endpoints)
