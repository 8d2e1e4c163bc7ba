"""Reads of a QUIC packet what a balancer may: the version-independent part.

Source: RFC 8999 (invariants), RFC 9000 section 17 (long headers) and RFC 9369
(version 2 numbers the packet types anew). Nothing is decrypted.
"""

import enum

import attrs
from result import Err, Ok, Result

from pollenmast.counters import DropReason

LONG_HEADER = 0x80
LEAST_INITIAL_BYTES = 1200
"""A caller's Initial fills this many bytes (RFC 9000 section 14.1); a smaller
one could be used to make the fleet answer more than it was sent."""

LEAST_SHORT_BYTES = 21
"""The shortest packet that RFC 9000 section 10.3 lets be told apart from a
stateless reset; anything shorter is no packet of a session."""

VERSION_1 = 0x00000001
VERSION_2 = 0x6B3343CF
_MOST_CID_BYTES = 20
_VERSION_END = 5


class PacketType(enum.Enum):
    """What kind of packet a datagram begins with."""

    INITIAL = enum.auto()
    EARLY_DATA = enum.auto()
    HANDSHAKE = enum.auto()
    RETRY = enum.auto()
    SHORT = enum.auto()


_TYPES = {
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
    """The readable part of one packet.

    Attributes:
        type: The packet's type.
        version: The QUIC version, 0 for a short header.
        destination_cid: The connection id that the packet is sent to.
        source_cid: The sender's own connection id.
        end: Offset behind the packet within its datagram.
    """

    type: PacketType
    version: int = 0
    destination_cid: bytes = b""
    source_cid: bytes = b""
    end: int = 0


def read_packet(data: bytes, start: int = 0) -> Result[Packet, DropReason]:
    """Returns the packet that begins at `start`, or why none does."""
    if start >= len(data):
        return Err(DropReason.EMPTY)
    if not data[start] & LONG_HEADER:
        return Ok(Packet(PacketType.SHORT, end=len(data)))
    try:
        return _read_long(data, start)
    except IndexError:
        return Err(DropReason.TRUNCATED_HEADER)


def _read_long(data: bytes, start: int) -> Result[Packet, DropReason]:
    version = int.from_bytes(_take(data, start + 1, 4), "big")
    types = _TYPES.get(version)
    if types is None:
        return Err(DropReason.UNSUPPORTED_VERSION)
    offset = start + _VERSION_END
    destination, offset = _read_cid(data, offset)
    source, offset = _read_cid(data, offset)
    packet_type = types[(data[start] >> 4) & 0x03]
    end = _packet_end(data, packet_type, offset)
    return Ok(Packet(packet_type, version, destination, source, end))


def _read_cid(data: bytes, offset: int) -> tuple[bytes, int]:
    length = data[offset]
    if length > _MOST_CID_BYTES:
        raise IndexError(length)
    offset += 1
    return _take(data, offset, length), offset + length


def _packet_end(data: bytes, packet_type: PacketType, offset: int) -> int:
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
    value = int.from_bytes(_take(data, offset, size), "big")
    return value & ((1 << (8 * size - 2)) - 1), offset + size


def _take(data: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(data):
        raise IndexError(offset)
    return data[offset : offset + length]


def unfit(packet_type: PacketType, size: int) -> DropReason | None:
    """Returns why a datagram that begins so cannot open or go on with a flow.

    Args:
        packet_type: Type of its first packet.
        size: Its length in bytes.
    """
    if packet_type is PacketType.INITIAL and size < LEAST_INITIAL_BYTES:
        return DropReason.SHORT_INITIAL
    if packet_type is PacketType.EARLY_DATA:
        return DropReason.EARLY_DATA
    if packet_type is PacketType.SHORT and size < LEAST_SHORT_BYTES:
        return DropReason.TRUNCATED_HEADER
    return None


def without_early_data(data: bytes) -> tuple[bytes, int]:
    """Returns the datagram with its 0-RTT packets blanked, and how many.

    A 0-RTT packet can carry a request before the handshake and can be
    replayed, so a request that must run at most once could run twice. The
    bytes are zeroed and not cut out: the datagram keeps its 1,200 bytes, and
    zeros are no valid packet to a receiver. The caller's library sends the
    data again after the handshake.
    """
    start = 0
    found = 0
    while start < len(data) and data[start] & LONG_HEADER:
        packet = read_packet(data, start)
        if packet.is_err():
            break
        end = packet.unwrap().end
        if packet.unwrap().type is PacketType.EARLY_DATA:
            data = data[:start] + bytes(end - start) + data[end:]
            found += 1
        start = end
    return data, found
