"""The demo: a small fleet that serves requests while its configuration changes.

The last line of output is one JSON object. The exit code is 0 if every
guarantee was kept and no step failed, otherwise 1.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Awaitable

import anyio
import attrs

from standins import _summary, fleet, world

TIME_LIMIT_S = 56.0
"""Time limit in seconds, so that the whole demo stays under a minute."""

SESSIONS = 120
SUBMISSIONS_PER_S = 0.2
VISITORS = 20
VISITOR_SUBMISSIONS_PER_S = 1.0
VISIT_LIFETIME_S = 2.0
"""Lifetime of a visitor's session, in seconds.

Short, so that new sessions keep arriving that must not be sent to endpoints
and VMs that are leaving.
"""

IMAGES_PER_S = 20.0
PAUSE_S = 3.0
"""Pause between changes in seconds, to keep their effects apart."""

INTERRUPTED = 130
"""Exit code that shells expect after a keyboard interrupt."""

STOP_TIMEOUT_S = 15.0
SETTINGS = {"relay": {"grace_s": "8"}}
"""VM settings of the demo.

A leaving relay forwards late answers for as long as callers use its path.
Callers here send at least every 2 s, so a grace period of 8 s is ample.
"""

PROGRESS_INTERVAL_S = 2.0
SHOWN_COUNTERS = ("drops", "fallbacks", "refusals", "repaths", "retries")
STDERR_TAIL_LINES = 3
"""Number of last stderr lines shown per failed process."""

FIRST_VMS = (1, 2, 3)
REPLACED, REPLACEMENT, KILLED = 1, 4, 2
DRAINED_BY_MANIFEST = frozenset({"registry-3"})
SELF_DRAINED = "registry-2"
ADDED_LATER = frozenset({"registry-7"})


class Demo:
    """One run of the demo.

    Attributes:
        problems: Failures other than those of requests and flows.
    """

    def __init__(self, folder: pathlib.Path):
        self._world = world.World(folder, overrides=SETTINGS)
        self._began = time.monotonic()
        self.problems: list[str] = []
        """Failures other than those of requests and flows."""

    async def run(self) -> dict:
        """Runs the demo and returns its summary.

        Raises:
            world.WorldError: A failure after which the run cannot continue.
        """
        await self._start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._show_progress)
            await self._apply_changes()
            self.print_progress("ending the callers")
            outcome = await self._world.end_callers()
            tasks.cancel_scope.cancel()
        return await self._summary(outcome)

    async def stop(self) -> None:
        """Stops every process and reports those that are still running."""
        processes = self._world.processes
        await processes.stop()
        for process in processes.running:
            self.add_problem(f"{process.name} is still running")
        if self.problems:
            self._print_failures()
        else:
            self.print_progress("all processes have ended")

    def print_progress(self, text: str) -> None:
        """Prints one progress line with the elapsed time."""
        elapsed_s = time.monotonic() - self._began
        print(f"{elapsed_s:5.1f} s  {text}", flush=True)

    def add_problem(self, text: str) -> None:
        """Records a failure, which makes the demo exit with 1."""
        self.problems.append(text)
        self.print_progress(f"PROBLEM: {text}")

    def _print_failures(self) -> None:
        for process in self._world.processes.failed:
            words = process.err.read_text().strip().splitlines()
            for line in words[-STDERR_TAIL_LINES:]:
                self.print_progress(
                    f"{process.name} ({process.exit_code}): {line}"
                )

    async def _attempt(self, step: Awaitable[float]) -> float | None:
        """Awaits one step; on failure records the problem and returns None."""
        try:
            return await step
        except world.WorldError as error:
            self.add_problem(str(error))
            return None

    async def _start(self) -> None:
        running_world = self._world
        self.print_progress("starting platform, fabric and 10 upstreams")
        if not await running_world.around.start(running_world.places):
            raise world.WorldError("a stand-in did not become ready")
        await running_world.publish(gone=ADDED_LATER, wait=False)
        await running_world.list_vms(list(FIRST_VMS), at_once=True)
        self.print_progress("starting 3 VMs in 3 availability zones")
        for number in FIRST_VMS:
            running_world.start_vm(number)
        for number in FIRST_VMS:
            await running_world.until_ready(number)
        self.print_progress("VMs ready; starting callers")
        self._start_callers()
        await anyio.sleep(2 * PAUSE_S)

    def _start_callers(self) -> None:
        start = self._world.start_callers
        for number in (1, 2):
            start(
                f"publishers-{number}",
                "session",
                fleet.REGISTRY,
                count=SESSIONS // 2,
                rate=SUBMISSIONS_PER_S,
                ramp_s=PAUSE_S,
                seed=number,
            )
        start(
            "visitors",
            "session",
            fleet.REGISTRY,
            count=VISITORS,
            rate=VISITOR_SUBMISSIONS_PER_S,
            lifetime_s=VISIT_LIFETIME_S,
            ramp_s=VISIT_LIFETIME_S,
        )
        start("images", "image", fleet.BARCODES, rate=IMAGES_PER_S)

    async def _apply_changes(self) -> None:
        await self._publish("registry-3 drains", gone=ADDED_LATER)
        await self._publish("registry-7 comes")
        self.print_progress(f"{SELF_DRAINED} drains on its own")
        await self._world.around.drain(SELF_DRAINED)
        await anyio.sleep(PAUSE_S)
        await self._replace()
        await self._cut_platform()
        self.print_progress(f"killing vm-{KILLED}, relay and agent")
        await self._world.kill(KILLED)
        await anyio.sleep(2 * PAUSE_S)

    async def _publish(
        self, change: str, gone: frozenset[str] = frozenset()
    ) -> None:
        self.print_progress(f"publishing a manifest: {change}")
        took_s = await self._attempt(
            self._world.publish(DRAINED_BY_MANIFEST, gone)
        )
        if took_s is not None:
            self.print_progress(f"in force on all VMs after {took_s:.2f} s")
        await anyio.sleep(PAUSE_S)

    async def _replace(self) -> None:
        self.print_progress(f"replacing vm-{REPLACED} by vm-{REPLACEMENT}")
        took_s = await self._attempt(
            self._world.replace(REPLACED, REPLACEMENT, STOP_TIMEOUT_S)
        )
        if took_s is not None:
            self.print_progress(
                f"vm-{REPLACED} ended in order after {took_s:.1f} s"
            )
        await anyio.sleep(PAUSE_S)

    async def _cut_platform(self) -> None:
        self.print_progress("cutting off the platform")
        await self._world.around.platform_fault("down")
        await anyio.sleep(PAUSE_S)
        self.print_progress("platform back")
        await self._world.around.platform_fault("ok")
        await self._publish("the same endpoints under a new version")

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            counted = await self._world.around.executions()
            loads = [each["load"] for each in counted.values()]
            open_now = sum(load["connections"] for load in loads)
            finished = sum(load["finished"] for load in loads)
            self.print_progress(
                f"  {open_now} connections open, {finished} requests run"
            )

    async def _show_counters(self) -> None:
        for vm in self._world.vms.values():
            counters = (await vm.status()).get("counters", [])
            shown = [
                f"{each['name']}/{each['reason']} {each['value']}"
                for each in counters
                if each["name"] in SHOWN_COUNTERS and each["value"]
            ]
            if shown:
                self.print_progress(f"{vm.place.name}: {', '.join(shown)}")

    async def _summary(self, outcome: world.Outcome) -> dict:
        await self._show_counters()
        for line in _summary.failures(outcome.results, self._began):
            self.print_progress(line)
        for line in _summary.late_connections(outcome.executions):
            self.add_problem(line)
        calls = await self._world.around.calls()
        return {
            **_summary.feed_lateness(outcome.results, self._world.loss),
            "platform_calls": calls["calls"],
            "after_kill": attrs.asdict(outcome.ledger.after_loss),
            **attrs.asdict(outcome.ledger.promised),
        }


async def _run_in(folder: pathlib.Path) -> int:
    demo = Demo(folder)
    summary: dict = {}
    try:
        with anyio.fail_after(TIME_LIMIT_S):
            summary = await demo.run()
    except* world.WorldError as group:
        demo.add_problem(str(group.exceptions[0]))
    except* TimeoutError:
        demo.add_problem("out of time")
    finally:
        await demo.stop()
    summary = {"problems": demo.problems, **summary}
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
