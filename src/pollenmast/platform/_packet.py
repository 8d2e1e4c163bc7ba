"""The platform's packet format: a header of 32 bytes and the flow's data."""

import re
import socket
import struct

from result import Err, Ok, Result

from pollenmast.counters import DropReason
from pollenmast.entry import PacketFormat
from pollenmast.platform._fields import FieldError
from pollenmast.platform._identity import identify
from pollenmast.steering import (
    Endpoint,
    EndpointIdentity,
    FlowKey,
    Reset,
    Segment,
)

_HEADER = struct.Struct(">IIH4sH4sIIHBB")
"""Header layout.

The fields are: checksum, token (`echo` in the platform's documentation), source
port and address, destination port and address, sequence number, acknowledgement
number, data length, flags, padding.
"""

_TOKEN_SLICE = slice(4, 8)
_MAX_DATA_BYTES = 1200
_REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([!-~]{1,80})\r\n")
_SYN, _ACK, _FIN, _RST, _BOUNCED = 16, 8, 64, 4, 32


class PlatformPackets(PacketFormat):
    """Decodes packets of clients; encodes packets for endpoints and clients."""

    def __init__(self, client_port: int):
        """Initialises the format.

        Args:
            client_port: The UDP port on which every client receives packets.
        """
        self._client_port = client_port

    def decode(self, datagram: bytes) -> Result[Segment, DropReason]:
        """Decodes a client's packet, or returns why it is dropped."""
        if len(datagram) < _HEADER.size:
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
        ) = _HEADER.unpack_from(datagram)
        if length != len(datagram) - _HEADER.size or length > _MAX_DATA_BYTES:
            return Err(DropReason.MALFORMED)
        syn = bool(flags & _SYN)
        # Only endpoints send SYN and ACK together, in response to a SYN; a
        # packet with both from a client is forged.
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
                # In a SYN this field holds the number of earlier copies.
                syn_copies=acknowledged if syn else 0,
                length=length,
                datagram=datagram,
            )
        )

    def identify(self, name: str) -> EndpointIdentity | None:
        """Returns what identifies an endpoint in packets, if it is an id."""
        try:
            return identify(name)
        except FieldError:
            return None

    def encode_for_endpoint(
        self, segment: Segment, endpoint: Endpoint
    ) -> bytes:
        """Returns the datagram that carries a segment to its endpoint."""
        packet = segment.datagram
        token = endpoint.token.to_bytes(4, "big")
        return b"".join(
            (
                endpoint.number.to_bytes(8, "big"),
                packet[: _TOKEN_SLICE.start],
                token,
                packet[_TOKEN_SLICE.stop :],
            )
        )

    def encode_reset(self, reset: Reset) -> tuple[bytes, tuple[str, int]]:
        """Returns the reset packet and the address to send it to."""
        flow = reset.flow
        packet = _HEADER.pack(
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
        """Returns the X-Request-ID in a segment's data, or an empty string."""
        found = _REQUEST_ID.search(segment.datagram, _HEADER.size)
        return found.group(1).decode("latin-1") if found else ""
