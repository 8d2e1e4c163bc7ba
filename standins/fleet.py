"""A small fleet in the brief's sizes: its files, and its processes.

The sizes are Ramcharan's: three availability zones, a registry of seven
endpoints and barcodes of three, 2 slots and 2,000 connections each.
"""

import configparser
import json
import pathlib
import secrets
import signal
import time

import attrs

from standins import _processes, http
from standins._addresses import FIRST_BLOCK, Addresses, Reservation

ZONES = ("pos-frederick", "pos-woodbrook", "pos-laventille")
PLATFORM_PORT = 8001
PLATFORM_ADMIN_PORT = 8101
FABRIC_ADMIN_PORT = 8102
QUIC_PORT = 5001
LOAD_PORT = 6001
ADMIN_PORT = 6101
PEER_PORT = 7001
GOSSIP_PORT = 7003
FETCH_PORT = 7004
OPERATORS_PORT = 7005
READY_WITHIN_S = 10.0

__all__ = [
    "Addresses",
    "BARCODES",
    "FIRST_BLOCK",
    "REGISTRY",
    "Reservation",
    "SERVICES",
    "ServiceSize",
    "Surroundings",
    "Upstream",
    "Vm",
    "VmPlace",
    "ZONES",
    "manifest",
    "upstreams",
    "vm_place",
    "write_settings",
]


@attrs.frozen
class Upstream:
    """Where one upstream endpoint runs."""

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
        name: Its name.
        number: Its number in the manifest.
        port: UDP port that callers use.
        kind: `session` or `request`.
        idempotent: Whether a request may run twice.
        endpoints: How many endpoints it has.
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
    """Returns all endpoints, spread over the zones."""
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
    """Returns a manifest's text with these endpoints."""
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
    """Where one entry VM runs."""

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
    """Returns the place of the VM with this number, from 1."""
    zone = zones[(number - 1) % len(zones)]
    return VmPlace(f"vm-{number}", zone, addresses.vm(number))


def write_settings(
    place: VmPlace,
    folder: pathlib.Path,
    seeds: list[VmPlace],
    overrides: dict[str, dict[str, str]] | None = None,
    addresses: Addresses = FIRST_BLOCK,
) -> pathlib.Path:
    """Writes a VM's settings file, and the fleet's key beside it."""
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


class Vm:
    """One entry VM: its relay and its agent."""

    def __init__(self, place: VmPlace, processes, settings: pathlib.Path):
        self.place = place
        self.programs: dict[str, _processes.Process] = {}
        self._processes = processes
        self._settings = settings

    def start(self) -> None:
        """Starts both programs."""
        for program in ("relay", "agent"):
            self.programs[program] = self._processes.start(
                f"{self.place.name}-{program}",
                "pollenmast",
                program,
                "--settings",
                str(self._settings),
            )

    def signal(self, number: int = signal.SIGTERM) -> None:
        """Sends a signal to both programs."""
        for process in self.programs.values():
            process.signal(number)

    async def ended(self, within_s: float) -> bool:
        """Waits for the end of both; returns whether both came."""
        until = time.monotonic() + within_s
        ends = [
            await process.ended(until - time.monotonic())
            for process in self.programs.values()
        ]
        return all(ends)

    @property
    def exit_codes(self) -> dict[str, int | None]:
        """The exit code of each program, None while it runs."""
        return {
            name: process.exit_code for name, process in self.programs.items()
        }

    @property
    def live(self) -> bool:
        """Whether both programs run."""
        return all(code is None for code in self.exit_codes.values())

    async def is_ready(self) -> bool:
        """Returns whether the VM says that it takes flows."""
        answer = await self._ask("/ready")
        return answer.status == 200

    async def status(self) -> dict:
        """Returns what the VM says of itself, empty where it is silent."""
        answer = await self._ask("/status")
        return json.loads(answer.body) if answer.status == 200 else {}

    async def _ask(self, target: str) -> http.Response:
        return await http.fetch(
            self.place.address, OPERATORS_PORT, target, timeout_s=1.0
        )


class Surroundings:
    """What stands around the VMs: platform, upstreams, fabric, callers."""

    def __init__(
        self,
        processes: _processes.Processes,
        addresses: Addresses = FIRST_BLOCK,
    ):
        self._processes = processes
        self._addresses = addresses
        self.upstreams: dict[str, Upstream] = {}

    async def start(self, places: list[Upstream], lag_s: float = 1.0) -> bool:
        """Starts all but the callers; returns whether all became ready."""
        started = [
            self._processes.start(
                "platform",
                "standins.platform",
                *("--address", self._addresses.platform),
                *("--lag", str(lag_s)),
            ),
            self._processes.start(
                "fabric",
                "standins.fabric",
                *("--address", self._addresses.fabric),
                *("--platform-address", self._addresses.platform),
            ),
            *[self.start_upstream(place) for place in places],
        ]
        ready = [await each.ready(READY_WITHIN_S) for each in started]
        return all(ready)

    def start_upstream(self, place: Upstream, *more: str):
        """Starts one upstream endpoint."""
        self.upstreams[place.name] = place
        return self._processes.start(
            place.name,
            "standins.upstream",
            "--name",
            place.name,
            "--service",
            place.service,
            "--address",
            place.address,
            *more,
        )

    def start_callers(
        self, name: str, kind: str, service: ServiceSize, **options: object
    ):
        """Starts a callers program; options are its flags."""
        flags = [
            text
            for flag, value in options.items()
            for text in (f"--{flag.replace('_', '-')}", str(value))
        ]
        return self._processes.start(
            name,
            "standins.callers",
            "--remote",
            self._addresses.fabric,
            "--kind",
            kind,
            "--name",
            name,
            "--service",
            service.name,
            "--port",
            str(service.port),
            *flags,
        )

    async def publish(self, text: bytes) -> None:
        """Publishes a manifest."""
        await http.fetch(
            self._addresses.platform,
            PLATFORM_ADMIN_PORT,
            "/publish",
            method="POST",
            body=text,
        )

    async def list_vms(self, entries: list[dict], at_once=False) -> None:
        """Sets the platform's list."""
        await self._platform("/vms", {"vms": entries, "at_once": at_once})

    async def platform_fault(self, mode: str, delay_s: float = 0.0) -> None:
        """Brings a fault of the platform, or ends it with `ok`."""
        await self._platform("/fault", {"mode": mode, "delay_s": delay_s})

    async def fabric_fault(self, **faults: object) -> None:
        """Sets the fabric's faults; without any it is whole."""
        await self._fabric("/fault", faults)

    async def forget_callers(self) -> None:
        """Has the fabric give every caller a new source port."""
        await self._fabric("/forget", {})

    async def upstream_fault(self, name: str, mode: str) -> None:
        """Brings a fault of one upstream, or ends it with `ok`."""
        address = self.upstreams[name].address
        await http.post(address, ADMIN_PORT, "/fault", {"mode": mode})

    async def drain(self, name: str) -> None:
        """Has one upstream say that it takes no new work."""
        address = self.upstreams[name].address
        await http.post(address, ADMIN_PORT, "/drain", {})

    async def executions(self) -> dict[str, dict]:
        """Returns what each upstream counted, by its name."""
        counted = {}
        for name, place in self.upstreams.items():
            answer = await http.fetch(place.address, ADMIN_PORT, "/executions")
            if answer.status == 200:
                counted[name] = json.loads(answer.body)
        return counted

    async def calls(self) -> dict:
        """Returns how often the platform was read."""
        answer = await http.fetch(
            self._addresses.platform, PLATFORM_ADMIN_PORT, "/calls"
        )
        return json.loads(answer.body)

    async def _platform(self, target: str, value: object) -> None:
        await http.post(
            self._addresses.platform, PLATFORM_ADMIN_PORT, target, value
        )

    async def _fabric(self, target: str, value: object) -> None:
        await http.post(
            self._addresses.fabric, FABRIC_ADMIN_PORT, target, value
        )
