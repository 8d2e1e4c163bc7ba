"""Tests of admission._credits."""

import itertools

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import OCCUPANCY_PER_SLOT, allocate

SLOTS = 2
SIZES = list(itertools.product((1, 6, 62, 280), (3, 20, 100)))


def _slots(count: int, slots: int = SLOTS) -> dict[str, int]:
    return {f"endpoint-{n}": slots for n in range(count)}


def _vms(count: int) -> list[str]:
    return [f"vm-{n}" for n in range(count)]


def _sums(slots, groups) -> dict[str, int]:
    """Returns the credits by endpoint of all VMs of groups without contact."""
    sums = dict.fromkeys(slots, 0)
    for vms in groups:
        for vm in vms:
            for endpoint, credits in allocate(slots, vms, vm).items():
                sums[endpoint] += credits
    return sums


class AllocateTest(TestCase):
    """All credits are allocated, each to one VM.

    With more, endpoints reject requests; with fewer, slots are idle.
    """

    @parameterized.expand(SIZES)
    def test_sum_is_the_capacity(self, vms, endpoints):
        """Each endpoint's credits are allocated in full and only once."""
        slots = _slots(endpoints)
        expected = dict.fromkeys(slots, SLOTS * OCCUPANCY_PER_SLOT)
        self.assertEqual(expected, _sums(slots, [_vms(vms)]))

    @parameterized.expand(SIZES)
    def test_totals_differ_by_one(self, vms, endpoints):
        """No VM refuses flows while another one has many unused credits."""
        slots, names = _slots(endpoints), _vms(vms)
        totals = [sum(allocate(slots, names, vm).values()) for vm in names]
        self.assertLessEqual(max(totals) - min(totals), 1)

    @parameterized.expand(SIZES)
    def test_an_endpoint_belongs_to_several_vms(self, vms, endpoints):
        """No VM has more credits of an endpoint than an equal share."""
        slots, names = _slots(endpoints), _vms(vms)
        most = max(
            credits
            for vm in names
            for credits in allocate(slots, names, vm).values()
        )
        share = -(-SLOTS * OCCUPANCY_PER_SLOT // vms)
        self.assertLessEqual(most, share)

    @parameterized.expand(SIZES)
    def test_partitioned_zone(self, vms, endpoints):
        """Two halves of a zone at most double an endpoint's requests.

        Each half allocates all credits once it has removed the other one. An
        endpoint that processes 2 requests and queues 8 can handle that.
        """
        names = _vms(vms)
        halves = [half for half in (names[::2], names[1::2]) if half]
        sums = _sums(_slots(endpoints), halves)
        most = 2 * SLOTS * OCCUPANCY_PER_SLOT
        self.assertLessEqual(max(sums.values()), most)

    @parameterized.expand(SIZES)
    def test_incomplete_member_lists(self, vms, endpoints):
        """A VM that misses a tenth of the others takes a ninth more at most.

        Member lists differ while a VM joins or is lost. The endpoints' queues
        have room for a small excess, but not for a multiple.
        """
        names, slots = _vms(vms), _slots(endpoints)
        capacity = SLOTS * OCCUPANCY_PER_SLOT * endpoints
        for index, vm in enumerate(names):
            known = [v for n, v in enumerate(names) if (n + index) % 10]
            credits = sum(allocate(slots, known, vm).values())
            share = capacity / len({*known, vm})
            self.assertLess(abs(credits - share), 1.0)

    def test_the_own_vm_is_always_a_member(self):
        """A VM that is missing in its own member list has a share too."""
        slots, names = _slots(20), _vms(6)
        complete = allocate(slots, names, "vm-0")
        self.assertEqual(complete, allocate(slots, names[1:], "vm-0"))
        self.assertEqual(complete, allocate(slots, [*names, *names], "vm-0"))

    def test_order_does_not_matter(self):
        """VMs that list the same members in any order agree."""
        slots, names = _slots(20), _vms(6)
        turned = dict(reversed(slots.items()))
        self.assertEqual(
            allocate(slots, names, "vm-3"),
            allocate(turned, names[::-1], "vm-3"),
        )

    @parameterized.expand(
        [
            ("none", {}, 0),
            ("no_slots", {"a": 0, "b": 0}, 0),
            ("negative", {"a": -1, "b": 1}, OCCUPANCY_PER_SLOT),
            ("unequal", {"a": 1, "b": 7}, 8 * OCCUPANCY_PER_SLOT),
        ]
    )
    def test_slots(self, _, slots, expected):
        """Endpoints may state any number of slots, or none."""
        total = sum(allocate(slots, [], "vm").values())
        self.assertEqual(expected, total)

    def test_unequal_slots_are_shared(self):
        """Credits of endpoints with different slots are all allocated."""
        slots = {f"e{n}": n % 5 for n in range(30)}
        expected = {e: s * OCCUPANCY_PER_SLOT for e, s in slots.items()}
        self.assertEqual(expected, _sums(slots, [_vms(7)]))
