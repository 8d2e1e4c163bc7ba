"""Tests of decisions._acceptance."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import ManifestOutcome
from pollenmast.decisions._acceptance import MAX_REFUSED, Acceptance
from pollenmast.manifest import Manifest, ManifestKey

LOW, HIGH = "aa" * 16, "bb" * 16


def _offer(acceptance: Acceptance, version: int, digest: str):
    manifest = Manifest(version, (), digest)
    return acceptance.offer(manifest, digest.encode(), 0.0)


class AcceptanceTest(TestCase):
    """The manifest with the greatest key is in force, never an older one."""

    @parameterized.expand(
        [
            ("greater", 6, LOW, ManifestOutcome.ACCEPTED, False),
            ("same", 5, HIGH, ManifestOutcome.KNOWN, False),
            ("older", 4, HIGH, ManifestOutcome.OLDER, False),
            ("lost_conflict", 5, LOW, ManifestOutcome.CONFLICT_LOST, True),
            ("won_conflict", 5, "cc" * 16, ManifestOutcome.ACCEPTED, True),
        ]
    )
    def test_offer(self, _, version, digest, outcome, conflict):
        """Only a greater version, or the same with a greater digest, wins."""
        acceptance = Acceptance()
        _offer(acceptance, 5, HIGH)
        offer = _offer(acceptance, version, digest)
        self.assertEqual((outcome, conflict), (offer.outcome, offer.conflict))
        taken = outcome is ManifestOutcome.ACCEPTED
        expected = (version, digest) if taken else (5, HIGH)
        self.assertEqual(ManifestKey(*expected), acceptance.key)

    def test_conflicting_pipelines(self):
        """Two pipelines publish the same version with different contents.

        VMs receive them in any order. If the last one received came into
        force, half of the fleet would use one manifest and half the other.
        """
        offers = [(5, LOW), (5, HIGH), (4, HIGH)]
        final_keys = set()
        for order in itertools.permutations(offers):
            acceptance = Acceptance()
            for version, digest in order:
                _offer(acceptance, version, digest)
            final_keys.add(acceptance.key)
        self.assertEqual({ManifestKey(5, HIGH)}, final_keys)

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 5), st.sampled_from([LOW, HIGH]))))
    def test_never_reverts(self, offers):
        """The key never decreases, whatever the order of the offers."""
        acceptance, before = Acceptance(), ManifestKey()
        for version, digest in offers:
            _offer(acceptance, version, digest)
            self.assertGreaterEqual(acceptance.key, before)
            before = acceptance.key
        keys = [ManifestKey(*offer) for offer in offers]
        self.assertEqual(max(keys, default=ManifestKey()), acceptance.key)

    def test_refused_content_is_not_fetched_again(self):
        """A peer has a manifest in force that this release refuses.

        Fetching it again with each heartbeat would transfer a megabyte twice
        a second for nothing.
        """
        acceptance = Acceptance()
        key = ManifestKey(9, LOW)
        self.assertTrue(acceptance.should_fetch(key))
        acceptance.refuse(key)
        self.assertFalse(acceptance.should_fetch(key))
        self.assertEqual(key, acceptance.greatest_known_key)
        for version in range(100, 100 + MAX_REFUSED):
            acceptance.refuse(ManifestKey(version, LOW))
        self.assertTrue(acceptance.should_fetch(key))
