"""Tests of standins._spray."""

import random

from testtools import TestCase

from standins._spray import Faults, Spray, Target

_VMS = (Target("a", "127.0.1.1"), Target("b", "127.0.1.2"))


class SprayTest(TestCase):
    """Tests of the choice of VMs and of simulated faults."""

    def test_datagrams_are_spread_evenly(self):
        """Each VM gets an equal share of one caller's datagrams."""
        spray = Spray(random.Random(1))
        spray.targets = _VMS
        picked = [spray.pick("127.0.5.1").zone for _ in range(1000)]
        self.assertTrue(400 < picked.count("a") < 600)

    def test_cut_zone_is_unreachable(self):
        """A zone is cut off from some callers.

        Their datagrams to its VMs are lost; other callers are not affected.
        """
        spray = Spray(random.Random(1))
        spray.targets = _VMS
        spray.faults = Faults(cut_zones=("a",), cut_for=("127.0.5.1",))
        hit = {spray.pick("127.0.5.1") for _ in range(100)}
        spared = {spray.pick("127.0.5.2") for _ in range(100)}
        self.assertEqual({None, _VMS[1]}, hit)
        self.assertEqual(set(_VMS), spared)

    def test_loss_and_duplication(self):
        """Datagrams are lost and duplicated at the configured rates."""
        spray = Spray(random.Random(1))
        spray.faults = Faults(loss=0.5, duplication=0.5)
        copies = [len(spray.delays()) for _ in range(1000)]
        self.assertTrue(400 < copies.count(0) < 600)
        self.assertTrue(150 < copies.count(2) < 350)
