"""Decisions under load, judged by what callers receive.

Each load pattern runs with the baseline (random placement, no limits), with
everything on, and once with each mechanism off that answers it. Every run of
one pattern has the same seed, so the same callers ask.
"""

import contextlib
import random

from bench import _load_measures as measures
from bench._load_baseline import RandomDispatcher
from bench._load_model import Fleet
from bench._load_patterns import (
    ENDPOINTS,
    PATTERNS,
    VMS,
    ZONES,
    Pattern,
    manifest,
)
from bench._load_sizes import run_sizes
from bench._load_sizes import table as sizes_table
from bench._load_switches import SWITCHES
from pollenmast.decisions import Dispatcher
from pollenmast.manifest import ServiceKind

NAME = "overload"
DESCRIPTION = "Decisions under load: what callers receive, and imbalance."

SEED = 20

SETTLE_S = 5.0
"""Time after the last request in which the open ones may end."""


def run_pattern(pattern: Pattern, make=Dispatcher, seed: int = SEED) -> Fleet:
    """Runs one pattern and returns the fleet for measuring."""
    kind = ServiceKind.SESSION if pattern.sessions else ServiceKind.REQUEST
    dispatchers = [
        make(ZONES[vm % len(ZONES)], random.Random(seed * 1000 + vm))
        for vm in range(VMS)
    ]
    fleet = Fleet(manifest(kind=kind), dispatchers, seed, pattern.sessions)
    pattern.setup(fleet)
    fleet.loop.run(pattern.end + SETTLE_S)
    return fleet


def measure(pattern: Pattern, fleet: Fleet) -> dict:
    """Returns a run's figures."""
    jobs = [job for job in fleet.jobs if pattern.belongs(job)]
    names = list(pattern.names)
    begin, end = pattern.begin, pattern.end
    figures = measures.received(jobs, begin, end)
    if pattern.sessions:
        # Sessions last; how long says nothing of the decisions.
        figures["open"] = figures.pop("unanswered")
        figures |= dict.fromkeys(("median_ms", "p99_ms", "p999_ms"), "")
    figures |= measures.refusals(fleet)
    figures["retries"] = fleet.retries
    figures["off_default"] = round(
        fleet.off_default / max(len(fleet.jobs), 1), 3
    )
    if pattern.capacity:
        figures["goodput"] = measures.goodput(
            fleet, begin, end, pattern.capacity
        )
    figures["placed"] = measures.imbalance(fleet, names, begin, end)
    figures["used"] = measures.imbalance(
        fleet, names, begin, end, measures.used_in
    )
    if pattern.change_at is not None:
        figures |= _change(pattern, fleet, names)
    return figures


def _change(pattern: Pattern, fleet: Fleet, names: list[str]) -> dict:
    values = measures.used_in if pattern.sessions else measures.placed_in
    gone = set(fleet.upstreams) - set(names)
    last = [fleet.upstreams[n].placed[-1] - pattern.change_at for n in gone]
    return {
        "to_even_s": measures.time_to_even(
            fleet, names, pattern.change_at, pattern.end, values
        ),
        "last_new_work_s": round(max(last), 2) if last else "",
        "newcomer_share": _newcomer_share(pattern, fleet, names),
    }


def _newcomer_share(pattern: Pattern, fleet: Fleet, names: list[str]):
    """Returns the newest endpoint's part of an equal share, first 5 s."""
    if len(names) <= ENDPOINTS:
        return ""
    window = (pattern.change_at, pattern.change_at + 5.0)
    placed = measures.placed_in(fleet, names, window)
    return round(placed[-1] * len(placed) / sum(placed), 2)


def _variants(pattern: Pattern):
    yield "baseline", RandomDispatcher, contextlib.nullcontext
    yield "all on", Dispatcher, contextlib.nullcontext
    for switch in SWITCHES:
        if pattern.name in switch.patterns:
            yield f"no {switch.name}", Dispatcher, switch.off


def run() -> dict:
    """Runs every pattern in every variant, and every size of fleet."""
    return {"patterns": run_patterns(), "sizes": run_sizes()}


def run_patterns() -> dict:
    """Runs every pattern in every variant."""
    results = {}
    for pattern in PATTERNS:
        rows = {}
        for name, make, off in _variants(pattern):
            with off():
                rows[name] = measure(pattern, run_pattern(pattern, make))
        results[pattern.name] = {"meaning": pattern.meaning, "variants": rows}
    return results


_COLUMNS = (
    "asked",
    "answered",
    "late",
    "refused",
    "shed",
    "unanswered",
    "open",
    "median_ms",
    "p99_ms",
    "p999_ms",
    "at_once",
    "told_p99_ms",
    "retries",
)


def table(results: dict) -> str:
    """Returns the patterns' results as a Markdown table."""
    heads = (
        "pattern",
        "variant",
        *_COLUMNS,
        "goodput",
        "placed whole/window",
        "in use whole/window",
        "off_default",
        "to_even_s",
        "last_new_work_s",
        "newcomer_share",
    )
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    for pattern, result in results.items():
        for variant, row in result["variants"].items():
            lines.append(_line(pattern, variant, row))
    return "\n".join(lines)


def _line(pattern: str, variant: str, row: dict) -> str:
    cells = [pattern, variant]
    cells += [row.get(key, "") for key in _COLUMNS]
    cells.append(row.get("goodput", ""))
    for kind in ("placed", "used"):
        cells.append(f"{row[kind]['whole']}/{row[kind]['window_median']}")
    cells.append(row["off_default"])
    for key in ("to_even_s", "last_new_work_s", "newcomer_share"):
        cells.append(row.get(key, ""))
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


if __name__ == "__main__":
    everything = run()
    print(table(everything["patterns"]))
    print()
    print(sizes_table(everything["sizes"]))
