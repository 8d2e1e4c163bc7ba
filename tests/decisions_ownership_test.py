"""Tests of decisions._ownership."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.decisions._ownership import Member, Ring, flow_hash

_KEYS = [flow_hash(1, "10.0.0.1", port) for port in range(2000)]
_MAX_SHARE = 1.35


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(number, f"vm-{number}", f"zone-{number % 3}")
        for number in range(count)
    )


class RingTest(TestCase):
    """All VMs agree on the owner, and a change moves only necessary flows."""

    def test_empty(self):
        """Without members no flow has an owner."""
        self.assertIsNone(Ring().owner(1))
        self.assertEqual((), Ring().preference_list(1, 3))

    def test_order_of_members(self):
        """The owner does not depend on the order of the members."""
        members = _members(9)
        other = Ring(tuple(reversed(members)))
        ring = Ring(members)
        self.assertEqual(
            [ring.owner(key) for key in _KEYS],
            [other.owner(key) for key in _KEYS],
        )

    def test_removed_member(self):
        """Removing a VM moves only its own flows, each to its successor."""
        members = _members(9)
        before, after = Ring(members), Ring(members[1:])
        for key in _KEYS:
            first, second = before.preference_list(key, 2)
            successor = second if first == members[0] else first
            self.assertEqual(successor, after.owner(key))

    @parameterized.expand([("three", 3), ("today", 9)])
    def test_share(self, _, count):
        """No VM owns many more flows than its share."""
        ring = Ring(_members(count))
        owners = [ring.owner(key) for key in _KEYS]
        largest = max(owners.count(member) for member in set(owners))
        self.assertLess(largest / (len(_KEYS) / count), _MAX_SHARE)

    def test_incremental_changes(self):
        """A ring that was changed step by step equals a newly built one."""
        rng = random.Random(3)
        members = _members(60)
        ring = Ring(members[:40])
        current = set(members[:40])
        for _ in range(30):
            current ^= {rng.choice(members)}
            ordered = tuple(sorted(current, key=lambda each: each.name))
            ring = ring.changed(ordered)
            rebuilt = Ring(ordered)
            self.assertEqual(
                [rebuilt.owner(key) for key in _KEYS[:200]],
                [ring.owner(key) for key in _KEYS[:200]],
            )

    def test_backup_zone(self):
        """An owner's backup is in another availability zone.

        Otherwise the loss of a zone would lose a flow's holder and its record
        at once, and the session would break.
        """
        ring = Ring(_members(9))
        for key in _KEYS:
            owner = ring.owner(key)
            self.assertNotEqual(owner.zone, ring.backup(key, owner).zone)

    def test_backup_of_other_holder(self):
        """The owner stores the record of a flow that another VM holds."""
        ring = Ring(_members(9))
        for key in _KEYS[:200]:
            owner, other = ring.preference_list(key, 2)
            self.assertEqual(owner, ring.backup(key, other))

    def test_backup_alone(self):
        """A single VM has no backup."""
        ring = Ring(_members(1))
        self.assertIsNone(ring.backup(_KEYS[0], ring.members[0]))
