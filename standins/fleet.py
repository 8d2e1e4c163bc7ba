"""A small fleet of the size in the brief: its files and processes."""

import json
import pathlib
import signal
import time

from standins import _processes, http
from standins._addresses import FIRST_BLOCK, Addresses, Reservation
from standins._places import (
    BARCODES,
    REGISTRY,
    SERVICES,
    ZONES,
    ServiceSize,
    Upstream,
    VmPlace,
    manifest,
    upstreams,
    vm_place,
    write_settings,
)

PLATFORM_ADMIN_PORT = 8101
FABRIC_ADMIN_PORT = 8102
ADMIN_PORT = 6101
OPERATORS_PORT = 7005
READY_TIMEOUT_S = 10.0

__all__ = [
    "Addresses",
    "BARCODES",
    "FIRST_BLOCK",
    "REGISTRY",
    "Reservation",
    "SERVICES",
    "ServiceSize",
    "StandIns",
    "Upstream",
    "Vm",
    "VmPlace",
    "ZONES",
    "manifest",
    "upstreams",
    "vm_place",
    "write_settings",
]


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
            self.start_program(program)

    def start_program(self, program: str) -> None:
        """Starts one program, or restarts it after it has exited."""
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
        """Waits for both programs to exit; returns whether both did."""
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
        """Returns whether the VM reports that it accepts flows."""
        answer = await self._ask("/ready")
        return answer.status == 200

    async def status(self) -> dict:
        """Returns the VM's status, or an empty dict if it does not answer."""
        answer = await self._ask("/status")
        return json.loads(answer.body) if answer.status == 200 else {}

    async def _ask(self, target: str) -> http.Response:
        return await http.fetch(
            self.place.address, OPERATORS_PORT, target, timeout_s=1.0
        )


class StandIns:
    """The stand-ins around the VMs: platform, upstreams, fabric and callers."""

    def __init__(
        self,
        processes: _processes.Processes,
        addresses: Addresses = FIRST_BLOCK,
    ):
        self._processes = processes
        self._addresses = addresses
        self.upstreams: dict[str, Upstream] = {}

    async def start(
        self,
        places: list[Upstream],
        lag_s: float = 1.0,
        trace: pathlib.Path | None = None,
    ) -> bool:
        """Starts all stand-ins except callers; returns whether all are ready.

        Args:
            places: The upstreams.
            lag_s: Delay of the platform's VM list, in seconds.
            trace: File for the fabric's datagram trace; None for no trace.
        """
        traced = ("--trace", str(trace)) if trace else ()
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
                *traced,
            ),
            *[self.start_upstream(place) for place in places],
        ]
        ready = [await each.ready(READY_TIMEOUT_S) for each in started]
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
        """Starts a callers program; `options` become its flags."""
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
        """Sets the platform's VM list."""
        await self._platform("/vms", {"vms": entries, "at_once": at_once})

    async def platform_fault(self, mode: str, delay_s: float = 0.0) -> None:
        """Sets the platform's fault; `ok` clears it."""
        await self._platform("/fault", {"mode": mode, "delay_s": delay_s})

    async def fabric_fault(self, **faults: object) -> None:
        """Sets the fabric's faults; without arguments clears them."""
        await self._fabric("/fault", faults)

    async def fabric_counts(self) -> dict[str, int]:
        """Returns the fabric's datagram counters."""
        answer = await http.fetch(
            self._addresses.fabric, FABRIC_ADMIN_PORT, "/counts"
        )
        return json.loads(answer.body)

    async def forget_callers(self) -> None:
        """Makes the fabric give every caller a new source port."""
        await self._fabric("/forget", {})

    async def upstream_fault(self, name: str, mode: str) -> None:
        """Sets the fault of one upstream; `ok` clears it."""
        address = self.upstreams[name].address
        await http.post(address, ADMIN_PORT, "/fault", {"mode": mode})

    async def drain(self, name: str) -> None:
        """Makes one upstream report that it accepts no new work."""
        address = self.upstreams[name].address
        await http.post(address, ADMIN_PORT, "/drain", {})

    async def executions(self) -> dict[str, dict]:
        """Returns each upstream's counters, by its name."""
        counted = {}
        for name, place in self.upstreams.items():
            answer = await http.fetch(place.address, ADMIN_PORT, "/executions")
            if answer.status == 200:
                counted[name] = json.loads(answer.body)
        return counted

    async def calls(self) -> dict:
        """Returns the platform's counts of calls."""
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
