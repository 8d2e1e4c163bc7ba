"""`python -m soak.fleet`: relays and agents as processes, with faults.

Every VM stays on the platform's list, so the fabric goes on handing it its
share of all datagrams, whatever becomes of its programs. What may never happen
is judged over the whole run. In the end all is mended but for one program of
one VM, and every new flow is answered.
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
from soak._programs import Fault, Kind, lasting, schedule
from standins import _ledger, _processes, _records, fleet
from standins.world import Outcome, World, WorldError

SESSIONS = 20
IMAGES_PER_S = 15.0
DEADLINE_S = 10.0
WATCHED_S = 6.0
LOST_SHARE = 0.1
STOP_WITHIN_S = 20.0
EXIT_CUT = 3
"""Exit code after a second signal, as docs/OPERATIONS.md has it."""

_SETTINGS = {"relay": {"drain_quiet_s": "3", "grace_s": "10"}}
_LOST = (_records.Fate.BROKEN, _records.Fate.UNOPENED)
_ANSWERED = (
    _records.Outcome.ANSWERED,
    _records.Outcome.REFUSED,
    _records.Outcome.SHED,
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@attrs.define
class Result:
    """What a run has shown.

    Attributes:
        faults: How many faults came, the lasting one left out.
        flows: Flows opened in the end.
        answered: Requests answered in the whole run.
        broken: Broken promises in words.
    """

    faults: int
    flows: int = 0
    answered: int = 0
    broken: list[str] = attrs.field(factory=list)


class _Run:
    """A fleet, its faults, and what is found broken."""

    def __init__(self, world: World, faults: list[Fault], last: Kind, vms: int):
        self.result = Result(len(faults))
        self._world = world
        self._faults = faults
        self._last = last
        self._vms = vms
        self._touched: set[_processes.Process] = set()
        self._stops: collections.Counter[int] = collections.Counter()

    async def play(self) -> None:
        """Plays the faults, mends everything, and judges."""
        self._world.start_usual_callers(SESSIONS, IMAGES_PER_S, DEADLINE_S)
        self._world.mark_loss()
        async with anyio.create_task_group() as tasks:
            for fault in self._faults:
                tasks.start_soon(self._bring, fault)
        await self._mend()
        calm_from = anyio.current_time() + _ledger.DETECT_S
        self._hit(self._world.vms[1], self._last)
        await anyio.sleep(_ledger.DETECT_S)
        await self._watch()
        outcome = await self._world.end_callers()
        self._judge(outcome, calm_from)

    async def _bring(self, fault: Fault) -> None:
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
                await around.fabric_fault(loss=LOST_SHARE)
                await anyio.sleep(fault.for_s)
                await around.fabric_fault()
            case _:
                await self._spoil(fault)

    async def _publish(self, fault: Fault) -> None:
        names = [place.name for place in self._world.places]
        draining = frozenset({names[int(fault.draw * len(names))]})
        await self._world.publish(draining, wait=False)

    async def _spoil(self, fault: Fault) -> None:
        vm = self._world.vms[1 + int(fault.draw * self._vms)]
        if fault.kind in _programs.STOPS:
            await self._stop(vm, _programs.PROGRAMS[fault.kind])
        else:
            self._hit(vm, fault.kind)
        await anyio.sleep(fault.for_s)
        self._heal(vm)

    def _hit(self, vm: fleet.Vm, kind: Kind) -> None:
        frozen = kind in _programs.FREEZES
        for program in _programs.PROGRAMS[kind]:
            process = vm.programs[program]
            self._touched.add(process)
            process.signal(signal.SIGSTOP if frozen else signal.SIGKILL)

    async def _watch(self) -> None:
        """Watches the VM without its relay, if that is what lasts."""
        unread = await self._world.unread(1, WATCHED_S)
        without_relay = "relay" in _programs.PROGRAMS[self._last]
        if without_relay and unread.passed_on < unread.handed:
            self.result.broken.append(f"packets went unread: {unread}")

    async def _stop(self, vm: fleet.Vm, programs: tuple[str, ...]) -> None:
        """Stops programs in order; they end with 0 unless something else came.

        A relay waits for the relays that take its flows over, so a stop
        beside other faults may be cut off by its grace, but ends.
        """
        stopped = [vm.programs[program] for program in programs]
        for process in stopped:
            self._stops[process.pid] += 1
            process.signal(signal.SIGTERM)
        for process in stopped:
            ended = await process.ended(STOP_WITHIN_S)
            if not ended and process not in self._touched:
                self.result.broken.append(f"{process.name} did not end")
            # One that another fault froze must end all the same: whoever
            # mends starts only what has ended.
            process.signal(signal.SIGKILL)
            await process.ended(STOP_WITHIN_S)

    def _heal(self, vm: fleet.Vm) -> None:
        for program, process in list(vm.programs.items()):
            process.signal(signal.SIGCONT)
            if process.exit_code is not None:
                vm.start_program(program)

    async def _mend(self) -> None:
        await self._world.around.platform_fault("ok")
        await self._world.around.fabric_fault()
        for number, vm in self._world.vms.items():
            self._heal(vm)
            try:
                await self._world.until_ready(number)
            except WorldError as error:
                self.result.broken.append(str(error))

    def _judge(self, outcome: Outcome, calm_from: float) -> None:
        ledger = outcome.ledger
        for part in (ledger.promised, ledger.after_loss):
            self.result.answered += part.answered
            if part.never_excused():
                self.result.broken.append(f"never excused: {part}")
        for result in outcome.results:
            for flow in result.flows:
                self._judge_flow(flow, calm_from)
            for request in result.requests:
                self._judge_request(request, calm_from)
        for process in self._world.processes.failed:
            # A second signal cuts a stop short, as it is meant to.
            cut = self._stops[process.pid] > 1 and process.exit_code == EXIT_CUT
            if not cut:
                self.result.broken.append(
                    f"{process.name} ended with {process.exit_code}"
                )

    def _judge_flow(self, flow: _records.FlowRecord, calm_from: float) -> None:
        if flow.opened < calm_from:
            return
        self.result.flows += 1
        if flow.fate in _LOST:
            self.result.broken.append(f"lost {flow}")

    def _judge_request(
        self, request: _records.RequestRecord, calm_from: float
    ) -> None:
        late = request.flow_opened >= calm_from
        if late and request.outcome not in _ANSWERED:
            self.result.broken.append(f"lost {request}")


def play(seed: int, folder: pathlib.Path, vms: int, seconds: float) -> Result:
    """Plays one run; its logs and the fabric's trace stay in the folder."""

    async def main() -> Result:
        world = World(folder, overrides=_SETTINGS, traced=True)
        run = _Run(world, schedule(seed, seconds), lasting(seed), vms)
        async with world.running(vms):
            await run.play()
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
    bad = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="pollenmast-soak-") as name:
            folder = pathlib.Path(name)
            result = play(seed, folder, vms, seconds)
            if result.broken and keep is not None:
                shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
        bad += bool(result.broken)
        _tell(seed, seconds, result)
    print(f"{seeds} runs, {bad} with a broken promise")
    raise typer.Exit(1 if bad else 0)


def _tell(seed: int, seconds: float, result: Result) -> None:
    print(
        f"seed {seed}: {result.faults} faults, {result.answered} answered,"
        f" {result.flows} flows in the end, with {lasting(seed).name}",
        flush=True,
    )
    for each in result.broken:
        print(f"  broken: {each}", flush=True)
    if result.broken:
        for fault in schedule(seed, seconds):
            print(f"    {fault.at:6.2f} s {fault}", flush=True)


if __name__ == "__main__":
    app()
