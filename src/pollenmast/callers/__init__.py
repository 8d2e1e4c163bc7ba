"""What the relay reads from callers' packets, and how it refuses a flow."""

from pollenmast.callers._packets import (
    LEAST_INITIAL_BYTES,
    LONG_HEADER,
    Packet,
    PacketType,
    read_packet,
    unfit,
    without_early_data,
)
from pollenmast.callers._refusal import CONNECTION_REFUSED, refusal

__all__ = [
    "CONNECTION_REFUSED",
    "LEAST_INITIAL_BYTES",
    "LONG_HEADER",
    "Packet",
    "PacketType",
    "read_packet",
    "refusal",
    "unfit",
    "without_early_data",
]
