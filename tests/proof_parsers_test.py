"""Fuzz tests: no outside input makes a parser raise or grow its state."""

import json

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from pollenmast import manifest as manifests
from pollenmast.callers import LONG_HEADER, parse_packet, zero_early_data
from pollenmast.peers import _codec, _gossip
from pollenmast.peers._envelope import MOST_BYTES, Opener, Sealer
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    MAX_RECORDS_PER_MESSAGE,
    Forwarded,
    pack_forwarded,
    unpack_connection_ids,
    unpack_forwarded,
    unpack_lookup_result,
    unpack_records,
)
from standins import memory as fakes
from tests.proof import _traffic as traffic
from tests.proof._world import World

_FIXED = settings(
    max_examples=150,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
_BOUNDARIES = (0, 1, 2, 3, 15, 20, 21, 22, 1199, 1200, 1201, 9216, MOST_BYTES)
_GENUINE = [
    traffic.initial(traffic.PacketContent("f1", 1)),
    traffic.initial(
        traffic.PacketContent("f1", 1), traffic.PacketContent("f1", 2, "r")
    ),
    traffic.handshake(traffic.PacketContent("f1", 1)),
    traffic.short(traffic.PacketContent("f1", 3, "r")),
    traffic.early_data(traffic.PacketContent("f1", 2, "r")),
]

_lengths = st.one_of(st.sampled_from(_BOUNDARIES), st.integers(0, MOST_BYTES))
_heads = st.binary(max_size=60)


@st.composite
def _noise(draw) -> bytes:
    """Generates a datagram of any length with arbitrary leading bytes."""
    length, head = draw(_lengths), draw(_heads)
    return (head + bytes([draw(st.integers(0, 255))]) * length)[:length]


@st.composite
def _corrupted(draw, genuine: list[bytes]) -> bytes:
    """Generates a valid message that is truncated or has bytes changed."""
    data = bytearray(draw(st.sampled_from(genuine)))
    for _ in range(draw(st.integers(0, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


_datagrams = st.one_of(_noise(), _corrupted(_GENUINE))


class DatagramTest(TestCase):
    """Input from callers."""

    @_FIXED
    @given(_datagrams)
    def test_read(self, data):
        """Reading a datagram never raises, and its packet ends within it."""
        packet = parse_packet(data)
        if packet.is_ok():
            self.assertLessEqual(packet.unwrap().end, len(data))
        stripped, _ = zero_early_data(data)
        self.assertEqual(len(data), len(stripped))

    @_FIXED
    @given(_datagrams)
    def test_without_early_data(self, data):
        """A datagram stripped of 0-RTT contains no 0-RTT that can be found."""
        stripped, _ = zero_early_data(data)
        self.assertEqual(0, zero_early_data(stripped)[1])

    @settings(_FIXED, max_examples=25)
    @given(st.lists(st.tuples(_datagrams, st.integers(1, 9)), max_size=40))
    @example([(bytes(size), 1) for size in _BOUNDARIES])
    @example([(b"\xc0" * size, 1) for size in _BOUNDARIES])
    def test_relay(self, datagrams):
        """A relay accepts any datagrams and keeps at most one flow for each."""
        world = World(vms=2)
        world.on_sent_to_caller = lambda *args: None
        core = world.nodes[1].core
        (listener, *_) = core.table.listeners
        world.upstreams.take = lambda *args: None
        for data, number in datagrams:
            caller = ("10.0.0.1", 1000 + number)
            core.on_caller(listener, data, caller, world.now)
            world.deliver()
        flows = sum(node.core.table.flows for node in world.nodes.values())
        self.assertLessEqual(flows, 2 * len(datagrams))
        world.advance(7.0)
        self.assertEqual(0, core.table.flows)

    def test_every_length(self):
        """No length of a datagram from 0 to 65,507 bytes makes one raise."""
        long, short = bytes([LONG_HEADER]) * MOST_BYTES, bytes(MOST_BYTES)
        for size in range(0, MOST_BYTES + 1, 7):
            parse_packet(long[:size])
            parse_packet(short[:size])


class EnvelopeTest(TestCase):
    """Input from other VMs, or from senders that impersonate them."""

    @_FIXED
    @given(
        st.one_of(
            _noise(),
            _corrupted(
                [Sealer("vm-2", fakes.KEY).seal(MessageType.RECORDS, b"abc")]
            ),
        )
    )
    def test_unauthenticated(self, data):
        """An envelope that was not sealed with the fleet's key is rejected."""
        genuine = Sealer("vm-2", fakes.KEY).seal(MessageType.RECORDS, b"abc")
        opener = Opener(bytes(32))
        self.assertTrue(opener.open(data, 0.0).is_err())
        self.assertTrue(opener.open(genuine, 0.0).is_err())
        self.assertEqual(0, len(opener._windows))

    @settings(_FIXED, max_examples=60)
    @given(
        st.lists(
            st.tuples(st.integers(0, 255), st.binary(max_size=200)),
            max_size=30,
        )
    )
    def test_bodies(self, messages):
        """No body of an authentic envelope raises or adds surplus flows."""
        world = World(vms=2)
        core = world.nodes[1].core
        sealer = Sealer("vm-2", fakes.KEY)
        world.upstreams.take = lambda *args: None
        for kind, body in messages:
            core.on_peer(sealer.seal(kind, body), world.now)
        self.assertLessEqual(core.table.flows, len(messages))
        world.advance(7.0)
        self.assertLessEqual(core.table.flows, len(messages))

    @_FIXED
    @given(st.binary(max_size=1500))
    def test_unpack(self, body):
        """Message bodies are parsed or rejected, within bounds."""
        records = unpack_records(body)
        if records.is_ok():
            self.assertLessEqual(len(records.unwrap()), MAX_RECORDS_PER_MESSAGE)
        for unpack in (
            unpack_forwarded,
            unpack_lookup_result,
            unpack_connection_ids,
        ):
            unpack(body)

    @_FIXED
    @given(st.ip_addresses(), st.integers(0, 65535), st.binary(max_size=1400))
    def test_forwarded_whole(self, ip, port, data):
        """A forwarded datagram survives packing and unpacking unchanged."""
        sent = Forwarded(4001, str(ip), port, 1, data, 7, 9)
        self.assertEqual(sent, unpack_forwarded(pack_forwarded(sent)).unwrap())

    @_FIXED
    @given(st.integers(0, 255), st.binary(max_size=400))
    def test_control_messages(self, tag, data):
        """The codecs of link and gossip never raise on invalid input."""
        _codec.decode(bytes([tag]) + data)
        _codec.decode(data)
        _gossip.decode(data)


_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=6), inner, max_size=3),
    ),
    max_leaves=8,
)


class ManifestTest(TestCase):
    """Input from the platform."""

    @_FIXED
    @given(
        st.one_of(st.binary(max_size=300), _corrupted([traffic.Plan().text()]))
    )
    def test_any_bytes(self, data):
        """Any bytes parse to a manifest or a list of faults and never raise."""
        parsed = manifests.parse(data)
        if parsed.is_err():
            self.assertGreater(len(parsed.unwrap_err()), 0)

    @_FIXED
    @given(st.lists(st.integers(0, 9), max_size=6), _values)
    def test_any_value(self, path, value):
        """A value of any type anywhere in a manifest never raises."""
        whole = json.loads(traffic.Plan().text())
        place, keys = whole, path or [0]
        for step in keys:
            names = (
                list(place) if isinstance(place, dict) else range(len(place))
            )
            name = list(names)[step % len(names)]
            if step == keys[-1] or not isinstance(place[name], (dict, list)):
                break
            place = place[name]
        place[name] = value
        manifests.parse(json.dumps(whole).encode())
