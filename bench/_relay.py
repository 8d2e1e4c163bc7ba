"""Builds relay cores with a manifest and a fleet for benchmarks."""

import json
import random

from pollenmast.fleet import Vm
from pollenmast.peers import _messages as messages
from pollenmast.relay._core import RelayCore
from pollenmast.relay._table import Transport
from pollenmast.settings import (
    FleetSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
    VmSettings,
)
from standins.memory import reports_of

KEY = bytes(range(32))
SERVICE = 1
SERVICE_PORT = 4001
_ZONES = ("a", "b", "c")


def settings(
    name: str = "vm-1", address: str = "127.0.11.1", **relay
) -> Settings:
    """Returns the settings of one VM."""
    return Settings(
        vm=VmSettings(name, "a", address),
        fleet=FleetSettings(key=KEY),
        platform=PlatformSettings("127.0.13.1", 8001),
        relay=RelaySettings(**relay),
    )


def manifest(
    endpoints: int,
    address: str = "127.0.12.1",
    first_port: int = 20001,
    kind: str = "session",
) -> bytes:
    """Returns the text of a manifest with one service.

    Args:
        endpoints: Number of endpoints.
        address: IP address of the endpoints.
        first_port: Port of the first endpoint.
        kind: Kind of the service.
    """
    return json.dumps(
        {
            "version": 1,
            "services": [
                {
                    "name": "registry",
                    "number": SERVICE,
                    "port": SERVICE_PORT,
                    "kind": kind,
                    "idempotent": False,
                    "endpoints": [
                        {
                            "name": f"registry-{n}",
                            "address": address,
                            "port": first_port + n,
                            "load_port": 6001,
                            "zone": _ZONES[n % len(_ZONES)],
                        }
                        for n in range(endpoints)
                    ],
                }
            ],
        }
    ).encode()


def vm(number: int) -> Vm:
    """Returns the VM with a number."""
    return Vm(
        name=f"vm-{number}",
        zone=_ZONES[(number - 1) % len(_ZONES)],
        address=f"127.0.11.{number}",
        relay_port=7001,
        gossip_port=7003,
        fetch_port=7004,
    )


def view(text: bytes, vms: int = 1) -> messages.FleetView:
    """Returns the agent's view with a manifest and a number of VMs."""
    members = tuple(vm(number) for number in range(1, vms + 1))
    reports = reports_of(text)
    return messages.FleetView(1, text, 1, "", members, reports, wake_seen=1)


def core(
    transport: Transport, text: bytes, now: float, vms: int = 1
) -> RelayCore:
    """Returns a relay core that has applied the view."""
    relay = RelayCore(settings(), transport, random.Random(1), now)
    relay.on_view(view(text, vms), now)
    return relay
