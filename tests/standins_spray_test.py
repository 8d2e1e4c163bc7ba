"""Tests of standins._spray."""

import random

from testtools import TestCase

from standins._spray import Faults, Spray, Target

_VMS = (Target("a", "127.0.1.1"), Target("b", "127.0.1.2"))


class SprayTest(TestCase):
    """The fabric hands any datagram to any VM."""

    def test_all_vms_get_datagrams(self):
        """Each VM of the list gets its share of one caller's datagrams."""
        spray = Spray(random.Random(1))
        spray.targets = _VMS
        picked = [spray.pick("127.0.5.1").zone for _ in range(1000)]
        self.assertTrue(400 < picked.count("a") < 600)

    def test_cut_zone_is_out_of_reach(self):
        """A zone is cut off from some callers.

        Their datagrams for its VMs vanish; other callers notice nothing.
        """
        spray = Spray(random.Random(1))
        spray.targets = _VMS
        spray.faults = Faults(cut_zones=("a",), cut_for=("127.0.5.1",))
        hit = {spray.pick("127.0.5.1") for _ in range(100)}
        spared = {spray.pick("127.0.5.2") for _ in range(100)}
        self.assertEqual({None, _VMS[1]}, hit)
        self.assertEqual(set(_VMS), spared)

    def test_loss_and_duplication(self):
        """Datagrams vanish and come twice as often as set."""
        spray = Spray(random.Random(1))
        spray.faults = Faults(loss=0.5, duplication=0.5)
        copies = [len(spray.delays()) for _ in range(1000)]
        self.assertTrue(400 < copies.count(0) < 600)
        self.assertTrue(150 < copies.count(2) < 350)
