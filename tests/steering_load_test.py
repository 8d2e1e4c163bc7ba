"""Tests of steering._load and of placement by load."""

import collections
import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import PlacementReason
from pollenmast.steering import Catalog, EndpointLoads
from pollenmast.steering._load import REPORT_MAX_AGE_S, WINDOW_S, ZONES_SETTLE_S
from pollenmast.steering._placement import (
    CROSS_ZONE_LOAD_FACTOR,
    CROSS_ZONE_LOAD_MARGIN,
    EndpointSelector,
)
from pollenmast.steering._token_owners import SETTLE_S
from tests import steering_group as group

SLOTS, ROOM, WORK_S = 2, 10, 0.05
"""Concurrent requests of an endpoint, the same with its queue, and the duration
of a request in seconds."""

FIRST = group.endpoint(1)
SECOND = group.endpoint(2)
FAR = group.endpoint(3, zone=group.OTHER_ZONE)


def _rates(book: EndpointLoads, now: float) -> list[float]:
    """Returns the rates of the first three endpoints."""
    return [book.rate(number, now) for number in (1, 2, 3)]


class LoadBookTest(TestCase):
    """Summing the VMs' counts into the load of endpoints."""

    def test_window(self):
        """A request counts for two seconds."""
        book = EndpointLoads(group.ZONE)
        for _ in range(10):
            book.on_request(1, 5.0)
        self.assertEqual({1: 10 / WINDOW_S}, book.own_rates(5.1))
        self.assertEqual({}, book.own_rates(5.0 + WINDOW_S + 0.5))

    def test_sums(self):
        """Own requests, those of the zone's VMs and of other zones add up."""
        book = EndpointLoads(group.ZONE)
        book.on_request(1, 5.0)
        book.on_peer_report("vm-2", {1: 3.0}, 5.0)
        book.on_zone_report(group.OTHER_ZONE, {1: 4.0, 3: 9.0}, 3, 5.0)
        self.assertEqual(3.5, book.zone(5.0)[1])
        self.assertEqual([7.5, 0.0, 9.0], _rates(book, 5.0))

    def test_reader_total(self):
        """Requests sent since a reader's total count in addition to it.

        Otherwise flows that arrive between two reports would all find the same
        endpoint idle.
        """
        book = EndpointLoads(group.ZONE)
        book.on_request(1, 5.0)
        self.assertEqual({1: 0.5}, book.report(5.0))
        book.on_total_report({1: 8.5, 2: 4.0}, 25, 5.1)
        book.on_request(2, 5.2)
        self.assertEqual([8.5, 4.5, 0.0], _rates(book, 5.2))
        self.assertEqual({1: 0.5, 2: 0.5}, dict(book.sum_of_reports(5.2)))

    def test_new_reader(self):
        """A total over many VMs is kept against one over few.

        A VM that has just become a reader has received reports from two others
        only. Its own sum would make busy endpoints look idle.
        """
        book = EndpointLoads(group.ZONE)
        book.on_total_report({1: 30.0}, 25, 5.0)
        book.on_peer_report("vm-2", {1: 1.0}, 5.0)
        self.assertEqual(30.0, book.rate(1, 5.0))
        book.on_total_report({1: 2.0}, 3, 5.1)
        self.assertEqual(30.0, book.rate(1, 5.1))
        book.on_zone_report(group.OTHER_ZONE, {1: 20.0}, 25, 5.0)
        book.on_zone_report(group.OTHER_ZONE, {1: 1.0}, 2, 5.1)
        after = 5.1 + REPORT_MAX_AGE_S
        self.assertEqual(0.0, book.rate(1, after))

    def test_expired_report(self):
        """The load reported by a VM that died expires.

        Its endpoints would otherwise look busy and be left idle.
        """
        book = EndpointLoads(group.ZONE)
        book.on_peer_report("vm-2", {1: 30.0}, 5.0)
        after = 5.1 + REPORT_MAX_AGE_S
        self.assertEqual([0.0, 0.0, 0.0], _rates(book, after))


class PlacementTest(TestCase):
    """Flows leave their zone only where that pays."""

    def _choose(self, rates: dict[int, float], *endpoints, tried=(), own=None):
        """Places a flow by the load from others and from own requests."""
        catalog = Catalog()
        catalog.apply(group.listing(*endpoints), ("registry",), 0.0)
        catalog.expire(SETTLE_S)
        load = EndpointLoads(group.ZONE)
        load.on_zone_report(group.OTHER_ZONE, rates, 1, 100.0 - ZONES_SETTLE_S)
        load.on_zone_report(group.OTHER_ZONE, rates, 1, 100.0)
        for number, requests in (own or {}).items():
            for _ in range(requests):
                load.on_request(number, 100.0)
        selector = EndpointSelector(group.ZONE, catalog, load, random.Random(1))
        return selector.choose("registry", tried, 100.0)

    @parameterized.expand(
        [
            ("idle", {}, PlacementReason.OWN_ZONE),
            ("a_little_more", {1: 10.0, 3: 5.0}, PlacementReason.OWN_ZONE),
            (
                "at_the_margin",
                {
                    1: 2
                    * (CROSS_ZONE_LOAD_FACTOR * 10.0 + CROSS_ZONE_LOAD_MARGIN),
                    3: 20.0,
                },
                PlacementReason.OWN_ZONE,
            ),
            ("full", {1: 60.0, 3: 20.0}, PlacementReason.OTHER_ZONE),
        ]
    )
    def test_full_zone(self, _, rates, reason):
        """A flow goes to another zone only if that has clearly less load.

        The failure: a zone lost an endpoint and the others cannot keep up.
        Clients kept in the zone queue while another zone is idle.
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
        """Zones are compared only after a steady period of reports.

        When all VMs start at once, each zone learns of its own load first. The
        other zones look idle, as few of their VMs have reported yet. Each zone
        would send most of its new flows to the others, and a cut between them
        would break all of these.
        """
        catalog = Catalog()
        catalog.apply(group.listing(FIRST, FAR), ("registry",), 0.0)
        load = EndpointLoads(group.ZONE)
        for at in heard_at:
            load.on_peer_report("vm-2", {1: 60.0}, at)
            load.on_zone_report(group.OTHER_ZONE, {3: 2.0}, 1, at)
        selector = EndpointSelector(group.ZONE, catalog, load, random.Random(1))
        placed = selector.choose("registry", (), 100.0)
        self.assertEqual(reason, placed.reason)

    @parameterized.expand([("alone", {}), ("told_else", {1: 1.0, 2: 90.0})])
    def test_least_loaded(self, _, rates):
        """Within the zone the endpoint with the least own load is chosen.

        What other VMs sent until a second ago is ignored: all VMs would follow
        it.
        """
        placed = self._choose(rates, FIRST, SECOND, own={1: 20, 2: 10})
        self.assertEqual(SECOND, placed.record.endpoint)

    @parameterized.expand([("little_less", 15, FIRST), ("idle", 2, None)])
    def test_cold_endpoint(self, _, requests, expected):
        """A cold endpoint with slightly less load is not preferred.

        It is still slow, and it keeps the flows that it gets now for long.
        """
        cold = group.endpoint(2, warmup_left_s=1000.0)
        placed = self._choose({}, FIRST, cold, own={1: 20, 2: requests})
        self.assertEqual(expected or cold, placed.record.endpoint)

    def test_burst(self):
        """Flows that arrive between two reports are spread evenly.

        If all were placed on the endpoint that was idle, they would fill its
        queue.
        """
        core = group.steering(FIRST, SECOND)
        names = [
            core.on_segment(group.syn(group.flow(n)), 1.0).endpoint.name
            for n in range(20)
        ]
        self.assertEqual(10, names.count(FIRST.name))

    def test_shared_token(self):
        """Of two endpoints with the same token only one gets new flows.

        The names of both yield this token. Packets of the other's flows would
        go to the wrong process.
        """
        twin = group.endpoint(2, token=FIRST.token)
        for _ in range(4):
            placed = self._choose({1: 50.0}, FIRST, twin)
            self.assertEqual(FIRST, placed.record.endpoint)


class StaleTotalTest(TestCase):
    """Many VMs place flows by the same outdated total."""

    @parameterized.expand(
        [
            ("few_vms", 2, 3, 30),
            ("small_fleet", 9, 7, 100),
            ("grown_fleet", 30, 25, 250),
            ("large_fleet", 195, 100, 1000),
        ]
    )
    def test_new_endpoint(self, _, vms, endpoints, flows):
        """A new endpoint is not flooded by all VMs at once.

        An endpoint has just started, and no report names it yet, so every VM
        considers it the least loaded. If each VM sent it all its new flows, its
        two slots and its queue would be full within tenths of a second, and
        most callers of that second would be refused while the other endpoints
        are idle.
        """
        listed = [group.endpoint(n + 1) for n in range(endpoints)]
        catalog = Catalog()
        catalog.apply(group.listing(*listed), ("registry",), 0.0)
        told = {each.number: 20.0 for each in listed[1:]}
        selectors = []
        for seed in range(vms):
            load = EndpointLoads(group.ZONE)
            load.on_total_report(told, vms + 1, 100.0)
            rng = random.Random(seed)
            selectors.append(EndpointSelector(group.ZONE, catalog, load, rng))
        got = 0
        for number in range(flows):
            placed = selectors[number % vms].choose("registry", (), 100.1)
            got += placed.record.endpoint is listed[0]
        self.assertLess(got, 3 * flows / endpoints)


class _Endpoint:
    """An endpoint with two slots and a queue of eight that rejects the rest."""

    def __init__(self):
        self._ends: list[float] = []
        self.rejected = 0

    def take(self, now: float, work_s: float) -> None:
        self._ends = [end for end in self._ends if end > now]
        if len(self._ends) >= ROOM:
            self.rejected += 1
            return
        busy = sorted(self._ends)[-SLOTS:]
        free_at = now if len(busy) < SLOTS else max(now, busy[0])
        self._ends.append(free_at + work_s)


def _count_rejected(vms: int, endpoints: int, load_part: float) -> int:
    """Simulates ten seconds of requests, a flow each.

    Every half second all VMs receive the sum of what all have sent, a quarter
    of a second old.

    Returns:
        The number of requests that were rejected.
    """
    rng = random.Random(1)
    listed = [group.endpoint(n + 1) for n in range(endpoints)]
    catalog = Catalog()
    catalog.apply(group.listing(*listed), ("registry",), 0.0)
    books = [EndpointLoads(group.ZONE) for _ in range(vms)]
    selectors = [
        EndpointSelector(group.ZONE, catalog, book, random.Random(seed))
        for seed, book in enumerate(books)
    ]
    served = {each.name: _Endpoint() for each in listed}
    rate = load_part * endpoints * SLOTS / WORK_S
    now, told, pending = 0.0, 0.0, {}
    while now < 10.0:
        now += rng.expovariate(rate)
        if now >= told + 0.25 and pending:
            for book in books:
                book.on_total_report(pending, vms + 1, now)
            pending = {}
        if now >= told + 0.5:
            told, pending = now, collections.Counter()
            for book in books:
                pending.update(book.report(now))
        vm = rng.randrange(vms)
        placed = selectors[vm].choose("registry", (), now).record.endpoint
        books[vm].on_request(placed.number, now)
        served[placed.name].take(now, rng.expovariate(1.0 / WORK_S))
    return sum(each.rejected for each in served.values())


class OverloadTest(TestCase):
    """Placement when every endpoint is nearly full and reports are old."""

    @parameterized.expand(
        [("small_fleet", 9, 7), ("grown_fleet", 30, 25), ("large", 90, 60)]
    )
    def test_placement_by_own_load(self, _, vms, endpoints):
        """Placing by own requests rejects less than half as many requests.

        Three times the usual number of clients arrives for some seconds. If VMs
        place by the sum of all VMs, all of them leave those endpoints alone
        that were busy a second ago and overrun the others, and a second later
        the other way round. Requests are rejected although there is room: 437,
        1,620 and 3,554 of them, against 99, 510 and 1,066 when VMs place by own
        requests.
        """
        by_own = _count_rejected(vms, endpoints, 0.9)
        self.patch(EndpointSelector, "_own_load", EndpointSelector._total_load)
        by_total = _count_rejected(vms, endpoints, 0.9)
        self.assertLess(by_own, 0.5 * by_total)
