"""The demo: a small fleet under real requests, while things change.

Its last line of output is one JSON object. It exits with 0 when nothing that
is promised was broken, with 1 otherwise.
"""

import argparse
import json
import pathlib
import signal
import sys
import tempfile
import time

import anyio
import attrs

from standins import _ledger, _processes, _records, _summary, fleet

MOST_S = 56.0
"""The whole demo stays under a minute."""

SESSIONS = 120
SUBMISSIONS_A_SECOND = 0.2
VISITORS = 20
VISITOR_SUBMISSIONS_A_SECOND = 1.0
VISIT_S = 2.0
"""Short sessions, so that there is new work to be kept off the leaving."""

IMAGES_A_SECOND = 20.0
PAUSE_S = 3.0
"""Between two changes, so that what each does can be told apart."""

INTERRUPTED = 130
"""The exit code that shells expect after a keyboard interrupt."""

GRACE_S = 15.0
SETTINGS = {"relay": {"grace_s": "8"}}
"""A leaving relay passes on late answers while their callers still use its
path; they send at least each 2 s here, so 8 s are ample."""

IN_FORCE_WITHIN_S = 5.0
PROGRESS_EVERY_S = 2.0
SHOWN_COUNTERS = ("drops", "fallbacks", "refusals", "repaths", "retries")
LAST_WORDS = 3
"""Lines of error output shown of each process when the demo fails."""


class DemoError(Exception):
    """Something did not come up, or did not end; says what."""


class Demo:
    """One run."""

    def __init__(self, folder: pathlib.Path):
        self._processes = _processes.Processes(folder)
        self._reservation = fleet.Reservation()
        self._addresses = self._reservation.addresses
        self._around = fleet.Surroundings(self._processes, self._addresses)
        self._folder = folder
        self._began = time.monotonic()
        self._places = fleet.upstreams(addresses=self._addresses)
        self._vms: dict[int, fleet.Vm] = {}
        self._callers: list[_processes.Process] = []
        self._notes: dict[str, object] = {}
        self._problems: list[str] = []
        self._loss: _ledger.Loss | None = None

    @property
    def processes(self) -> _processes.Processes:
        """All processes started."""
        return self._processes

    async def run(self) -> dict:
        """Runs the demo and returns its summary."""
        await self._start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._show_progress)
            await self._change()
            results = await self._end_callers()
            tasks.cancel_scope.cancel()
        return await self._summary(results)

    def say(self, text: str) -> None:
        """Prints one line of progress."""
        elapsed_s = time.monotonic() - self._began
        print(f"{elapsed_s:5.1f} s  {text}", flush=True)

    def say_what_failed(self) -> None:
        """Prints the last words of processes that ended by a fault."""
        for process in self._processes.failed:
            words = process.err.read_text().strip().splitlines()
            for line in words[-LAST_WORDS:]:
                self.say(f"{process.name} ({process.exit_code}): {line}")

    def problem(self, text: str) -> None:
        """Notes what went wrong; the run goes on and ends with a fault."""
        self._problems.append(text)
        self.say(f"PROBLEM: {text}")

    @property
    def problems(self) -> list[str]:
        """What went wrong besides requests and flows."""
        return self._problems

    async def _start(self) -> None:
        self.say("starting platform, fabric and 10 upstreams")
        # The registry's last endpoint comes with a later manifest.
        if not await self._around.start(self._places):
            raise DemoError("a stand-in did not become ready")
        await self._around.publish(fleet.manifest(1, self._first_places()))
        numbers = (1, 2, 3)
        await self._list(numbers, at_once=True)
        self.say("starting 3 VMs in 3 availability zones")
        for number in numbers:
            self._start_vm(number)
        for number in numbers:
            await self._until_ready(number)
        self.say("VMs ready; starting callers")
        self._start_callers()
        await anyio.sleep(2 * PAUSE_S)

    def _first_places(self) -> list[fleet.Upstream]:
        return [each for each in self._places if each.name != "registry-7"]

    def _start_vm(self, number: int) -> None:
        place = self._vm_place(number)
        seeds = [self._vm_place(each) for each in (1, 2, 3)]
        settings = fleet.write_settings(
            place, self._folder, seeds, SETTINGS, self._addresses
        )
        self._vms[number] = fleet.Vm(place, self._processes, settings)
        self._vms[number].start()

    def _vm_place(self, number: int) -> fleet.VmPlace:
        return fleet.vm_place(number, addresses=self._addresses)

    async def _until_ready(self, number: int) -> None:
        vm = self._vms[number]
        with anyio.move_on_after(fleet.READY_WITHIN_S):
            while not await vm.is_ready():
                await anyio.sleep(0.05)
            return
        raise DemoError(f"{vm.place.name} did not become ready")

    def _start_callers(self) -> None:
        start = self._around.start_callers
        for number in (1, 2):
            publishers = start(
                f"publishers-{number}",
                "session",
                fleet.REGISTRY,
                local=self._addresses.caller(number),
                count=SESSIONS // 2,
                rate=SUBMISSIONS_A_SECOND,
                ramp_s=PAUSE_S,
                seed=number,
            )
            self._callers.append(publishers)
        visitors = start(
            "visitors",
            "session",
            fleet.REGISTRY,
            local=self._addresses.caller(4),
            count=VISITORS,
            rate=VISITOR_SUBMISSIONS_A_SECOND,
            lifetime_s=VISIT_S,
            ramp_s=VISIT_S,
        )
        self._callers.append(visitors)
        images = start(
            "images",
            "image",
            fleet.BARCODES,
            local=self._addresses.caller(3),
            rate=IMAGES_A_SECOND,
        )
        self._callers.append(images)

    async def _change(self) -> None:
        await self._publish_changes()
        self.say("registry-2 drains on its own")
        await self._around.drain("registry-2")
        await anyio.sleep(PAUSE_S)
        await self._replace(1, 4)
        await self._cut_platform()
        await self._kill(2, others=(3, 4))

    async def _publish_changes(self) -> None:
        draining = frozenset({"registry-3"})
        self.say("publishing manifest 2: registry-3 drains")
        await self._publish(2, self._first_places(), draining)
        await anyio.sleep(PAUSE_S)
        self.say("publishing manifest 3: registry-7 comes")
        await self._publish(3, self._places, draining)
        await anyio.sleep(PAUSE_S)

    async def _publish(self, version: int, places, draining) -> None:
        await self._around.publish(fleet.manifest(version, places, draining))
        await self._until_in_force(version)

    async def _until_in_force(self, version: int) -> None:
        began = time.monotonic()
        waiting = [vm for vm in self._vms.values() if vm.live]
        with anyio.move_on_after(IN_FORCE_WITHIN_S):
            while waiting:
                status = await waiting[0].status()
                if status.get("manifest", {}).get("version") == version:
                    waiting.pop(0)
                else:
                    await anyio.sleep(0.02)
        took_s = time.monotonic() - began
        if waiting:
            names = [vm.place.name for vm in waiting]
            self.problem(f"manifest {version} not in force on {names}")
            return
        self.say(f"manifest {version} in force on all VMs after {took_s:.2f} s")

    async def _replace(self, old: int, new: int) -> None:
        self.say(f"replacing vm-{old} by vm-{new}")
        self._start_vm(new)
        await self._until_ready(new)
        others = [each for each in self._vms if each not in (old, new)]
        await self._list([*others, old, new], leaving=old)
        vm = self._vms[old]
        vm.signal(signal.SIGTERM)
        await vm.ended(GRACE_S)
        codes = vm.exit_codes
        self._notes["replaced_exit_codes"] = codes
        if set(codes.values()) == {0}:
            self.say(f"vm-{old} ended with {codes}")
        else:
            self.problem(f"vm-{old}'s exit codes are {codes}")
        await self._list([*others, new])
        await anyio.sleep(PAUSE_S)

    async def _cut_platform(self) -> None:
        self.say("cutting off the platform")
        await self._around.platform_fault("down")
        await anyio.sleep(PAUSE_S)
        self.say("platform back, with manifest 4: registry-3 leaves no flow")
        await self._around.platform_fault("ok")
        await self._publish(4, self._places, frozenset({"registry-3"}))

    async def _kill(self, number: int, others) -> None:
        vm = self._vms[number]
        self._loss = _ledger.Loss(time.monotonic())
        vm.signal(signal.SIGKILL)
        self.say(f"killed vm-{number}, relay and agent")
        await anyio.sleep(1.0)
        await self._list(others)
        await anyio.sleep(2 * PAUSE_S)

    async def _list(self, numbers, leaving: int = 0, at_once=False) -> None:
        entries = [
            self._vm_place(each).entry("leaving" if each == leaving else "live")
            for each in numbers
        ]
        await self._around.list_vms(entries, at_once)

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_EVERY_S)
            loads = [
                each["load"]
                for each in (await self._around.executions()).values()
            ]
            open_now = sum(load["connections"] for load in loads)
            finished = sum(load["finished"] for load in loads)
            self.say(f"  {open_now} connections open, {finished} requests run")

    async def _show_counters(self) -> None:
        for vm in self._vms.values():
            counters = (await vm.status()).get("counters", [])
            shown = [
                f"{each['name']}/{each['reason']} {each['value']}"
                for each in counters
                if each["name"] in SHOWN_COUNTERS and each["value"]
            ]
            if shown:
                self.say(f"{vm.place.name}: {', '.join(shown)}")

    async def _end_callers(self) -> list[_records.Results]:
        self.say("ending the callers")
        for process in self._callers:
            process.signal(signal.SIGTERM)
        results = []
        for process in self._callers:
            if not await process.ended(GRACE_S):
                self.problem(f"{process.name} did not end")
                continue
            text = process.out.read_text()
            results.append(_records.from_json(json.loads(text)))
        return results

    async def _summary(self, results: list[_records.Results]) -> dict:
        await self._show_counters()
        for line in _summary.failures(results, self._began):
            self.say(line)
        counted = await self._around.executions()
        for line in _summary.late_connections(counted):
            self.problem(line)
        executions = _ledger.Executions(counted)
        ledger = _ledger.join(results, executions, self._loss)
        calls = await self._around.calls()
        return {
            **_summary.feeds(results, self._loss),
            "platform_calls": calls["calls"],
            **self._notes,
            "problems": self._problems,
            "after_kill": attrs.asdict(ledger.after_loss),
            **attrs.asdict(ledger.promised),
        }


async def _run_in(folder: pathlib.Path) -> int:
    demo = Demo(folder)
    summary: dict = {}
    try:
        with anyio.fail_after(MOST_S):
            summary = await demo.run()
    except* DemoError as group:
        demo.problem(str(group.exceptions[0]))
    except* TimeoutError:
        demo.problem("out of time")
    finally:
        await demo.processes.stop()
    for process in demo.processes.running:
        demo.problem(f"{process.name} is still running")
    if demo.problems:
        demo.say_what_failed()
    else:
        demo.say("all processes have ended")
    summary["problems"] = demo.problems
    print(json.dumps(summary), flush=True)
    return _summary.verdict(summary)


async def _run(keep: str | None) -> int:
    if keep:
        folder = pathlib.Path(keep)
        folder.mkdir(parents=True, exist_ok=True)
        return await _run_in(folder)
    with tempfile.TemporaryDirectory(prefix="pollenmast-demo-") as folder:
        return await _run_in(pathlib.Path(folder))


def main() -> None:
    """Runs the demo."""
    parser = argparse.ArgumentParser(prog="standins.demo")
    parser.add_argument("--keep", help="folder that keeps settings and logs")
    keep = parser.parse_args().keep
    try:
        sys.exit(anyio.run(_run, keep, backend="asyncio"))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)


if __name__ == "__main__":
    main()
