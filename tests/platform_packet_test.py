"""Tests of platform._packet."""

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err
from testtools import TestCase

from pollenmast.counters import DropReason, ResetReason
from pollenmast.platform._packet import PlatformPackets
from pollenmast.steering import FlowKey, Reset
from tests import steering_group as group

SYN = bytes.fromhex(
    "a1b2c3d5 00000000 9c41 64400007 01bb c612000111223344 00000000 0000 10 00"
)
RESET = bytes.fromhex(
    "00000000 00000000 01bb c6120001 9c41 6440000700000000 00000000 0000 04 00"
)
FLOW = FlowKey("100.64.0.7", 40001, "198.18.0.1", 443)
PACKETS = PlatformPackets(8172)
_FLAGS_AT = 30
_ACKNOWLEDGED_AT = slice(24, 28)


def _with(flags: int, acknowledged: int = 0, data: bytes = b"") -> bytes:
    packet = bytearray(SYN + data)
    packet[_FLAGS_AT] = flags
    packet[_ACKNOWLEDGED_AT] = acknowledged.to_bytes(4, "big")
    packet[28:30] = len(data).to_bytes(2, "big")
    return bytes(packet)


class DecodeTest(TestCase):
    """What a client's packet says."""

    def test_syn(self):
        """A SYN names the flow; its token is not the client's to choose."""
        segment = PACKETS.decode(SYN).ok_value
        self.assertEqual(FLOW, segment.flow)
        self.assertTrue(segment.syn)
        self.assertEqual(0, segment.token)

    def test_copies(self):
        """A SYN's acknowledgement field counts the copies before it."""
        segment = PACKETS.decode(_with(16, acknowledged=2)).ok_value
        self.assertEqual((2, 0), (segment.syn_copies, segment.acknowledged))

    def test_data(self):
        """Data names what the client has received, and how much it sends."""
        segment = PACKETS.decode(_with(8, 77, b"GET /")).ok_value
        self.assertEqual((77, 5), (segment.acknowledged, segment.length))

    @parameterized.expand(
        [
            ("empty", b""),
            ("short", SYN[:-1]),
            ("length_lies", SYN + b"x"),
            ("too_long", _with(8, 0, b"x" * 1201)),
            ("forged_answer", _with(24)),
            ("bounced", _with(8 | 32)),
        ]
    )
    def test_malformed(self, _, datagram):
        """What no client sends is dropped."""
        self.assertEqual(Err(DropReason.MALFORMED), PACKETS.decode(datagram))

    @given(st.binary(max_size=1300))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, datagram):
        """No datagram raises anything."""
        PACKETS.decode(datagram)

    @parameterized.expand(
        [
            ("first", b"GET / HTTP/1.1\r\nX-Request-Id: ab12\r\n\r\n", "ab12"),
            ("lower", b"GET / HTTP/1.1\r\nx-request-id:ab\r\n\r\n", "ab"),
            ("none", b"GET / HTTP/1.1\r\n\r\n", ""),
            ("cut", b"GET / HTTP/1.1\r\nX-Request-Id: ab", ""),
        ]
    )
    def test_request_id(self, _, data, expected):
        """A request's id is read for the log, where it is all there."""
        segment = PACKETS.decode(_with(8, 0, data)).ok_value
        self.assertEqual(expected, PACKETS.request_id(segment))


class EncodeTest(TestCase):
    """What the VM sends."""

    def test_for_endpoint(self):
        """The endpoint's number goes before the packet, its token into it.

        Nothing else may differ: the ends would take a changed packet for
        forged.
        """
        endpoint = group.endpoint(0x7F3A91C2)
        segment = PACKETS.decode(SYN).ok_value
        data = PACKETS.for_endpoint(segment, endpoint)
        number, packet = data[:8], data[8:]
        self.assertEqual(0x7F3A91C2, int.from_bytes(number, "big"))
        self.assertEqual(bytes.fromhex("7f3a91c2"), packet[4:8])
        self.assertEqual(SYN[:4] + SYN[8:], packet[:4] + packet[8:])

    def test_for_reset(self):
        """A reset comes from the service's address, to the clients' port."""
        reset = Reset(FLOW, 0, ResetReason.NO_ROUTE)
        data, address = PACKETS.for_reset(reset)
        self.assertEqual(RESET, data)
        self.assertEqual(("100.64.0.7", 8172), address)
