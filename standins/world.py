"""Runs a fleet with all stand-ins, and the operations applied to it."""

import contextlib
import json
import pathlib
import signal
import time

import anyio
import attrs

from standins import _ledger, _processes, _records, fleet

READY_TIMEOUT_S = 60.0
"""Time-out for a VM or manifest, in seconds; ample for slow machines."""

CALLERS_EXIT_TIMEOUT_S = 60.0
"""Time-out for a callers program to exit after SIGTERM, in seconds."""

ON_THE_WAY_S = 0.5
"""Seconds to wait for datagrams in flight.

Longer than a datagram takes from the fabric to the relay that owns its flow.
"""

POLL_S = 0.02
"""Polling interval while waiting for a condition, in seconds."""


class WorldError(Exception):
    """Raised when a process does not become ready or does not exit."""


@attrs.frozen
class Outcome:
    """The results of one run.

    Attributes:
        ledger: Tallies of flows and requests, with those affected by an
            unplanned loss counted separately.
        results: The records of each callers program.
        executions: The counters of each upstream, by name.
    """

    ledger: _ledger.Ledger
    results: list[_records.Results]
    executions: dict[str, dict]


@attrs.frozen
class UnreadCounts:
    """Datagram counts of a VM whose relay reads none.

    Attributes:
        handed: Datagrams that the fabric sent to the VM.
        passed_on: Datagrams that the VM's agent forwarded.
    """

    handed: int
    passed_on: int


class World:
    """Runs platform, fabric, upstreams, VMs and callers as processes."""

    def __init__(
        self,
        folder: pathlib.Path,
        services: tuple[fleet.ServiceSize, ...] = fleet.SERVICES,
        overrides: dict[str, dict[str, str]] | None = None,
        traced: bool = False,
    ):
        """Reserves addresses without starting any process.

        Args:
            folder: Directory for settings and logs.
            services: The services and their sizes.
            overrides: VM settings to override, by section and key.
            traced: Whether the fabric traces each datagram to `fabric.trace`
                in the folder.
        """
        self.trace = folder / "fabric.trace" if traced else None
        self.processes = _processes.Processes(folder)
        self._reservation = fleet.Reservation()
        self.addresses = self._reservation.addresses
        self.around = fleet.StandIns(self.processes, self.addresses)
        self.places = fleet.upstreams(services, addresses=self.addresses)
        self.vms: dict[int, fleet.Vm] = {}
        self.loss: _ledger.Loss | None = None
        self._folder = folder
        self._services = services
        self._overrides = overrides
        self._callers: list[_processes.Process] = []
        self._version = 0

    async def start(self, vms: int) -> None:
        """Starts all processes except callers and waits until VMs are ready.

        Args:
            vms: Number of VMs to start.

        Raises:
            WorldError: A stand-in or VM did not become ready in time.
        """
        if not await self.around.start(self.places, trace=self.trace):
            raise WorldError("a stand-in did not become ready")
        await self.publish(wait=False)
        numbers = list(range(1, vms + 1))
        await self.list_vms(numbers, at_once=True)
        for number in numbers:
            self.start_vm(number)
        for number in numbers:
            await self.until_ready(number)

    def place(self, number: int) -> fleet.VmPlace:
        """Returns the name, zone and address of the VM with this number."""
        return fleet.vm_place(number, addresses=self.addresses)

    def start_vm(self, number: int) -> None:
        """Starts the relay and the agent of a VM."""
        place = self.place(number)
        seeds = [self.place(each) for each in (1, 2, 3)]
        settings = fleet.write_settings(
            place, self._folder, seeds, self._overrides, self.addresses
        )
        self.vms[number] = fleet.Vm(place, self.processes, settings)
        self.vms[number].start()

    async def until_ready(self, number: int) -> None:
        """Waits until a VM accepts flows.

        Raises:
            WorldError: The VM did not become ready in time.
        """
        with anyio.move_on_after(READY_TIMEOUT_S):
            while not await self.vms[number].is_ready():
                await anyio.sleep(POLL_S)
            return
        raise WorldError(f"vm-{number} did not become ready")

    def start_callers(
        self, name: str, kind: str, service: fleet.ServiceSize, **options
    ) -> None:
        """Starts a callers program with its own source address."""
        local = self.addresses.caller(len(self._callers) + 1)
        self._callers.append(
            self.around.start_callers(
                name, kind, service, local=local, **options
            )
        )

    def start_usual_callers(
        self,
        sessions: int,
        images_per_s: float,
        deadline_s: float,
        ramp_s: float = 1.0,
    ) -> None:
        """Starts registry sessions and barcode image requests."""
        self.start_callers(
            "publishers",
            "session",
            fleet.REGISTRY,
            count=sessions,
            rate=0.5,
            ramp_s=ramp_s,
            deadline_s=deadline_s,
        )
        self.start_callers(
            "images",
            "image",
            fleet.BARCODES,
            rate=images_per_s,
            deadline_s=deadline_s,
        )

    async def list_vms(
        self, numbers: list[int], leaving: int = 0, at_once: bool = False
    ) -> None:
        """Sets the platform's VM list.

        Args:
            numbers: The VMs to list.
            leaving: The VM to list as leaving; 0 for none.
            at_once: Whether readers see the list without the usual lag.
        """
        entries = [
            self.place(each).entry("leaving" if each == leaving else "live")
            for each in numbers
        ]
        await self.around.list_vms(entries, at_once)

    async def publish(
        self,
        draining: frozenset[str] = frozenset(),
        gone: frozenset[str] = frozenset(),
        wait: bool = True,
    ) -> float:
        """Publishes the next manifest version.

        Args:
            draining: Names of endpoints to mark as draining.
            gone: Names of endpoints to leave out.
            wait: Whether to wait until every VM has applied the manifest.

        Returns:
            The time that this took, in seconds.

        Raises:
            WorldError: A VM did not apply the manifest in time.
        """
        self._version += 1
        places = [each for each in self.places if each.name not in gone]
        text = fleet.manifest(self._version, places, draining, self._services)
        began = time.monotonic()
        await self.around.publish(text)
        if wait:
            await self._until_in_force(self._version)
        return time.monotonic() - began

    async def _until_in_force(self, version: int) -> None:
        waiting = [vm for vm in self.vms.values() if vm.live]
        with anyio.move_on_after(READY_TIMEOUT_S):
            while waiting:
                status = await waiting[0].status()
                if status.get("manifest", {}).get("version") == version:
                    waiting.pop(0)
                else:
                    await anyio.sleep(POLL_S)
        if waiting:
            names = [vm.place.name for vm in waiting]
            raise WorldError(f"manifest {version} not in force on {names}")

    async def replace(self, old: int, new: int, within_s: float) -> float:
        """Replaces a VM gracefully.

        Args:
            old: Number of the VM to stop.
            new: Number of the VM to start first.
            within_s: Time-out for the old VM to exit, in seconds.

        Returns:
            The time that the old VM took to stop, in seconds.

        Raises:
            WorldError: The old VM did not exit with code 0.
        """
        self.start_vm(new)
        await self.until_ready(new)
        others = [number for number in self.vms if number not in (old, new)]
        await self.list_vms([*others, old, new], leaving=old)
        vm = self.vms.pop(old)
        began = time.monotonic()
        vm.signal(signal.SIGTERM)
        await vm.ended(within_s)
        if set(vm.exit_codes.values()) != {0}:
            raise WorldError(f"vm-{old} ended with {vm.exit_codes}")
        await self.list_vms([*others, new])
        return time.monotonic() - began

    async def unread(self, number: int, watched_s: float) -> UnreadCounts:
        """Counts datagrams sent to a VM and those that its agent forwards.

        Waits for datagrams in flight before the last count of forwards, so
        that none that was sent within the period is missed.

        Args:
            number: The VM.
            watched_s: Length of the period, in seconds.
        """
        passed_on = await self._count_passed_on(number)
        handed = await self._count_handed(number)
        await anyio.sleep(watched_s)
        handed = await self._count_handed(number) - handed
        await anyio.sleep(ON_THE_WAY_S)
        return UnreadCounts(
            handed, await self._count_passed_on(number) - passed_on
        )

    async def _count_passed_on(self, number: int) -> int:
        status = await self.vms[number].status()
        return sum(
            each["value"]
            for each in status.get("counters", ())
            if each["program"] == "agent"
            and (each["name"], each["reason"]) == ("forwards", "standby")
        )

    async def _count_handed(self, number: int) -> int:
        counts = await self.around.fabric_counts()
        return counts.get(f"to {self.place(number).address}", 0)

    def mark_loss(self) -> None:
        """Records the current time as the start of an unplanned loss."""
        self.loss = _ledger.Loss(time.monotonic())

    async def kill(self, number: int, listed_after_s: float = 1.0) -> None:
        """Kills a VM, and removes it from the platform's list after a delay."""
        self.mark_loss()
        self.vms.pop(number).signal(signal.SIGKILL)
        await anyio.sleep(listed_after_s)
        await self.list_vms(list(self.vms))

    async def end_callers(self) -> Outcome:
        """Stops the callers and joins their records with upstream counters.

        Raises:
            WorldError: A callers program did not exit.
        """
        for process in self._callers:
            process.signal(signal.SIGTERM)
        results = []
        for process in self._callers:
            if not await process.ended(CALLERS_EXIT_TIMEOUT_S):
                raise WorldError(f"{process.name} did not end")
            value = json.loads(process.out.read_text())
            results.append(_records.from_json(value))
        executions = await self.around.executions()
        counted = _ledger.Executions(executions)
        ledger = _ledger.join(results, counted, self.loss)
        return Outcome(ledger, results, executions)

    @contextlib.asynccontextmanager
    async def running(self, vms: int):
        """Starts the fleet on entry and stops all of its processes on exit."""
        try:
            await self.start(vms)
            yield self
        finally:
            await self.processes.stop()
