"""What an agent answers a caller when no VM has a relay."""

from result import Err, Ok, Result

from pollenmast.callers import (
    PacketType,
    read_packet,
    refusal,
    unfit,
    without_early_data,
)
from pollenmast.counters import DropReason


def answer(data: bytes, retry_after_ms: int) -> Result[bytes, DropReason]:
    """Returns the refusal of a caller's new flow, or why there is none.

    Only a first Initial can be answered so: once the upstream has answered
    one, its caller's Initials are under keys that this VM does not have, and
    a refusal under others is no packet to the caller. So nobody is told "not
    run" whose request may have run. 0-RTT may have been carried before the
    relay went, and is not refused.

    Args:
        data: The caller's datagram.
        retry_after_ms: When the caller may come back, in milliseconds.
    """
    packet = read_packet(data)
    if packet.is_err():
        return packet
    kind = packet.unwrap().type
    reason = unfit(kind, len(data))
    if reason is not None:
        return Err(reason)
    _, early_data = without_early_data(data)
    if kind is not PacketType.INITIAL or early_data:
        return Err(DropReason.NO_OWNER)
    return Ok(refusal(packet.unwrap(), retry_after_ms))
