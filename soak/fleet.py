"""Soak test of relays and agents: `python -m soak.fleet`.

Relays and agents run as processes, and faults are injected from outside. The
platform keeps every VM on its list, so the fabric goes on delivering a share of
all datagrams to it, whatever happens to its programs. Faults that are never
excused are checked over the whole run. At the end everything is restored except
for one program on one VM, and every new flow must be answered.
"""

import collections
import pathlib
import shutil
import signal
import tempfile

import anyio
import attrs
import typer

from soak import _programs
from soak._programs import Fault, Kind, lasting_fault, schedule
from standins import _ledger, _processes, _records, fleet
from standins.world import Outcome, World, WorldError

SESSIONS = 20
IMAGES_PER_S = 15.0
DEADLINE_S = 10.0
UNREAD_WINDOW_S = 6.0
LOSS_RATE = 0.1
STOP_TIMEOUT_S = 20.0
EXIT_ABORTED = 3
"""The exit code after a second signal, as documented in docs/OPERATIONS.md."""

_SETTINGS = {"relay": {"drain_quiet_s": "3", "grace_s": "10"}}
_LOST_FATES = (_records.Fate.BROKEN, _records.Fate.UNOPENED)
_ANSWERED_OUTCOMES = (
    _records.Outcome.ANSWERED,
    _records.Outcome.REFUSED,
    _records.Outcome.SHED,
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@attrs.define
class Result:
    """The result of a run.

    Attributes:
        faults: The number of faults, without the one left in place at the end.
        flows: The number of flows opened after everything else was restored.
        answered: The number of requests answered in the whole run.
        broken: A description of each invariant violation.
    """

    faults: int
    flows: int = 0
    answered: int = 0
    broken: list[str] = attrs.field(factory=list)


class _Run:
    """A run: its fleet, its faults and the violations found."""

    def __init__(self, world: World, faults: list[Fault], last: Kind, vms: int):
        self.result = Result(len(faults))
        self._world = world
        self._faults = faults
        self._last = last
        self._vms = vms
        self._signalled: set[_processes.Process] = set()
        self._stops: collections.Counter[int] = collections.Counter()

    async def execute(self) -> None:
        """Injects the faults, restores the fleet and checks the outcome."""
        self._world.start_usual_callers(SESSIONS, IMAGES_PER_S, DEADLINE_S)
        self._world.mark_loss()
        async with anyio.create_task_group() as tasks:
            for fault in self._faults:
                tasks.start_soon(self._apply_fault, fault)
        await self._restore_all()
        calm_from = anyio.current_time() + _ledger.DETECT_S
        self._signal_programs(self._world.vms[1], self._last)
        await anyio.sleep(_ledger.DETECT_S)
        await self._check_unread()
        outcome = await self._world.end_callers()
        self._check(outcome, calm_from)

    async def _apply_fault(self, fault: Fault) -> None:
        await anyio.sleep(fault.at)
        around = self._world.around
        match fault.kind:
            case Kind.PUBLISH:
                await self._publish(fault)
            case Kind.PLATFORM:
                await around.platform_fault("down")
                await anyio.sleep(fault.for_s)
                await around.platform_fault("ok")
            case Kind.LOSS:
                await around.fabric_fault(loss=LOSS_RATE)
                await anyio.sleep(fault.for_s)
                await around.fabric_fault()
            case _:
                await self._disrupt_vm(fault)

    async def _publish(self, fault: Fault) -> None:
        names = [place.name for place in self._world.places]
        draining = frozenset({names[int(fault.draw * len(names))]})
        await self._world.publish(draining, wait=False)

    async def _disrupt_vm(self, fault: Fault) -> None:
        vm = self._world.vms[1 + int(fault.draw * self._vms)]
        if fault.kind in _programs.STOPS:
            await self._stop(vm, _programs.PROGRAMS_BY_KIND[fault.kind])
        else:
            self._signal_programs(vm, fault.kind)
        await anyio.sleep(fault.for_s)
        self._restart_ended(vm)

    def _signal_programs(self, vm: fleet.Vm, kind: Kind) -> None:
        frozen = kind in _programs.FREEZES
        for program in _programs.PROGRAMS_BY_KIND[kind]:
            process = vm.programs[program]
            self._signalled.add(process)
            process.signal(signal.SIGSTOP if frozen else signal.SIGKILL)

    async def _check_unread(self) -> None:
        """Checks that a VM left without relay leaves no packet unread."""
        unread = await self._world.unread(1, UNREAD_WINDOW_S)
        without_relay = "relay" in _programs.PROGRAMS_BY_KIND[self._last]
        if without_relay and unread.passed_on < unread.handed:
            self.result.broken.append(f"packets went unread: {unread}")

    async def _stop(self, vm: fleet.Vm, programs: tuple[str, ...]) -> None:
        """Stops programs with SIGTERM; they exit with 0 unless disturbed.

        A relay waits for the relays that take over its flows. Together with
        other faults its grace period may cut the stop short, but it exits.
        """
        stopped = [vm.programs[program] for program in programs]
        for process in stopped:
            self._stops[process.pid] += 1
            process.signal(signal.SIGTERM)
        for process in stopped:
            ended = await process.ended(STOP_TIMEOUT_S)
            if not ended and process not in self._signalled:
                self.result.broken.append(f"{process.name} did not end")
            # A process that another fault froze must end too, because only
            # processes that have ended are restarted.
            process.signal(signal.SIGKILL)
            await process.ended(STOP_TIMEOUT_S)

    def _restart_ended(self, vm: fleet.Vm) -> None:
        for program, process in list(vm.programs.items()):
            process.signal(signal.SIGCONT)
            if process.exit_code is not None:
                vm.start_program(program)

    async def _restore_all(self) -> None:
        await self._world.around.platform_fault("ok")
        await self._world.around.fabric_fault()
        for number, vm in self._world.vms.items():
            self._restart_ended(vm)
            try:
                await self._world.until_ready(number)
            except WorldError as error:
                self.result.broken.append(str(error))

    def _check(self, outcome: Outcome, calm_from: float) -> None:
        ledger = outcome.ledger
        for part in (ledger.promised, ledger.after_loss):
            self.result.answered += part.answered
            if part.never_excused():
                self.result.broken.append(f"never excused: {part}")
        for result in outcome.results:
            for flow in result.flows:
                self._check_flow(flow, calm_from)
            for request in result.requests:
                self._check_request(request, calm_from)
        for process in self._world.processes.failed:
            # A second signal aborts an orderly stop, by design.
            cut = (
                self._stops[process.pid] > 1
                and process.exit_code == EXIT_ABORTED
            )
            if not cut:
                self.result.broken.append(
                    f"{process.name} ended with {process.exit_code}"
                )

    def _check_flow(self, flow: _records.FlowRecord, calm_from: float) -> None:
        if flow.opened < calm_from:
            return
        self.result.flows += 1
        if flow.fate in _LOST_FATES:
            self.result.broken.append(f"lost {flow}")

    def _check_request(
        self, request: _records.RequestRecord, calm_from: float
    ) -> None:
        late = request.flow_opened >= calm_from
        if late and request.outcome not in _ANSWERED_OUTCOMES:
            self.result.broken.append(f"lost {request}")


def run_seed(
    seed: int, folder: pathlib.Path, vms: int, seconds: float
) -> Result:
    """Executes one run; logs and the fabric's trace are kept in the folder."""

    async def main() -> Result:
        world = World(folder, overrides=_SETTINGS, traced=True)
        run = _Run(world, schedule(seed, seconds), lasting_fault(seed), vms)
        async with world.running(vms):
            await run.execute()
        return run.result

    return anyio.run(main)


@app.command()
def main(
    seeds: int = typer.Option(1, help="How many seeds to play."),
    first: int = typer.Option(1, help="The first of them."),
    vms: int = typer.Option(3, help="VMs of a run."),
    seconds: float = typer.Option(16.0, help="How long faults come."),
    keep: pathlib.Path = typer.Option(  # noqa: B008
        None, help="Where folders of runs with a broken promise are kept."
    ),
) -> None:
    """Plays runs with faults; ends with 1 if a promise was broken."""
    failed_runs = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="pollenmast-soak-") as name:
            folder = pathlib.Path(name)
            result = run_seed(seed, folder, vms, seconds)
            if result.broken and keep is not None:
                shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
        failed_runs += bool(result.broken)
        _print_result(seed, seconds, result)
    print(f"{seeds} runs, {failed_runs} with a broken promise")
    raise typer.Exit(1 if failed_runs else 0)


def _print_result(seed: int, seconds: float, result: Result) -> None:
    print(
        f"seed {seed}: {result.faults} faults, {result.answered} answered,"
        f" {result.flows} flows in the end, with {lasting_fault(seed).name}",
        flush=True,
    )
    for each in result.broken:
        print(f"  broken: {each}", flush=True)
    if result.broken:
        for fault in schedule(seed, seconds):
            print(f"    {fault.at:6.2f} s {fault}", flush=True)


if __name__ == "__main__":
    app()
