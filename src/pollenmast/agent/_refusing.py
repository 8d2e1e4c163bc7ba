"""Refuses callers' new flows while no VM has a relay."""

from result import Err, Ok, Result

from pollenmast.callers import (
    PacketType,
    encode_refusal,
    find_drop_reason,
    parse_packet,
    zero_early_data,
)
from pollenmast.counters import DropReason


def refusal_for(data: bytes, retry_after_ms: int) -> Result[bytes, DropReason]:
    """Returns a datagram that refuses a caller's new flow.

    Only a caller's first Initial packet can be refused. Once the upstream has
    answered one, the caller protects its Initials with keys that this VM does
    not have, and discards a refusal under other keys. A caller whose request
    may have run is therefore never told that it has not. 0-RTT data may have
    been forwarded before the relay was lost, so it is not refused either.

    Args:
        data: The caller's datagram.
        retry_after_ms: Time after which the caller may retry, in milliseconds.

    Returns:
        The refusal, or the reason to drop the datagram instead.
    """
    packet = parse_packet(data)
    if packet.is_err():
        return packet
    kind = packet.unwrap().type
    reason = find_drop_reason(kind, len(data))
    if reason is not None:
        return Err(reason)
    _, early_data = zero_early_data(data)
    if kind is not PacketType.INITIAL or early_data:
        return Err(DropReason.NO_OWNER)
    return Ok(encode_refusal(packet.unwrap(), retry_after_ms))
