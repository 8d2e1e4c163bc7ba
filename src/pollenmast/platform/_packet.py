"""The platform's packets: a head of 32 bytes before the data of a flow."""

import re
import socket
import struct

from result import Err, Ok, Result

from pollenmast.counters import DropReason
from pollenmast.entry import PacketFormat
from pollenmast.steering import Endpoint, FlowKey, Reset, Segment

_HEAD = struct.Struct(">IIH4sH4sIIHBB")
"""Checksum, token (`echo` on the platform's pages), source port and address,
destination port and address, sequence, acknowledged, length, flags, padding."""

_TOKEN_AT = slice(4, 8)
_MOST_DATA_BYTES = 1200
_REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([!-~]{1,80})\r\n")
_SYN, _ACK, _FIN, _RST, _BOUNCED = 16, 8, 64, 4, 32


class PlatformPackets(PacketFormat):
    """Reads clients' packets and writes those for endpoints and clients."""

    def __init__(self, client_port: int):
        """Sets the UDP port at which every client takes its packets."""
        self._client_port = client_port

    def decode(self, datagram: bytes) -> Result[Segment, DropReason]:
        """Returns what a client's packet says."""
        if len(datagram) < _HEAD.size:
            return Err(DropReason.MALFORMED)
        (
            _,
            token,
            client_port,
            client,
            service_port,
            service,
            sequence,
            acknowledged,
            length,
            flags,
            _,
        ) = _HEAD.unpack_from(datagram)
        if length != len(datagram) - _HEAD.size or length > _MOST_DATA_BYTES:
            return Err(DropReason.MALFORMED)
        syn = bool(flags & _SYN)
        # Only endpoints answer a SYN with both; a client's is forged.
        if (syn and flags & _ACK) or flags & _BOUNCED:
            return Err(DropReason.MALFORMED)
        return Ok(
            Segment(
                flow=FlowKey(
                    socket.inet_ntoa(client),
                    client_port,
                    socket.inet_ntoa(service),
                    service_port,
                ),
                syn=syn,
                fin=bool(flags & _FIN),
                rst=bool(flags & _RST),
                token=0 if syn else token,
                sequence=sequence,
                acknowledged=0 if syn else acknowledged,
                # On a SYN the field counts the copies sent before.
                syn_copies=acknowledged if syn else 0,
                length=length,
                datagram=datagram,
            )
        )

    def for_endpoint(self, segment: Segment, endpoint: Endpoint) -> bytes:
        """Returns the datagram that carries a segment to its endpoint."""
        packet = segment.datagram
        token = endpoint.token.to_bytes(4, "big")
        return b"".join(
            (
                endpoint.number.to_bytes(8, "big"),
                packet[: _TOKEN_AT.start],
                token,
                packet[_TOKEN_AT.stop :],
            )
        )

    def for_reset(self, reset: Reset) -> tuple[bytes, tuple[str, int]]:
        """Returns a reset and the address that it goes to."""
        flow = reset.flow
        packet = _HEAD.pack(
            0,
            0,
            flow.service_port,
            socket.inet_aton(flow.service_host),
            flow.client_port,
            socket.inet_aton(flow.client_host),
            reset.sequence,
            0,
            0,
            _RST,
            0,
        )
        return packet, (flow.client_host, self._client_port)

    def request_id(self, segment: Segment) -> str:
        """Returns the id of the request that a segment begins, or empty."""
        found = _REQUEST_ID.search(segment.datagram, _HEAD.size)
        return found.group(1).decode("latin-1") if found else ""
