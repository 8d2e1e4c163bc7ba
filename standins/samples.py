"""Sample manifest, VMs and settings of a small fleet."""

import json

import attrs

from pollenmast.fleet import EndpointReport, Vm
from pollenmast.settings import (
    FleetSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
    VmSettings,
)

KEY = bytes(range(32))
ZONES = ("zone-a", "zone-b", "zone-c")
REGISTRY = 1
BARCODES = 2


def manifest(
    version: int = 1,
    draining: tuple[str, ...] = (),
    gone: tuple[str, ...] = (),
    endpoints: int = 3,
) -> bytes:
    """Returns the text of a manifest with a registry and barcodes."""
    services = []
    for number, name, kind in (
        (REGISTRY, "registry", "session"),
        (BARCODES, "barcodes", "request"),
    ):
        names = [f"{name}-{n}" for n in range(endpoints)]
        services.append(
            {
                "name": name,
                "number": number,
                "port": 4000 + number,
                "kind": kind,
                "idempotent": number == BARCODES,
                "endpoints": [
                    {
                        "name": each,
                        "address": f"127.0.2.{10 * number + n}",
                        "port": 5001,
                        "load_port": 6001,
                        "zone": ZONES[n % len(ZONES)],
                        "state": "draining" if each in draining else "serving",
                    }
                    for n, each in enumerate(names)
                    if each not in gone
                ],
            }
        )
    return json.dumps({"version": version, "services": services}).encode()


def vm(number: int, **changes) -> Vm:
    """Returns the VM with this number."""
    made = Vm(
        name=f"vm-{number}",
        zone=ZONES[number % len(ZONES)],
        address=f"127.0.1.{number}",
        relay_port=7001,
        gossip_port=7003,
        fetch_port=7004,
    )
    return attrs.evolve(made, **changes)


def settings(number: int, **relay) -> Settings:
    """Returns the settings of the VM with this number."""
    place = vm(number)
    return Settings(
        vm=VmSettings(place.name, place.zone, place.address),
        fleet=FleetSettings(key=KEY),
        platform=PlatformSettings("127.0.3.1", 8001),
        relay=RelaySettings(**relay),
    )


def reports_of(text: bytes) -> tuple[EndpointReport, ...]:
    """Returns a healthy report for every endpoint of a manifest."""
    return tuple(
        EndpointReport(
            service=service["number"],
            endpoint=endpoint["name"],
            sequence=1,
            healthy=True,
            uptime_s=500.0,
        )
        for service in json.loads(text)["services"]
        for endpoint in service["endpoints"]
    )
