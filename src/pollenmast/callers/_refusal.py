"""Tells a caller at once that its new flow is refused, and when to return.

Without an answer the caller's library would send its Initial again and again
until it times out; the overload would grow and the user would wait for
nothing. Source: RFC 9000 sections 5.2.2 and 10.2.3, RFC 9001 section 5.2
(the keys of an Initial follow from the connection id that the caller chose).
"""

import os

from aioquic.buffer import Buffer
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicFrameType,
    QuicPacketType,
    encode_long_header_first_byte,
)

from pollenmast.callers._packets import Packet

CONNECTION_REFUSED = 0x02
"""The transport error that RFC 9000 section 20.1 gives for a refusal."""

_SOURCE_CID_BYTES = 8
_PACKET_NUMBER_BYTES = 2
_AEAD_TAG_BYTES = 16
_LENGTH_PREFIX = 0x4000
_MOST_REFUSAL_BYTES = 512


def refusal(packet: Packet, retry_after_ms: int) -> bytes:
    """Returns the datagram that refuses the flow of a caller's Initial.

    Args:
        packet: The caller's Initial; its connection ids seed the keys.
        retry_after_ms: When the caller may come back, in milliseconds.
    """
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=packet.destination_cid, is_client=False, version=packet.version
    )
    payload = _close_frame(f"busy; retry after {retry_after_ms} ms")
    header = _header(packet, len(payload))
    return crypto.encrypt_packet(header, payload, packet_number=0)


def _close_frame(reason: str) -> bytes:
    buffer = Buffer(capacity=_MOST_REFUSAL_BYTES)
    buffer.push_uint_var(QuicFrameType.TRANSPORT_CLOSE)
    buffer.push_uint_var(CONNECTION_REFUSED)
    buffer.push_uint_var(QuicFrameType.PADDING)
    text = reason.encode()
    buffer.push_uint_var(len(text))
    buffer.push_bytes(text)
    return buffer.data


def _header(packet: Packet, payload_bytes: int) -> bytes:
    buffer = Buffer(capacity=_MOST_REFUSAL_BYTES)
    buffer.push_uint8(
        encode_long_header_first_byte(
            packet.version, QuicPacketType.INITIAL, _PACKET_NUMBER_BYTES - 1
        )
    )
    buffer.push_uint32(packet.version)
    for cid in (packet.source_cid, os.urandom(_SOURCE_CID_BYTES)):
        buffer.push_uint8(len(cid))
        buffer.push_bytes(cid)
    buffer.push_uint_var(0)
    length = _PACKET_NUMBER_BYTES + payload_bytes + _AEAD_TAG_BYTES
    buffer.push_uint16(length | _LENGTH_PREFIX)
    buffer.push_uint16(0)
    return buffer.data
