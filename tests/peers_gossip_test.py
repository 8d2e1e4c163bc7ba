"""Tests of peers._gossip and peers._gossip_socket."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.fleet import EndpointReport, VmState
from pollenmast.peers import _gossip
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._gossip import Gossip, GossipType, ProbeUpdate
from pollenmast.peers._gossip_socket import GossipSocket
from pollenmast.peers._kinds import MessageType
from tests.membership_group import vm

KEY = bytes(range(32))
REPORT = EndpointReport(1, "registry-1", 7, True, 2, 1, 900, 40, 12.5)
EXAMPLE = Gossip(
    GossipType.PING,
    5,
    vm(1),
    "vm-2",
    3,
    b"d" * 16,
    (attrs.evolve(vm(4), state=VmState.DEAD), vm(5)),
    (ProbeUpdate(99, REPORT),),
)
_FUZZ = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)


def _changed_report(**changes) -> Gossip:
    news = ProbeUpdate(99, attrs.evolve(REPORT, **changes))
    return attrs.evolve(EXAMPLE, probes=(news,))


class CodecTest(TestCase):
    """Only valid messages are decoded, whatever the input."""

    def test_round_trip(self):
        """A decoded message equals the encoded one."""
        self.assertEqual(
            EXAMPLE, _gossip.decode(_gossip.encode(EXAMPLE)).unwrap()
        )

    def test_estimated_sizes(self):
        """The sizes that budgets count with are not below the real ones."""
        bare = len(_gossip.encode(attrs.evolve(EXAMPLE, members=(), probes=())))
        wide = attrs.evolve(vm(1), incarnation=1 << 61, state=VmState.SUSPECT)
        one = attrs.evolve(EXAMPLE, members=(wide,), probes=())
        size = len(_gossip.encode(one)) - bare
        self.assertLessEqual(size, _gossip.member_size(wide))
        news = ProbeUpdate(
            (1 << 32) - 1,
            attrs.evolve(
                REPORT,
                sequence=(1 << 32) - 1,
                finished=(1 << 32) - 1,
                uptime_s=65_535,
            ),
        )
        two = attrs.evolve(EXAMPLE, members=(), probes=(news,))
        size = len(_gossip.encode(two)) - bare
        self.assertLessEqual(size, _gossip.probe_size(news))

    @parameterized.expand(
        [
            (
                "port",
                attrs.evolve(
                    EXAMPLE, sender=attrs.evolve(vm(1), gossip_port=0)
                ),
            ),
            (
                "name",
                attrs.evolve(EXAMPLE, sender=attrs.evolve(vm(1), name="")),
            ),
            (
                "address",
                attrs.evolve(
                    EXAMPLE, sender=attrs.evolve(vm(1), address="a.b")
                ),
            ),
            ("digest", attrs.evolve(EXAMPLE, digest=b"short")),
            ("version", attrs.evolve(EXAMPLE, version=-1)),
            (
                "text_field",
                attrs.evolve(EXAMPLE, sender=attrs.evolve(vm(1), zone=5)),
            ),
            (
                "incarnation",
                attrs.evolve(
                    EXAMPLE, members=(attrs.evolve(vm(1), incarnation=1 << 62),)
                ),
            ),
            ("not_a_number", _changed_report(uptime_s=float("nan"))),
            ("negative", _changed_report(connections=-1)),
            ("flag_not_boolean", _changed_report(healthy=1)),
        ]
    )
    def test_invalid_message(self, _, message):
        """Guards against invalid values from a VM with a faulty release.

        If they were accepted, heartbeats would go to port 0, or a VM would get
        an incarnation that it can never exceed.
        """
        decoded = _gossip.decode(_gossip.encode(message))
        self.assertEqual(EnvelopeFault.MALFORMED, decoded.unwrap_err())

    def test_oversized(self):
        """Input above the size limit is rejected before it is decoded."""
        decoded = _gossip.decode(bytes(_gossip.MAX_BODY_BYTES + 1))
        self.assertEqual(EnvelopeFault.OVERSIZED, decoded.unwrap_err())

    @_FUZZ
    @given(st.binary(max_size=400))
    def test_arbitrary_bytes(self, data):
        """Arbitrary bytes are rejected without an exception."""
        self.assertTrue(_gossip.decode(data).is_err())

    @_FUZZ
    @given(st.integers(0, 1000), st.integers(0, 255))
    def test_modified_byte(self, place, value):
        """Any modified byte leads to a valid message or the fault MALFORMED."""
        data = bytearray(_gossip.encode(EXAMPLE))
        data[place % len(data)] = value
        decoded = _gossip.decode(bytes(data))
        if decoded.is_err():
            self.assertEqual(EnvelopeFault.MALFORMED, decoded.unwrap_err())
        else:
            _gossip.encode(decoded.unwrap())


class SocketTest(TestCase):
    """Invalid datagrams are counted and dropped."""

    def setUp(self):
        """Creates a GossipSocket without a system socket."""
        super().setUp()
        self.counters = Counters()
        sealer = Sealer("b", KEY)
        self.socket = GossipSocket(None, sealer, Opener(KEY), self.counters)
        self.sealer = Sealer("a", KEY)

    def _open(self, data: bytes) -> Gossip | None:
        return self.socket.open(data, 0.0)

    def _faults(self, fault: EnvelopeFault) -> int:
        return self.counters.value(ENVELOPE_FAULTS, fault)

    def test_valid_datagram(self):
        """A valid datagram is accepted once."""
        data = self.sealer.seal(MessageType.GOSSIP, _gossip.encode(EXAMPLE))
        self.assertEqual(EXAMPLE, self._open(data))
        self.assertIsNone(self._open(data))
        self.assertEqual(1, self._faults(EnvelopeFault.REPLAYED))

    def test_wrong_kind(self):
        """A captured link envelope is dropped when sent to the gossip port."""
        data = self.sealer.seal(MessageType.LINK, _gossip.encode(EXAMPLE))
        self.assertIsNone(self._open(data))
        self.assertEqual(1, self._faults(EnvelopeFault.MALFORMED))

    @_FUZZ
    @given(st.integers(0, 1000), st.integers(1, 255), st.booleans())
    def test_modified_or_truncated_datagram(self, place, flip, cut):
        """A datagram that was modified or truncated in transit is dropped.

        If it were accepted, anyone on the path could declare VMs dead.
        """
        data = bytearray(
            self.sealer.seal(MessageType.GOSSIP, _gossip.encode(EXAMPLE))
        )
        place %= len(data)
        data[place] ^= flip
        forged = bytes(data[:place]) if cut else bytes(data)
        self.assertIsNone(self._open(forged))
