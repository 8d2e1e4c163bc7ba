"""Command line: the long randomized search, and the run of all mutations.

`python -m tests.proof search --first 1 --seeds 60 --minutes 10 --jobs 6`
`python -m tests.proof teeth`
"""

import argparse
import multiprocessing
import sys
import time

import attrs
import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import run_state_machine_as_test

from tests.proof._agents import AgentsMachine
from tests.proof._machine import FleetMachine
from tests.proof._mutations import MUTATIONS
from tests.proof._oracle import ViolationError

_MACHINES = (FleetMachine, AgentsMachine)
_CASES = 60
_STEPS = 35


@attrs.frozen
class SeedResult:
    """The result of running one seed.

    Attributes:
        machine: Name of the state machine's class.
        seed: The seed.
        seconds: Run time in seconds.
        text: Description of the failure; empty if there was none.
    """

    machine: str
    seed: int
    seconds: float
    text: str


def run_seed(task: tuple[type, int, bool]) -> SeedResult:
    """Runs one state machine with one seed.

    Args:
        task: The state machine's class, the seed, and whether to shrink a
            failing case.
    """
    machine, number, shrink = task
    began = time.monotonic()
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    options = hypothesis.settings(
        max_examples=_CASES,
        stateful_step_count=_STEPS,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    seeded = hypothesis.seed(number)(type("Seeded", (machine,), {}))
    text = ""
    try:
        run_state_machine_as_test(seeded, settings=options)
    # Any exception is a finding, not only a ViolationError.
    except Exception as error:  # noqa: BLE001
        notes = "\n".join(getattr(error, "__notes__", []))
        text = f"{type(error).__name__}: {error}\n{notes if shrink else ''}"
    took = time.monotonic() - began
    return SeedResult(machine.__name__, number, took, text.strip())


def search(first: int, seeds: int, minutes: float, jobs: int, shrink: bool):
    """Runs both state machines with many seeds until the time limit.

    Args:
        first: The first seed.
        seeds: Number of consecutive seeds.
        minutes: Time limit.
        jobs: Number of worker processes.
        shrink: Whether to shrink failing cases.

    Returns:
        The exit status: 1 if any seed failed, else 0.
    """
    until = time.monotonic() + 60.0 * minutes
    tasks = [
        (machine, number, shrink)
        for number in range(first, first + seeds)
        for machine in _MACHINES
    ]
    found: list[SeedResult] = []
    with multiprocessing.Pool(jobs) as pool:
        for each in pool.imap(run_seed, tasks):
            found.append(each)
            if each.text:
                print(f"{each.machine} seed {each.seed}: {each.text}")
            if time.monotonic() > until:
                pool.terminate()
                break
    for machine in _MACHINES:
        runs = [each for each in found if each.machine == machine.__name__]
        bad = sum(bool(each.text) for each in runs)
        took = sum(each.seconds for each in runs)
        print(
            f"{machine.__name__}: {len(runs)} seeds from {first}, "
            f"{len(runs) * _CASES} cases of up to {_STEPS} steps, "
            f"{took:.0f} s of processor, {bad} seeds with a finding"
        )
    return int(any(each.text for each in found))


def run_mutations() -> int:
    """Runs the scenario of each mutation without and with the mutation.

    Returns:
        The exit status: 1 if any mutation went undetected, else 0.
    """
    undetected = 0
    for each in MUTATIONS:
        each.scenario()
        try:
            with each.patch():
                each.scenario()
            shown = "NOT SEEN"
            undetected += 1
        except ViolationError as error:
            shown = str(error)
        print(
            f"{each.name} | {each.invariant.value} | {each.removed} | {shown}"
        )
    print(f"{len(MUTATIONS)} mutations, {undetected} not seen")
    return int(undetected > 0)


def main() -> int:
    """Runs the command given on the command line; returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.proof")
    commands = parser.add_subparsers(dest="command", required=True)
    searching = commands.add_parser("search")
    searching.add_argument("--first", type=int, default=1)
    searching.add_argument("--seeds", type=int, default=30)
    searching.add_argument("--minutes", type=float, default=10.0)
    searching.add_argument("--jobs", type=int, default=6)
    searching.add_argument("--shrink", action="store_true")
    commands.add_parser("teeth")
    arguments = parser.parse_args()
    if arguments.command == "teeth":
        return run_mutations()
    return search(
        arguments.first,
        arguments.seeds,
        arguments.minutes,
        arguments.jobs,
        arguments.shrink,
    )


if __name__ == "__main__":
    sys.exit(main())
