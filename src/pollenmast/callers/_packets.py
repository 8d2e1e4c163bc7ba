"""Parses the part of a QUIC packet that a load balancer can read.

Nothing is decrypted. Follows RFC 8999 (version-independent properties), RFC
9000 section 17 (long headers) and RFC 9369 (version 2, which numbers the
packet types differently).
"""

import enum

import attrs
from result import Err, Ok, Result

from pollenmast.counters import DropReason

LONG_HEADER = 0x80
"""Bit of a packet's first byte that marks a long header."""

MIN_INITIAL_BYTES = 1200
"""Smallest datagram, in bytes, in which a caller may send an Initial (RFC 9000
section 14.1). A smaller one could be used for amplification: the fleet would
send back more than it received."""

MIN_SHORT_HEADER_BYTES = 21
"""Smallest short-header packet, in bytes. It is the shortest that RFC 9000
section 10.3 allows to be told apart from a stateless reset; a shorter one
belongs to no connection."""

VERSION_1 = 0x00000001
VERSION_2 = 0x6B3343CF
_MAX_CID_BYTES = 20
"""Limit on the length of a connection ID, in bytes (RFC 9000 section 17.2)."""

_VERSION_END_OFFSET = 5


class PacketType(enum.Enum):
    """The type of the first packet in a datagram."""

    INITIAL = enum.auto()
    EARLY_DATA = enum.auto()
    HANDSHAKE = enum.auto()
    RETRY = enum.auto()
    SHORT = enum.auto()


_LONG_HEADER_TYPES = {
    VERSION_1: (
        PacketType.INITIAL,
        PacketType.EARLY_DATA,
        PacketType.HANDSHAKE,
        PacketType.RETRY,
    ),
    VERSION_2: (
        PacketType.RETRY,
        PacketType.INITIAL,
        PacketType.EARLY_DATA,
        PacketType.HANDSHAKE,
    ),
}


@attrs.frozen
class Packet:
    """The unencrypted fields of one packet.

    Attributes:
        type: The packet's type.
        version: The QUIC version, 0 for a short header.
        destination_cid: The receiver's connection ID.
        source_cid: The sender's connection ID.
        end: Offset of the first byte after the packet in its datagram.
    """

    type: PacketType
    version: int = 0
    destination_cid: bytes = b""
    source_cid: bytes = b""
    end: int = 0


def parse_packet(data: bytes, start: int = 0) -> Result[Packet, DropReason]:
    """Parses one packet of a datagram.

    Args:
        data: The datagram.
        start: Offset of the packet's first byte.

    Returns:
        The packet, or the reason why there is no valid one at `start`.
    """
    if start >= len(data):
        return Err(DropReason.EMPTY)
    if not data[start] & LONG_HEADER:
        return Ok(Packet(PacketType.SHORT, end=len(data)))
    try:
        return _read_long_header(data, start)
    except IndexError:
        return Err(DropReason.TRUNCATED_HEADER)


def _read_long_header(data: bytes, start: int) -> Result[Packet, DropReason]:
    version = int.from_bytes(_slice(data, start + 1, 4), "big")
    types = _LONG_HEADER_TYPES.get(version)
    if types is None:
        return Err(DropReason.UNSUPPORTED_VERSION)
    offset = start + _VERSION_END_OFFSET
    destination, offset = _read_cid(data, offset)
    source, offset = _read_cid(data, offset)
    packet_type = types[(data[start] >> 4) & 0x03]
    end = _find_packet_end(data, packet_type, offset)
    return Ok(Packet(packet_type, version, destination, source, end))


def _read_cid(data: bytes, offset: int) -> tuple[bytes, int]:
    length = data[offset]
    if length > _MAX_CID_BYTES:
        raise IndexError(length)
    offset += 1
    return _slice(data, offset, length), offset + length


def _find_packet_end(data: bytes, packet_type: PacketType, offset: int) -> int:
    if packet_type is PacketType.RETRY:
        return len(data)
    if packet_type is PacketType.INITIAL:
        token_length, offset = _read_varint(data, offset)
        offset += token_length
    length, offset = _read_varint(data, offset)
    end = offset + length
    if end > len(data):
        raise IndexError(end)
    return end


def _read_varint(data: bytes, offset: int) -> tuple[int, int]:
    size = 1 << (data[offset] >> 6)
    value = int.from_bytes(_slice(data, offset, size), "big")
    return value & ((1 << (8 * size - 2)) - 1), offset + size


def _slice(data: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(data):
        raise IndexError(offset)
    return data[offset : offset + length]


def find_drop_reason(packet_type: PacketType, size: int) -> DropReason | None:
    """Returns why a datagram cannot open or continue a flow, None if it can.

    Args:
        packet_type: Type of the datagram's first packet.
        size: Length of the datagram in bytes.
    """
    if packet_type is PacketType.INITIAL and size < MIN_INITIAL_BYTES:
        return DropReason.SHORT_INITIAL
    if packet_type is PacketType.EARLY_DATA:
        return DropReason.EARLY_DATA
    if packet_type is PacketType.SHORT and size < MIN_SHORT_HEADER_BYTES:
        return DropReason.TRUNCATED_HEADER
    return None


def zero_early_data(data: bytes) -> tuple[bytes, int]:
    """Overwrites the 0-RTT packets of a datagram with zeros.

    A 0-RTT packet can carry a request before the handshake and can be
    replayed, so a request that must run at most once could run twice. The
    packets are zeroed instead of removed, so that the datagram keeps its
    1,200 bytes; the receiver does not accept zeros as a packet. The caller's
    QUIC library sends the data again after the handshake.

    Returns:
        The datagram, and the number of packets that were overwritten.
    """
    start = 0
    overwritten = 0
    while start < len(data) and data[start] & LONG_HEADER:
        packet = parse_packet(data, start)
        if packet.is_err():
            break
        end = packet.unwrap().end
        if packet.unwrap().type is PacketType.EARLY_DATA:
            data = data[:start] + bytes(end - start) + data[end:]
            overwritten += 1
        start = end
    return data, overwritten
