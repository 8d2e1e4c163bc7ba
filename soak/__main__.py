"""Command line of the soak: runs seeds and prints invariant violations."""

import random
import time

import typer

from soak._schedule import schedule
from soak._world import Plan, run_plan

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    seeds: int = typer.Option(1, help="How many seeds to play."),
    first: int = typer.Option(1, help="The first of them."),
    minutes: float = typer.Option(0.0, help="Play fresh seeds for so long."),
    vms: int = typer.Option(6, help="VMs of a run."),
    seconds: float = typer.Option(22.0, help="Length of a run."),
    without: str = typer.Option(
        "", help="Play without one protection: see soak/without.py."
    ),
) -> None:
    """Plays runs with faults; ends with 1 if a promise was broken."""
    module = ("soak.without", without) if without else ("pollenmast.platform",)
    deadline = time.monotonic() + 60.0 * minutes
    seed, completed, failed_runs = first, 0, 0
    while time.monotonic() < deadline if minutes else completed < seeds:
        if minutes:
            seed = random.SystemRandom().randrange(1 << 31)
        result = run_plan(Plan(seed, seconds, vms, module=module))
        summary = f"{result.answered} of {result.requests} answered"
        print(f"seed {seed}: {result.faults} faults, {summary}", flush=True)
        for each in result.broken:
            print(f"  broken: {each}", flush=True)
        if result.broken:
            failed_runs += 1
            for fault in schedule(seed, seconds):
                print(f"    {fault.at:6.2f} s {fault.kind.value} {fault}")
        seed, completed = seed + 1, completed + 1
    print(f"{completed} runs, {failed_runs} with a broken promise")
    raise typer.Exit(1 if failed_runs else 0)


if __name__ == "__main__":
    app()
