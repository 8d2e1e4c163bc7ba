"""Placement decisions under load, evaluated by the results of callers.

Each load pattern runs with the baseline (random placement, no limits), with all
mechanisms on, and once with each relevant mechanism off. All runs of a pattern
use the same seed and so the same callers.
"""

import contextlib
import random

from bench import _load_measures as measures
from bench._load_baseline import RandomDispatcher
from bench._load_callers import ENDPOINTS, VMS, ZONES, manifest
from bench._load_model import Fleet
from bench._load_patterns import PATTERNS, Pattern
from bench._load_sizes import run_sizes
from bench._load_switches import SWITCHES
from pollenmast.decisions import Dispatcher
from pollenmast.manifest import ServiceKind

NAME = "overload"
DESCRIPTION = "Decisions under load: what callers receive, and imbalance."

SEED = 20

DRAIN_S = 5.0
"""Seconds after the last request in which open requests may finish."""


_IMBALANCES = (("placed", measures.placed_in), ("used", measures.used_in))


def run_pattern(pattern: Pattern, make=Dispatcher, seed: int = SEED) -> Fleet:
    """Runs a pattern and returns the simulated fleet for evaluation."""
    kind = ServiceKind.SESSION if pattern.sessions else ServiceKind.REQUEST
    dispatchers = [
        make(ZONES[vm % len(ZONES)], random.Random(seed * 1000 + vm))
        for vm in range(VMS)
    ]
    fleet = Fleet(manifest(kind=kind), dispatchers, seed, pattern.sessions)
    pattern.setup(fleet)
    fleet.loop.run(pattern.end + DRAIN_S)
    return fleet


def measure(pattern: Pattern, fleet: Fleet) -> dict:
    """Returns the figures of a run."""
    jobs = [job for job in fleet.jobs if pattern.is_judged(job)]
    names = list(pattern.names)
    begin, end = pattern.begin, pattern.end
    figures = measures.received(jobs, begin, end)
    if pattern.sessions:
        # The length of a session does not depend on the decisions.
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
    for kind, values in _IMBALANCES:
        ratios = measures.imbalance(fleet, names, begin, end, values)
        figures |= {f"{kind}_{key}": value for key, value in ratios.items()}
    if pattern.change_at is not None:
        figures |= _recovery_figures(pattern, fleet, names)
    return figures


def _recovery_figures(pattern: Pattern, fleet: Fleet, names: list[str]) -> dict:
    values = measures.used_in if pattern.sessions else measures.placed_in
    gone = set(fleet.upstreams) - set(names)
    last = [fleet.upstreams[n].placed[-1] - pattern.change_at for n in gone]
    return {
        "to_even_s": measures.time_to_balance(
            fleet, names, pattern.change_at, pattern.end, values
        ),
        "last_new_work_s": round(max(last), 2) if last else "",
        "newcomer_share": _new_endpoint_share(pattern, fleet, names),
    }


def _new_endpoint_share(pattern: Pattern, fleet: Fleet, names: list[str]):
    """Returns the new endpoint's arrivals over an equal share, first 5 s."""
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
            yield f"no {switch.name}", Dispatcher, switch.disabled


def run() -> dict:
    """Runs all variants of all patterns, and all fleet sizes."""
    results = {pattern.name: _run_variants(pattern) for pattern in PATTERNS}
    return {**results, "sizes": run_sizes()}


def _run_variants(pattern: Pattern) -> list[dict]:
    rows = []
    for name, make, off in _variants(pattern):
        with off():
            fleet = run_pattern(pattern, make)
        rows.append({"variant": name, **measure(pattern, fleet)})
    return rows


_COLUMNS = (
    "variant",
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
    "goodput",
    "placed_whole",
    "placed_window_median",
    "used_whole",
    "used_window_median",
    "off_default",
    "to_even_s",
    "last_new_work_s",
    "newcomer_share",
)


def markdown(results: dict) -> str:
    """Returns the results as Markdown tables, one for each pattern."""
    meanings = {pattern.name: pattern.meaning for pattern in PATTERNS}
    parts = []
    for name, rows in results.items():
        meaning = meanings.get(name, "other fleets and services")
        parts.append(f"### {name}: {meaning}\n\n{_table(rows)}\n")
    return "\n".join(parts)


def _table(rows: list[dict]) -> str:
    known = list(dict.fromkeys(key for row in rows for key in row))
    columns = [key for key in _COLUMNS if key in known]
    columns = columns if "variant" in known else known
    used = [
        key
        for key in columns
        if any(row.get(key, "") not in ("", None) for row in rows)
    ]
    lines = ["| " + " | ".join(used) + " |", "|" + " --- |" * len(used)]
    for row in rows:
        cells = [_cell(row.get(key, "")) for key in used]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: object) -> str:
    return "never" if value is None else str(value)


if __name__ == "__main__":
    print(markdown(run()))
