"""Helpers shared by benchmarks that run a whole fleet of processes."""

import pathlib
import tempfile
import time
from collections.abc import Awaitable, Callable

import anyio
import attrs

from standins import fleet
from standins.world import Outcome, World

RAMP_S = 15.0


def run_in_world(
    vms: int,
    script: Callable[[World], Awaitable[dict]],
    overrides: dict[str, dict[str, str]] | None = None,
) -> dict:
    """Runs a script against a fleet and returns its result.

    Args:
        vms: Number of VMs.
        script: Receives the running fleet and returns the measured figures.
        overrides: Settings to change, by section and key.
    """

    async def main() -> dict:
        with tempfile.TemporaryDirectory(prefix="pollenmast-") as folder:
            world = World(pathlib.Path(folder), overrides=overrides)
            async with world.running(vms):
                return await script(world)

    return anyio.run(main)


async def open_sessions(
    world: World, programs: int, count: int, rate: float, **options
) -> None:
    """Opens `count` registry sessions in each of `programs` caller programs."""
    for number in range(programs):
        world.start_callers(
            f"publishers-{number}",
            "session",
            fleet.REGISTRY,
            count=count,
            rate=rate,
            ramp_s=RAMP_S,
            seed=number + 1,
            **options,
        )
    await anyio.sleep(RAMP_S + 2.0)


def summary(outcome: Outcome) -> dict:
    """Returns the figures of an outcome as table cells."""
    promised = outcome.ledger.promised
    return attrs.asdict(promised)


def max_alert_delay_after(outcome: Outcome, at: float) -> float:
    """Returns the greatest alert delay of any session after `at`, in s."""
    stalls = [
        stall.lateness_s
        for result in outcome.results
        for flow in result.flows
        for stall in flow.stalls
        if stall.at >= at
    ]
    return max(stalls, default=0.0)


def now() -> float:
    """Returns the time of the clock that callers' records use."""
    return time.monotonic()
