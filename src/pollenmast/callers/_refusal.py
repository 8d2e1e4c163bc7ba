"""Builds the QUIC packet that refuses a new flow and says when to retry.

Without a reply the caller's QUIC library would retransmit its Initial until it
times out, which adds to the overload while the user waits in vain. Follows RFC
9000 sections 5.2.2 and 10.2.3, and RFC 9001 section 5.2 (the keys of Initial
packets are derived from the connection ID that the caller chose).
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
"""Transport error code of a refused connection (RFC 9000 section 20.1)."""

_SOURCE_CID_BYTES = 8
_PACKET_NUMBER_BYTES = 2
_AEAD_TAG_BYTES = 16
_TWO_BYTE_VARINT = 0x4000
"""Marks a variable-length integer of two bytes."""

_REFUSAL_CAPACITY_BYTES = 512


def encode_refusal(packet: Packet, retry_after_ms: int) -> bytes:
    """Returns the datagram that refuses the flow which an Initial would open.

    Args:
        packet: The caller's Initial; the keys are derived from its destination
            connection ID.
        retry_after_ms: Milliseconds after which the caller may try again.
    """
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=packet.destination_cid, is_client=False, version=packet.version
    )
    payload = _encode_close_frame(f"busy; retry after {retry_after_ms} ms")
    header = _encode_header(packet, len(payload))
    return crypto.encrypt_packet(header, payload, packet_number=0)


def _encode_close_frame(reason: str) -> bytes:
    buffer = Buffer(capacity=_REFUSAL_CAPACITY_BYTES)
    buffer.push_uint_var(QuicFrameType.TRANSPORT_CLOSE)
    buffer.push_uint_var(CONNECTION_REFUSED)
    buffer.push_uint_var(QuicFrameType.PADDING)
    text = reason.encode()
    buffer.push_uint_var(len(text))
    buffer.push_bytes(text)
    return buffer.data


def _encode_header(packet: Packet, payload_bytes: int) -> bytes:
    buffer = Buffer(capacity=_REFUSAL_CAPACITY_BYTES)
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
    buffer.push_uint16(length | _TWO_BYTE_VARINT)
    buffer.push_uint16(0)
    return buffer.data
