"""Tests of steering._members: membership and the choice of readers."""

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.steering import Members
from pollenmast.steering._members import (
    ANSWER_TIMEOUT_S,
    EXCLUSION_S,
    HEARD_TIMEOUT_S,
    MAX_CONTACT_ATTEMPTS,
    MEMBER_TIMEOUT_S,
    READERS_PER_ZONE,
    SINGLE_READER_MAX_VMS,
)

ZONE = "hall-bor"
OTHER = "hall-fres"


def _members(count: int, own: int = 0, now: float = 0.0) -> Members:
    """Returns one VM's members in a zone where it hears from every VM."""
    members = Members(f"10.0.0.{own}", ZONE)
    for number in range(count):
        members.on_heard(f"10.0.0.{number}", ZONE, now)
    return members


class ReadersTest(TestCase):
    """The VMs of a zone choose the same readers without communication."""

    @parameterized.expand(
        [
            ("one", 1, 1),
            ("small", SINGLE_READER_MAX_VMS, 1),
            ("great", 25, READERS_PER_ZONE),
        ]
    )
    def test_same_on_every_vm(self, _, count, expected):
        """Each VM of a zone computes the same readers."""
        chosen = {
            tuple(_members(count, own).readers(0.0)) for own in range(count)
        }
        self.assertEqual(1, len(chosen))
        self.assertEqual(expected, len(chosen.pop()))

    def test_unresponsive_reader(self):
        """A reader that does not answer is replaced until it is heard from.

        Otherwise a zone whose reader hangs would receive no more changes.
        """
        members = _members(25)
        first = members.readers(0.0)
        lost = next(host for host in first if host != "10.0.0.0")
        members.on_queried(lost, 0.0)
        members.on_queried(lost, 1.0)
        members.expire(ANSWER_TIMEOUT_S)
        self.assertNotIn(lost, members.readers(ANSWER_TIMEOUT_S))
        self.assertEqual(
            READERS_PER_ZONE, len(members.readers(ANSWER_TIMEOUT_S))
        )
        members.on_heard(lost, ZONE, ANSWER_TIMEOUT_S + 0.1)
        self.assertEqual(first, members.readers(ANSWER_TIMEOUT_S + 0.1))

    def test_fast_links_preferred(self):
        """VMs with a fast link are preferred as readers.

        On a reader's slow link a configuration of a thousand routes would
        displace clients' packets for a second, and endpoints whose answers do
        not get through would be taken for dead.
        """
        link_mbps = {
            f"10.0.0.{n}": 100 if n in (7, 19) else 5 for n in range(25)
        }
        for own in link_mbps:
            members = Members(own, ZONE, link_mbps=link_mbps[own])
            for host, width in link_mbps.items():
                members.on_heard(host, ZONE, 0.0, width)
            chosen = members.readers(0.0)
            self.assertEqual({"10.0.0.7", "10.0.0.19"}, set(chosen))

    def test_vms_with_fast_links_lost(self):
        """If both VMs with a fast link fail, others become readers."""
        members = _members(9)
        for host in ("10.0.0.1", "10.0.0.2"):
            members.on_heard(host, ZONE, 0.0, 100)
        self.assertEqual(2, len(members.readers(0.0)))
        for host in members.readers(0.0):
            members.on_queried(host, 0.0)
        members.expire(ANSWER_TIMEOUT_S)
        left = set(members.readers(ANSWER_TIMEOUT_S))
        self.assertEqual(READERS_PER_ZONE, len(left))
        self.assertEqual(set(), left & {"10.0.0.1", "10.0.0.2"})

    def test_exclusion_ends(self):
        """An excluded VM is considered again after `EXCLUSION_S`."""
        members = _members(25)
        lost = next(h for h in members.readers(0.0) if h != "10.0.0.0")
        members.on_queried(lost, 0.0)
        members.expire(ANSWER_TIMEOUT_S)
        members.on_announced(lost, ZONE, 5.0)
        self.assertIn(lost, members.readers(ANSWER_TIMEOUT_S + EXCLUSION_S))

    def test_lost_answer(self):
        """One lost answer does not change the readers."""
        members = _members(25)
        first = members.readers(0.0)
        asked = next(host for host in first if host != "10.0.0.0")
        members.on_queried(asked, 0.0)
        members.expire(1.0)
        members.on_heard(asked, ZONE, 1.1)
        members.expire(ANSWER_TIMEOUT_S)
        self.assertEqual(first, members.readers(ANSWER_TIMEOUT_S))

    def test_other_zone(self):
        """The readers of another zone are computed from its VMs alone."""
        members = _members(3)
        for number in range(9):
            members.on_heard(f"10.1.0.{number}", OTHER, 0.0)
        readers = members.readers(0.0, OTHER)
        self.assertEqual(READERS_PER_ZONE, len(readers))
        self.assertTrue(all(host.startswith("10.1.") for host in readers))
        self.assertEqual([OTHER], members.other_zones)


class MembershipTest(TestCase):
    """VMs join and leave without a central list of members."""

    def test_announcements_do_not_keep_alive(self):
        """A VM is not kept alive by others that announce it.

        Otherwise a dead VM would be queried forever, and could be a reader
        that reads nothing.
        """
        members = _members(3)
        self.assertIn(
            "10.0.0.1", members.heard_from(ZONE, HEARD_TIMEOUT_S - 0.1)
        )
        self.assertNotIn("10.0.0.1", members.heard_from(ZONE, HEARD_TIMEOUT_S))
        members.on_announced("10.0.0.1", ZONE, HEARD_TIMEOUT_S)
        self.assertNotIn("10.0.0.1", members.heard_from(ZONE, HEARD_TIMEOUT_S))

    def test_lost_vms_are_contacted(self):
        """Lost VMs are contacted again, a limited number of times.

        Otherwise, after a partition that lasts longer than members are
        remembered, neither side would contact the other.
        """
        members = _members(3)
        members.expire(MEMBER_TIMEOUT_S)
        self.assertEqual([], members.hosts)
        self.assertEqual(["10.0.0.1", "10.0.0.2"], members.contact_candidates())
        members.on_heard("10.0.0.1", ZONE, 20.0)
        self.assertEqual(["10.0.0.2"], members.contact_candidates())
        for _ in range(MAX_CONTACT_ATTEMPTS):
            members.contact_candidates()
        self.assertEqual([], members.contact_candidates())

    def test_seeds(self):
        """Seeds that are down are contacted without a limit of attempts."""
        members = Members("10.0.0.0", ZONE, ["10.0.0.0", "10.1.0.9"])
        for _ in range(2 * MAX_CONTACT_ATTEMPTS):
            self.assertEqual(["10.1.0.9"], members.contact_candidates())


class RankingTest(TestCase):
    """Rankings are cached between the datagrams of a zone's VMs."""

    @parameterized.expand([(str(vms), vms) for vms in (70, 140, 280)])
    def test_ranking_is_cached(self, _, vms):
        """Reports do not cause a new ranking each.

        A reader receives two reports per second from each VM of its zone.
        Ranking the zone for each of them would cost time that grows with the
        square of the fleet.
        """
        members = _members(vms)
        ranked = []
        rank = members._rank
        self.patch(
            members, "_rank", lambda *args: ranked.append(1) or rank(*args)
        )
        for number in range(vms):
            members.on_heard(f"10.0.0.{number}", ZONE, 1.0)
            members.readers(1.0)
        self.assertLessEqual(len(ranked), 2)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["heard", "named", "asked", "expire"]),
                st.integers(1, 7),
                st.sampled_from([ZONE, OTHER]),
                st.sampled_from([0.0, 0.3, 1.5, 6.5]),
                st.sampled_from([0, 10, 200]),
            ),
            max_size=40,
        )
    )
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_cache_equals_new_ranking(self, steps):
        """After any events, cached readers equal those of a new ranking."""
        members, now = _members(3), 0.0
        for event, number, zone, elapsed_s, mbps in steps:
            host = f"10.0.0.{number}"
            now += elapsed_s
            if event == "heard":
                members.on_heard(host, zone, now, mbps)
            elif event == "named":
                members.on_announced(host, zone, now, mbps)
            elif event == "asked":
                members.on_queried(host, now)
            else:
                members.expire(now)
            for each in (ZONE, OTHER):
                kept = members.readers(now, each)
                self.assertEqual(members._rank(each, now).readers, kept)
