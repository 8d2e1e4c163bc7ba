"""QUIC datagrams whose content the oracle can read back.

Each packet carries its session, a unique number and its request in clear text
behind an ordinary QUIC header.
"""

import hashlib
import json
import re

import attrs

from pollenmast.callers import parse_packet

_PACKET = re.compile(rb"pk:([^;]*);(\d+);([^;]*);")
_INITIAL_BYTES = 1200
_INITIAL = 0xC0
_EARLY = 0xD0
_HANDSHAKE = 0xE0
_LONG = 0x80
_SHORT = b"\x41"
_NO_ID = bytes(8)


@attrs.frozen
class PacketContent:
    """One packet of a caller.

    Attributes:
        session: The caller's session.
        number: Unique number within the session.
        request: The request that it carries; empty for none.
    """

    session: str
    number: int
    request: str = ""

    @property
    def text(self) -> bytes:
        """The packet's content as it is written into the datagram."""
        return f"pk:{self.session};{self.number};{self.request};".encode()


def _long(
    first: int, sent: PacketContent, length: int, token: bytes = b""
) -> bytes:
    cid = sent.session.encode().ljust(8, b"-")[:8]
    head = bytes([first, 0, 0, 0, 1, 8]) + cid + b"\x08" + cid + token
    length = max(length - len(head) - 2, len(sent.text) + 20)
    size = (0x4000 | length).to_bytes(2, "big")
    return head + size + sent.text.ljust(length)


def early_data(sent: PacketContent) -> bytes:
    """Returns a 0-RTT packet with a request."""
    return _long(_EARLY, sent, 100)


def initial(sent: PacketContent, early: PacketContent | None = None) -> bytes:
    """Returns an Initial, followed by a 0-RTT packet if one is given."""
    behind = early_data(early) if early else b""
    return _long(_INITIAL, sent, _INITIAL_BYTES, b"\0") + behind


def handshake(sent: PacketContent) -> bytes:
    """Returns a caller's Handshake packet."""
    return _long(_HANDSHAKE, sent, 80)


def short(sent: PacketContent, connection_id: bytes = _NO_ID) -> bytes:
    """Returns a short-header packet of an established session."""
    return _SHORT + connection_id + sent.text.ljust(50, b"\1")


def first_answer(sent: PacketContent, connection_id: bytes) -> bytes:
    """Returns an upstream's Initial, which carries its connection id."""
    cid = sent.session.encode().ljust(8, b"-")[:8]
    head = b"\xc0\x00\x00\x00\x01\x08" + cid + b"\x08" + connection_id
    payload = sent.text.ljust(100)
    size = (0x4000 | len(payload)).to_bytes(2, "big")
    return head + b"\0" + size + payload


def connection_id(session: str, upstream: tuple[str, int]) -> bytes:
    """Returns the connection id that an upstream chooses."""
    chosen = f"{session}|{upstream[0]}".encode()
    return hashlib.blake2b(chosen, digest_size=8).digest()


def refused_session(data: bytes) -> str:
    """Returns the session that a relay's refusal is addressed to."""
    return parse_packet(data).unwrap().destination_cid.decode().rstrip("-")


def read(data: bytes) -> list[PacketContent]:
    """Returns every packet of a datagram that is still readable."""
    return [
        PacketContent(session.decode(), int(number), request.decode())
        for session, number, request in _PACKET.findall(data)
    ]


def opens(data: bytes) -> bool:
    """Returns whether an upstream would open a session for a datagram."""
    return data[0] & 0xF0 == _INITIAL and len(data) >= _INITIAL_BYTES


def is_long(data: bytes) -> bool:
    """Returns whether the datagram begins with a long header."""
    return bool(data[0] & _LONG)


@attrs.frozen
class Service:
    """One service of the simulated fleet."""

    number: int
    name: str
    kind: str
    idempotent: bool


REGISTRY = Service(1, "registry", "session", False)
BARCODES = Service(2, "barcodes", "request", True)
CELLVAKT = Service(3, "cellvakt", "session", False)
SERVICES = (REGISTRY, BARCODES, CELLVAKT)
ZONES = ("zone-a", "zone-b", "zone-c")


@attrs.define
class Plan:
    """Configuration that operators intend, written out as a manifest.

    Attributes:
        version: The version to publish next.
        ports: The port of each service, by service number.
        draining: Names of the endpoints that drain.
        gone: Names of the endpoints that were removed.
        endpoints: Number of endpoints of each service.
        port_since: The version in which a service took over another's port,
            by service number.
        includes_port_since: Whether manifests contain `port_since`; not every
            pipeline writes it.
    """

    version: int = 1
    ports: dict[int, int] = attrs.field(
        factory=lambda: {each.number: 4000 + each.number for each in SERVICES}
    )
    draining: set[str] = attrs.field(factory=set)
    gone: set[str] = attrs.field(factory=set)
    endpoints: int = 3
    port_since: dict[int, int] = attrs.field(factory=dict)
    includes_port_since: bool = True

    def text(self) -> bytes:
        """Returns the manifest as JSON."""
        services = [self._service(each) for each in SERVICES]
        return json.dumps(
            {"version": self.version, "services": services}
        ).encode()

    def _since(self, service: Service) -> int:
        return self.port_since.get(service.number, 0) * self.includes_port_since

    def _service(self, service: Service) -> dict:
        return {
            "name": service.name,
            "number": service.number,
            "port": self.ports[service.number],
            "port_since": self._since(service),
            "kind": service.kind,
            "idempotent": service.idempotent,
            "endpoints": [
                {
                    "name": name,
                    "address": address_of(name)[0],
                    "port": address_of(name)[1],
                    "load_port": 6001,
                    "zone": zone_of(name),
                    "state": "draining" if name in self.draining else "serving",
                }
                for name in self.names(service)
                if name not in self.gone
            ],
        }

    def names(self, service: Service) -> list[str]:
        """Returns the names of a service's endpoints, also removed ones."""
        return [f"{service.name}-{n}" for n in range(self.endpoints)]


def address_of(endpoint: str) -> tuple[str, int]:
    """Returns the address of the endpoint with this name."""
    name, index = endpoint.rsplit("-", 1)
    number = next(each.number for each in SERVICES if each.name == name)
    return (f"127.0.2.{10 * number + int(index)}", 5001)


def zone_of(endpoint: str) -> str:
    """Returns the availability zone of the endpoint with this name."""
    return ZONES[int(endpoint.rsplit("-", 1)[1]) % len(ZONES)]


def service_at(address: tuple[str, int]) -> int:
    """Returns the number of the service that an address belongs to."""
    return int(address[0].rsplit(".", 1)[1]) // 10


def endpoint_at(address: tuple[str, int]) -> str:
    """Returns the name of the endpoint with this address."""
    number, index = divmod(int(address[0].rsplit(".", 1)[1]), 10)
    name = next(each.name for each in SERVICES if each.number == number)
    return f"{name}-{index}"
