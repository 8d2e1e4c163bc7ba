"""Binary formats of flow records and forwarded datagrams between relays.

A service is identified by the port that its callers send to, and an endpoint
by its own identifier alone. A new manifest may assign a port to another
service, and it reaches relays at different times. If services were identified
by number, a packet forwarded from a relay that has the new manifest to one
that does not would reach the wrong service.
"""

import ipaddress
import socket
import struct

import attrs
import xxhash
from result import Err, Ok, Result

from pollenmast.counters import EnvelopeFault

MAX_RECORDS_PER_MESSAGE = 64
"""Limit on the records of a message: 64 records of 15 bytes stay below a
1,200-byte datagram."""

_RECORD = struct.Struct("!HIBB")
_PORT = struct.Struct("!H")
_FORWARD = struct.Struct("!HBII")
_FOUND = struct.Struct("!IB")
_CONNECTION_ID = struct.Struct("!HQI")


def endpoint_id(service: int, name: str) -> int:
    """Returns the 32-bit hash of an endpoint's name and service number."""
    return xxhash.xxh32_intdigest(f"{service}/{name}".encode())


@attrs.frozen
class FlowRecord:
    """All that another relay needs to take over a flow.

    Attributes:
        service_port: The port that the caller sends to.
        ip: The caller's IP address.
        port: The caller's UDP port.
        endpoint: `endpoint_id` of the endpoint.
        flags: One of the values of `RecordAction`.
    """

    service_port: int
    ip: str
    port: int
    endpoint: int
    flags: int = 0

    @property
    def key(self) -> tuple[int, str, int]:
        """Identifies the flow in the whole fleet."""
        return (self.service_port, self.ip, self.port)


class RecordAction:
    """The action that a record requests of its receiver."""

    REPLICATE = 0
    """Store the record as a replica; the sender carries the flow."""

    TAKE_OVER = 1
    """Take over the flow from the sender."""

    DELETE = 2
    """Delete the replica; the flow has ended."""

    RELEASE = 3
    """Stop carrying the flow; the sender carries and owns it."""

    CLOSE_OLD_PATH = 4
    """Close the old path of a flow that was taken over; the upstream's answers
    now pass through the sender."""


def pack_records(records: list[FlowRecord]) -> bytes:
    """Returns the records in the format of a RECORDS body."""
    return b"".join(_pack_record(record) for record in records)


def _pack_record(record: FlowRecord) -> bytes:
    ip = pack_ip(record.ip)
    fixed = _RECORD.pack(
        record.service_port, record.endpoint, record.flags, len(ip)
    )
    return fixed + ip + _PORT.pack(record.port)


def unpack_records(body: bytes) -> Result[list[FlowRecord], EnvelopeFault]:
    """Returns the records of a body, or why the body is dropped."""
    records: list[FlowRecord] = []
    offset = 0
    try:
        while offset < len(body) and len(records) <= MAX_RECORDS_PER_MESSAGE:
            record, offset = _unpack_record(body, offset)
            records.append(record)
    except (struct.error, ValueError):
        return Err(EnvelopeFault.MALFORMED)
    if offset != len(body) or len(records) > MAX_RECORDS_PER_MESSAGE:
        return Err(EnvelopeFault.MALFORMED)
    return Ok(records)


def _unpack_record(body: bytes, offset: int) -> tuple[FlowRecord, int]:
    service, endpoint, flags, length = _RECORD.unpack_from(body, offset)
    offset += _RECORD.size
    ip = unpack_ip(body[offset : offset + length])
    offset += length
    (port,) = _PORT.unpack_from(body, offset)
    record = FlowRecord(service, ip, port, endpoint, flags)
    return record, offset + _PORT.size


def pack_ip(ip: str) -> bytes:
    """Returns an IP address as 4 or 16 bytes."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.inet_pton(family, ip)


def unpack_ip(data: bytes) -> str:
    """Returns the IP address encoded in 4 or 16 bytes.

    Raises:
        ValueError: The length is neither 4 nor 16.
    """
    return str(ipaddress.ip_address(data))


@attrs.frozen
class Forwarded:
    """A caller's datagram that is forwarded between relays.

    Attributes:
        service_port: The port that the caller sends to.
        ip: The caller's IP address.
        port: The caller's UDP port.
        hops: How many times the datagram has been forwarded.
        data: The datagram's payload.
        requester: Number of the VM that looks up the flow, or 0.
        next_candidate: Number of the VM to ask next if the receiver does not
            know the flow, or 0.
    """

    service_port: int
    ip: str
    port: int
    hops: int
    data: bytes
    requester: int = 0
    next_candidate: int = 0


def pack_forwarded(forwarded: Forwarded) -> bytes:
    """Returns the body of a FORWARD, a lookup or its negative answer."""
    ip = pack_ip(forwarded.ip)
    fixed = _FORWARD.pack(
        forwarded.service_port,
        forwarded.hops,
        forwarded.requester,
        forwarded.next_candidate,
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
    """Returns the datagram of a body, or why the body is dropped."""
    try:
        service, hops, requester, next_candidate = _FORWARD.unpack_from(body)
        offset = _FORWARD.size
        length = body[offset]
        offset += 1
        ip = unpack_ip(body[offset : offset + length])
        offset += length
        (port,) = _PORT.unpack_from(body, offset)
    except (struct.error, ValueError, IndexError):
        return Err(EnvelopeFault.MALFORMED)
    data = body[offset + _PORT.size :]
    return Ok(
        Forwarded(service, ip, port, hops, data, requester, next_candidate)
    )


@attrs.frozen
class LookupResult:
    """A datagram that is returned with the endpoint of its flow.

    Attributes:
        endpoint: `endpoint_id` of the endpoint.
        caller_moved: Whether the flow was found by connection ID rather than
            by the caller's address.
        forwarded: The datagram.
    """

    endpoint: int
    caller_moved: bool
    forwarded: Forwarded


def pack_lookup_result(found: LookupResult) -> bytes:
    """Returns the body of a LOOKUP_RESULT envelope."""
    fixed = _FOUND.pack(found.endpoint, found.caller_moved)
    return fixed + pack_forwarded(found.forwarded)


def unpack_lookup_result(body: bytes) -> Result[LookupResult, EnvelopeFault]:
    """Returns the content of a LOOKUP_RESULT, or why it is dropped."""
    if len(body) < _FOUND.size:
        return Err(EnvelopeFault.MALFORMED)
    endpoint, caller_moved = _FOUND.unpack_from(body)
    forwarded = unpack_forwarded(body[_FOUND.size :])
    return forwarded.map(
        lambda each: LookupResult(endpoint, bool(caller_moved), each)
    )


@attrs.frozen
class ConnectionId:
    """A connection ID and the endpoint that chose it.

    Attributes:
        service_port: The port that the caller sends to.
        cid: The first eight bytes of the connection ID, as an integer.
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
    """Returns the entries of a body, or why the body is dropped."""
    if len(body) % _CONNECTION_ID.size:
        return Err(EnvelopeFault.MALFORMED)
    return Ok(
        [ConnectionId(*fields) for fields in _CONNECTION_ID.iter_unpack(body)]
    )
