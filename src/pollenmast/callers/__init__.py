"""Parses the headers of callers' QUIC packets and builds refusals of flows."""

from pollenmast.callers._packets import (
    LONG_HEADER,
    MIN_INITIAL_BYTES,
    Packet,
    PacketType,
    find_drop_reason,
    parse_packet,
    zero_early_data,
)
from pollenmast.callers._refusal import CONNECTION_REFUSED, encode_refusal

__all__ = [
    "CONNECTION_REFUSED",
    "LONG_HEADER",
    "MIN_INITIAL_BYTES",
    "Packet",
    "PacketType",
    "encode_refusal",
    "find_drop_reason",
    "parse_packet",
    "zero_early_data",
]
