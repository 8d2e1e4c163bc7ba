"""Callers' datagrams whose content the oracle can read back.

Each packet carries its session, a number of its own and the request that it
holds, in clear text behind an ordinary QUIC header.
"""

import hashlib
import json
import re

import attrs

from pollenmast.callers import read_packet

_PACKET = re.compile(rb"pk:([^;]*);(\d+);([^;]*);")
_INITIAL_BYTES = 1200
_INITIAL = 0xC0
_EARLY = 0xD0
_HANDSHAKE = 0xE0
_LONG = 0x80
_SHORT = b"\x41"
_NO_ID = bytes(8)


@attrs.frozen
class Sent:
    """One packet of a caller.

    Attributes:
        session: The caller's session.
        number: Its number within the session; none is used twice.
        request: The request that it carries, empty for none.
    """

    session: str
    number: int
    request: str = ""

    @property
    def text(self) -> bytes:
        """What stands in the datagram."""
        return f"pk:{self.session};{self.number};{self.request};".encode()


def _long(first: int, sent: Sent, length: int, token: bytes = b"") -> bytes:
    cid = sent.session.encode().ljust(8, b"-")[:8]
    head = bytes([first, 0, 0, 0, 1, 8]) + cid + b"\x08" + cid + token
    length = max(length - len(head) - 2, len(sent.text) + 20)
    size = (0x4000 | length).to_bytes(2, "big")
    return head + size + sent.text.ljust(length)


def early_data(sent: Sent) -> bytes:
    """Returns a 0-RTT packet with a request."""
    return _long(_EARLY, sent, 100)


def initial(sent: Sent, early: Sent | None = None) -> bytes:
    """Returns an Initial, with 0-RTT behind it if given."""
    behind = early_data(early) if early else b""
    return _long(_INITIAL, sent, _INITIAL_BYTES, b"\0") + behind


def handshake(sent: Sent) -> bytes:
    """Returns a caller's later packet of the handshake."""
    return _long(_HANDSHAKE, sent, 80)


def short(sent: Sent, connection_id: bytes = _NO_ID) -> bytes:
    """Returns a packet of a session in progress."""
    return _SHORT + connection_id + sent.text.ljust(50, b"\1")


def first_answer(sent: Sent, connection_id: bytes) -> bytes:
    """Returns an upstream's Initial, which names its connection id."""
    cid = sent.session.encode().ljust(8, b"-")[:8]
    head = b"\xc0\x00\x00\x00\x01\x08" + cid + b"\x08" + connection_id
    payload = sent.text.ljust(100)
    size = (0x4000 | len(payload)).to_bytes(2, "big")
    return head + b"\0" + size + payload


def connection_id(session: str, upstream: tuple[str, int]) -> bytes:
    """Returns the connection id that an upstream chooses."""
    chosen = f"{session}|{upstream[0]}".encode()
    return hashlib.blake2b(chosen, digest_size=8).digest()


def told_session(data: bytes) -> str:
    """Returns the session that a relay's own Initial is meant for."""
    return read_packet(data).unwrap().destination_cid.decode().rstrip("-")


def read(data: bytes) -> list[Sent]:
    """Returns every packet that can still be read from a datagram."""
    return [
        Sent(session.decode(), int(number), request.decode())
        for session, number, request in _PACKET.findall(data)
    ]


def opens(data: bytes) -> bool:
    """Returns whether an upstream would open a session for it."""
    return data[0] & 0xF0 == _INITIAL and len(data) >= _INITIAL_BYTES


def is_long(data: bytes) -> bool:
    """Returns whether the datagram begins with a long header."""
    return bool(data[0] & _LONG)


@attrs.frozen
class Service:
    """One service of the fleet under proof."""

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
    """What operators intend; made into a manifest's text.

    Attributes:
        version: The version to publish next.
        ports: Each service's port towards callers.
        draining: Names of the endpoints that drain.
        gone: Names of the endpoints that were taken out.
        endpoints: Endpoints of each service.
        port_since: The version with which a service got another's port.
        tells_ports: Whether manifests say so; not every pipeline does.
    """

    version: int = 1
    ports: dict[int, int] = attrs.field(
        factory=lambda: {each.number: 4000 + each.number for each in SERVICES}
    )
    draining: set[str] = attrs.field(factory=set)
    gone: set[str] = attrs.field(factory=set)
    endpoints: int = 3
    port_since: dict[int, int] = attrs.field(factory=dict)
    tells_ports: bool = True

    def text(self) -> bytes:
        """Returns the manifest."""
        services = [self._service(each) for each in SERVICES]
        return json.dumps(
            {"version": self.version, "services": services}
        ).encode()

    def _since(self, service: Service) -> int:
        return self.port_since.get(service.number, 0) * self.tells_ports

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
        """Returns the names of a service's endpoints, gone ones included."""
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
