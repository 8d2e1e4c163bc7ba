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
_FLAGS_OFFSET = 30
_ACKNOWLEDGED_SLICE = slice(24, 28)


def _packet(flags: int, acknowledged: int = 0, data: bytes = b"") -> bytes:
    packet = bytearray(SYN + data)
    packet[_FLAGS_OFFSET] = flags
    packet[_ACKNOWLEDGED_SLICE] = acknowledged.to_bytes(4, "big")
    packet[28:30] = len(data).to_bytes(2, "big")
    return bytes(packet)


class DecodeTest(TestCase):
    """Decoding of clients' packets."""

    def test_syn(self):
        """A SYN identifies the flow; a token set by the client is ignored."""
        segment = PACKETS.decode(SYN).ok_value
        self.assertEqual(FLOW, segment.flow)
        self.assertTrue(segment.syn)
        self.assertEqual(0, segment.token)

    def test_syn_copies(self):
        """A SYN's acknowledgement field holds the number of earlier copies."""
        segment = PACKETS.decode(_packet(16, acknowledged=2)).ok_value
        self.assertEqual((2, 0), (segment.syn_copies, segment.acknowledged))

    def test_data(self):
        """A data packet has an acknowledgement number and a data length."""
        segment = PACKETS.decode(_packet(8, 77, b"GET /")).ok_value
        self.assertEqual((77, 5), (segment.acknowledged, segment.length))

    @parameterized.expand(
        [
            ("empty", b""),
            ("short", SYN[:-1]),
            ("wrong_length", SYN + b"x"),
            ("too_long", _packet(8, 0, b"x" * 1201)),
            ("forged_answer", _packet(24)),
            ("bounced", _packet(8 | 32)),
        ]
    )
    def test_malformed(self, _, datagram):
        """Packets that no client can have sent are dropped."""
        self.assertEqual(Err(DropReason.MALFORMED), PACKETS.decode(datagram))

    @given(st.binary(max_size=1300))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes(self, datagram):
        """No datagram makes the decoder raise an exception."""
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
        """A request's id is read for the log if the whole header is present."""
        segment = PACKETS.decode(_packet(8, 0, data)).ok_value
        self.assertEqual(expected, PACKETS.request_id(segment))


class EncodeTest(TestCase):
    """Encoding of the packets that the VM sends."""

    def test_for_endpoint(self):
        """The packet is prefixed with the endpoint's number and has its token.

        All other bytes must stay the same, or client and endpoint would reject
        the packet as forged.
        """
        endpoint = group.endpoint(0x7F3A91C2)
        segment = PACKETS.decode(SYN).ok_value
        data = PACKETS.encode_for_endpoint(segment, endpoint)
        number, packet = data[:8], data[8:]
        self.assertEqual(0x7F3A91C2, int.from_bytes(number, "big"))
        self.assertEqual(bytes.fromhex("7f3a91c2"), packet[4:8])
        self.assertEqual(SYN[:4] + SYN[8:], packet[:4] + packet[8:])

    def test_for_reset(self):
        """A reset has the service's address as source and the clients' port."""
        reset = Reset(FLOW, 0, ResetReason.NO_ROUTE)
        data, address = PACKETS.encode_reset(reset)
        self.assertEqual(RESET, data)
        self.assertEqual(("100.64.0.7", 8172), address)
