"""Flow records and forwarded datagrams as bytes between relays.

They name a service by the port that its callers send to, and an endpoint by
its own number alone. A manifest may give a port to another service, and it
reaches relays at different times: named by service, a caller's packet passed
from a relay that has it to one that has not would reach the other service.
"""

import ipaddress
import socket
import struct

import attrs
import xxhash
from result import Err, Ok, Result

from pollenmast.counters import EnvelopeFault

MOST_RECORDS = 64
"""Records in one message: 64 of 15 bytes stay below a 1,200-byte datagram."""

_RECORD = struct.Struct("!HIBB")
_PORT = struct.Struct("!H")
_FORWARD = struct.Struct("!HBII")
_FOUND = struct.Struct("!IB")
_CONNECTION_ID = struct.Struct("!HQI")


def endpoint_id(service: int, name: str) -> int:
    """Returns the 32-bit number of an endpoint, its service included."""
    return xxhash.xxh32_intdigest(f"{service}/{name}".encode())


@attrs.frozen
class FlowRecord:
    """Where a flow goes: all that another relay needs to carry it on.

    Attributes:
        service_port: The port that the caller sends to.
        ip: The caller's IP number.
        port: The caller's UDP port.
        endpoint: `endpoint_id` of the endpoint.
        flags: What the record asks for, see `RecordFlag`.
    """

    service_port: int
    ip: str
    port: int
    endpoint: int
    flags: int = 0

    @property
    def key(self) -> tuple[int, str, int]:
        """What identifies the flow in the whole fleet."""
        return (self.service_port, self.ip, self.port)


class RecordFlag:
    """What a record asks its receiver to do."""

    KEEP = 0
    """Keep it for the sender, who carries the flow."""

    TAKE = 1
    """Carry the flow from now on; the sender leaves."""

    FORGET = 2
    """The flow has ended."""

    RELEASE = 3
    """The sender carries this flow and owns it; stop carrying it."""

    CARRIED = 4
    """The upstream now answers by the sender: the old path may go."""


def pack_records(records: list[FlowRecord]) -> bytes:
    """Returns the records as the body of a RECORDS envelope."""
    return b"".join(_pack(record) for record in records)


def _pack(record: FlowRecord) -> bytes:
    ip = pack_ip(record.ip)
    fixed = _RECORD.pack(
        record.service_port, record.endpoint, record.flags, len(ip)
    )
    return fixed + ip + _PORT.pack(record.port)


def unpack_records(body: bytes) -> Result[list[FlowRecord], EnvelopeFault]:
    """Returns the records of a body, or the fault for which it is dropped."""
    records: list[FlowRecord] = []
    offset = 0
    try:
        while offset < len(body) and len(records) <= MOST_RECORDS:
            record, offset = _unpack(body, offset)
            records.append(record)
    except (struct.error, ValueError):
        return Err(EnvelopeFault.MALFORMED)
    if offset != len(body) or len(records) > MOST_RECORDS:
        return Err(EnvelopeFault.MALFORMED)
    return Ok(records)


def _unpack(body: bytes, offset: int) -> tuple[FlowRecord, int]:
    service, endpoint, flags, length = _RECORD.unpack_from(body, offset)
    offset += _RECORD.size
    ip = unpack_ip(body[offset : offset + length])
    offset += length
    (port,) = _PORT.unpack_from(body, offset)
    record = FlowRecord(service, ip, port, endpoint, flags)
    return record, offset + _PORT.size


def pack_ip(ip: str) -> bytes:
    """Returns an IP number as 4 or 16 bytes."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.inet_pton(family, ip)


def unpack_ip(data: bytes) -> str:
    """Returns the IP number that 4 or 16 bytes hold.

    Raises:
        ValueError: The length is neither.
    """
    return str(ipaddress.ip_address(data))


@attrs.frozen
class Forwarded:
    """A caller's datagram on its way between relays.

    Attributes:
        service_port: The port that the caller sends to.
        ip: The caller's IP number.
        port: The caller's UDP port.
        hops: How often it was passed on.
        asker: VM number that wants to know of the flow, or 0.
        next_asked: VM number to ask next if this one does not know, or 0.
        data: The datagram.
    """

    service_port: int
    ip: str
    port: int
    hops: int
    data: bytes
    asker: int = 0
    next_asked: int = 0


def pack_forwarded(forwarded: Forwarded) -> bytes:
    """Returns the body of a FORWARD, ASK or UNKNOWN envelope."""
    ip = pack_ip(forwarded.ip)
    fixed = _FORWARD.pack(
        forwarded.service_port,
        forwarded.hops,
        forwarded.asker,
        forwarded.next_asked,
    )
    return b"".join(
        (
            fixed,
            bytes([len(ip)]),
            ip,
            _PORT.pack(forwarded.port),
            forwarded.data,
        )
    )


def unpack_forwarded(body: bytes) -> Result[Forwarded, EnvelopeFault]:
    """Returns the datagram of a body, or the fault for which it is dropped."""
    try:
        service, hops, asker, next_asked = _FORWARD.unpack_from(body)
        offset = _FORWARD.size
        length = body[offset]
        offset += 1
        ip = unpack_ip(body[offset : offset + length])
        offset += length
        (port,) = _PORT.unpack_from(body, offset)
    except (struct.error, ValueError, IndexError):
        return Err(EnvelopeFault.MALFORMED)
    data = body[offset + _PORT.size :]
    return Ok(Forwarded(service, ip, port, hops, data, asker, next_asked))


@attrs.frozen
class Found:
    """A datagram that comes back with the endpoint of its flow.

    Attributes:
        endpoint: `endpoint_id` of the endpoint.
        caller_moved: Whether its connection id told, and not its address.
        forwarded: The datagram.
    """

    endpoint: int
    caller_moved: bool
    forwarded: Forwarded


def pack_found(found: Found) -> bytes:
    """Returns the body of a FOUND envelope."""
    fixed = _FOUND.pack(found.endpoint, found.caller_moved)
    return fixed + pack_forwarded(found.forwarded)


def unpack_found(body: bytes) -> Result[Found, EnvelopeFault]:
    """Returns what a FOUND body holds, or why it is dropped."""
    if len(body) < _FOUND.size:
        return Err(EnvelopeFault.MALFORMED)
    endpoint, caller_moved = _FOUND.unpack_from(body)
    forwarded = unpack_forwarded(body[_FOUND.size :])
    return forwarded.map(lambda each: Found(endpoint, bool(caller_moved), each))


@attrs.frozen
class ConnectionId:
    """Which endpoint chose a connection id.

    Attributes:
        service_port: The port that the caller sends to.
        cid: The first eight bytes of the connection id, as a number.
        endpoint: `endpoint_id` of the endpoint.
    """

    service_port: int
    cid: int
    endpoint: int


def pack_connection_ids(entries: list[ConnectionId]) -> bytes:
    """Returns the body of a CONNECTION_IDS envelope."""
    return b"".join(
        _CONNECTION_ID.pack(entry.service_port, entry.cid, entry.endpoint)
        for entry in entries
    )


def unpack_connection_ids(
    body: bytes,
) -> Result[list[ConnectionId], EnvelopeFault]:
    """Returns the entries of a body, or the fault for which it is dropped."""
    if len(body) % _CONNECTION_ID.size:
        return Err(EnvelopeFault.MALFORMED)
    return Ok(
        [ConnectionId(*fields) for fields in _CONNECTION_ID.iter_unpack(body)]
    )
