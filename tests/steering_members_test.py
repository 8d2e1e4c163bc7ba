"""Tests of steering._members: who is there, and who reads for a zone."""

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
    """Returns what one VM knows of a zone whose VMs all are heard."""
    members = Members(f"10.0.0.{own}", ZONE)
    for number in range(count):
        members.on_heard(f"10.0.0.{number}", ZONE, now)
    return members


class ReadersTest(TestCase):
    """A zone's VMs choose the same readers without asking anybody."""

    @parameterized.expand(
        [
            ("one", 1, 1),
            ("small", SINGLE_READER_MAX_VMS, 1),
            ("great", 25, READERS_PER_ZONE),
        ]
    )
    def test_alike(self, _, count, expected):
        """Each VM of a zone computes the same readers."""
        chosen = {
            tuple(_members(count, own).readers(0.0)) for own in range(count)
        }
        self.assertEqual(1, len(chosen))
        self.assertEqual(expected, len(chosen.pop()))

    def test_silent_reader(self):
        """A reader froze: its zone would hear of no change any more.

        It is asked and does not answer, so another VM takes its turn; when
        it is heard from again it has its turn back.
        """
        members = _members(25)
        first = members.readers(0.0)
        lost = next(host for host in first if host != "10.0.0.0")
        members.on_asked(lost, 0.0)
        members.on_asked(lost, 1.0)
        members.expire(ANSWER_TIMEOUT_S)
        self.assertNotIn(lost, members.readers(ANSWER_TIMEOUT_S))
        self.assertEqual(
            READERS_PER_ZONE, len(members.readers(ANSWER_TIMEOUT_S))
        )
        members.on_heard(lost, ZONE, ANSWER_TIMEOUT_S + 0.1)
        self.assertEqual(first, members.readers(ANSWER_TIMEOUT_S + 0.1))

    def test_narrow_links(self):
        """A configuration of a thousand routes comes; most links are narrow.

        On a reader's narrow link it would keep out clients' packets for a
        second, and endpoints would be taken for dead whose answers do not get
        through.
        """
        widths = {f"10.0.0.{n}": 100 if n in (7, 19) else 5 for n in range(25)}
        for own in widths:
            members = Members(own, ZONE, link_mbps=widths[own])
            for host, width in widths.items():
                members.on_heard(host, ZONE, 0.0, width)
            chosen = members.readers(0.0)
            self.assertEqual({"10.0.0.7", "10.0.0.19"}, set(chosen))

    def test_wide_links_lost(self):
        """Both VMs with a wide link died; others read, wide or not."""
        members = _members(9)
        for host in ("10.0.0.1", "10.0.0.2"):
            members.on_heard(host, ZONE, 0.0, 100)
        self.assertEqual(2, len(members.readers(0.0)))
        for host in members.readers(0.0):
            members.on_asked(host, 0.0)
        members.expire(ANSWER_TIMEOUT_S)
        left = set(members.readers(ANSWER_TIMEOUT_S))
        self.assertEqual(READERS_PER_ZONE, len(left))
        self.assertEqual(set(), left & {"10.0.0.1", "10.0.0.2"})

    def test_asked_again(self):
        """One that was passed over is asked again after some seconds."""
        members = _members(25)
        lost = next(h for h in members.readers(0.0) if h != "10.0.0.0")
        members.on_asked(lost, 0.0)
        members.expire(ANSWER_TIMEOUT_S)
        members.on_named(lost, ZONE, 5.0)
        self.assertIn(lost, members.readers(ANSWER_TIMEOUT_S + EXCLUSION_S))

    def test_lost_answer(self):
        """One lost answer of a reader that answers the next changes nothing."""
        members = _members(25)
        first = members.readers(0.0)
        asked = next(host for host in first if host != "10.0.0.0")
        members.on_asked(asked, 0.0)
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


class LifeTest(TestCase):
    """VMs come and go, and nobody keeps a list."""

    def test_hearsay(self):
        """A VM died; two others that name it must not keep it alive.

        It would be asked for ever, and be a reader that reads nothing.
        """
        members = _members(3)
        self.assertIn("10.0.0.1", members.heard(ZONE, HEARD_TIMEOUT_S - 0.1))
        self.assertNotIn("10.0.0.1", members.heard(ZONE, HEARD_TIMEOUT_S))
        members.on_named("10.0.0.1", ZONE, HEARD_TIMEOUT_S)
        self.assertNotIn("10.0.0.1", members.heard(ZONE, HEARD_TIMEOUT_S))

    def test_lost_in_a_cut(self):
        """A zone was cut off longer than its VMs are remembered.

        Nobody would speak first, and each half would go on alone.
        """
        members = _members(3)
        members.expire(MEMBER_TIMEOUT_S)
        self.assertEqual([], members.hosts)
        self.assertEqual(["10.0.0.1", "10.0.0.2"], members.strangers())
        members.on_heard("10.0.0.1", ZONE, 20.0)
        self.assertEqual(["10.0.0.2"], members.strangers())
        for _ in range(MAX_CONTACT_ATTEMPTS):
            members.strangers()
        self.assertEqual([], members.strangers())

    def test_seeds(self):
        """The seeds were down when this VM started; they are asked on."""
        members = Members("10.0.0.0", ZONE, ["10.0.0.0", "10.1.0.9"])
        for _ in range(2 * MAX_CONTACT_ATTEMPTS):
            self.assertEqual(["10.1.0.9"], members.strangers())


class RankingTest(TestCase):
    """Readers are kept between the datagrams of a zone's VMs."""

    @parameterized.expand([(str(vms), vms) for vms in (70, 140, 280)])
    def test_work(self, _, vms):
        """A reader takes in two reports a second of each VM of its zone.

        Ranking the zone for each would grow with the square of the fleet.
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
    def test_same_as_fresh(self, steps):
        """Whatever happens, readers are those that a new ranking gives."""
        members, now = _members(3), 0.0
        for what, number, zone, later_s, mbps in steps:
            host = f"10.0.0.{number}"
            now += later_s
            if what == "heard":
                members.on_heard(host, zone, now, mbps)
            elif what == "named":
                members.on_named(host, zone, now, mbps)
            elif what == "asked":
                members.on_asked(host, now)
            else:
                members.expire(now)
            for each in (ZONE, OTHER):
                kept = members.readers(now, each)
                self.assertEqual(members._rank(each, now).readers, kept)
