"""Locations of a fleet's endpoints and VMs, its manifest and settings files.

The sizes are those of Ramcharan: three availability zones, a registry with
seven endpoints and a barcode service with three, and 2 slots and 2,000
connections per endpoint.
"""

import configparser
import json
import pathlib
import secrets

import attrs

from standins._addresses import FIRST_BLOCK, Addresses

ZONES = ("pos-frederick", "pos-woodbrook", "pos-laventille")
PLATFORM_PORT = 8001
QUIC_PORT = 5001
LOAD_PORT = 6001
PEER_PORT = 7001
GOSSIP_PORT = 7003
FETCH_PORT = 7004


@attrs.frozen
class Upstream:
    """Name, service and location of one upstream endpoint."""

    name: str
    service: str
    address: str
    zone: str

    def entry(self, state: str) -> dict:
        """Returns the endpoint's entry in a manifest."""
        return {
            "name": self.name,
            "address": self.address,
            "port": QUIC_PORT,
            "load_port": LOAD_PORT,
            "zone": self.zone,
            "slots": 2,
            "connections": 2000,
            "state": state,
        }


@attrs.frozen
class ServiceSize:
    """A service of the brief.

    Attributes:
        name: The service's name.
        number: The service's number in the manifest.
        port: The UDP port that callers use.
        kind: `session` or `request`.
        idempotent: Whether a request may run twice.
        endpoints: The number of endpoints.
    """

    name: str
    number: int
    port: int
    kind: str
    idempotent: bool
    endpoints: int


REGISTRY = ServiceSize("registry", 1, 4001, "session", False, 7)
BARCODES = ServiceSize("barcodes", 2, 4002, "request", True, 3)
SERVICES = (REGISTRY, BARCODES)


def upstreams(
    services: tuple[ServiceSize, ...] = SERVICES,
    zones: tuple[str, ...] = ZONES,
    addresses: Addresses = FIRST_BLOCK,
) -> list[Upstream]:
    """Returns all endpoints, distributed over the zones."""
    places = []
    for service in services:
        for number in range(service.endpoints):
            places.append(
                Upstream(
                    f"{service.name}-{number + 1}",
                    service.name,
                    addresses.upstream(len(places) + 1),
                    zones[number % len(zones)],
                )
            )
    return places


def manifest(
    version: int,
    places: list[Upstream],
    draining: frozenset[str] = frozenset(),
    services: tuple[ServiceSize, ...] = SERVICES,
) -> bytes:
    """Returns the text of a manifest with these endpoints."""
    return json.dumps(
        {
            "version": version,
            "services": [
                {
                    "name": service.name,
                    "number": service.number,
                    "port": service.port,
                    "kind": service.kind,
                    "idempotent": service.idempotent,
                    "endpoints": [
                        place.entry(
                            "draining" if place.name in draining else "serving"
                        )
                        for place in places
                        if place.service == service.name
                    ],
                }
                for service in services
            ],
        }
    ).encode()


@attrs.frozen
class VmPlace:
    """Name and location of one entry VM."""

    name: str
    zone: str
    address: str

    def entry(self, state: str = "live") -> dict:
        """Returns the VM's entry in the platform's list."""
        return {
            "name": self.name,
            "zone": self.zone,
            "address": self.address,
            "relay_port": PEER_PORT,
            "gossip_port": GOSSIP_PORT,
            "fetch_port": FETCH_PORT,
            "state": state,
        }


def vm_place(
    number: int,
    zones: tuple[str, ...] = ZONES,
    addresses: Addresses = FIRST_BLOCK,
) -> VmPlace:
    """Returns the location of a VM, numbered from 1."""
    zone = zones[(number - 1) % len(zones)]
    return VmPlace(f"vm-{number}", zone, addresses.vm(number))


def write_settings(
    place: VmPlace,
    folder: pathlib.Path,
    seeds: list[VmPlace],
    overrides: dict[str, dict[str, str]] | None = None,
    addresses: Addresses = FIRST_BLOCK,
) -> pathlib.Path:
    """Writes a VM's settings file, and the fleet key unless it exists.

    Returns:
        The path of the settings file.
    """
    key = folder / "fleet.key"
    if not key.exists():
        key.write_text(secrets.token_hex(32))
        key.chmod(0o600)
    settings = configparser.ConfigParser()
    settings["vm"] = {
        "name": place.name,
        "availability_zone": place.zone,
        "address": place.address,
    }
    settings["fleet"] = {"key_file": str(key)}
    if seeds:
        settings["fleet"]["seeds"] = ", ".join(
            f"{seed.address}:{GOSSIP_PORT}" for seed in seeds
        )
    settings["platform"] = {
        "address": addresses.platform,
        "port": str(PLATFORM_PORT),
    }
    for section, values in (overrides or {}).items():
        if not settings.has_section(section):
            settings.add_section(section)
        settings[section].update(values)
    path = folder / f"{place.name}.ini"
    with path.open("w") as file:
        settings.write(file)
    return path
