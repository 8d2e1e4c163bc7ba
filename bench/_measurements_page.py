"""Generates docs/MEASUREMENTS.md from the JSON results of benchmark runs."""

import json
import pathlib
from collections.abc import Callable, Iterable

import attrs

from bench import (
    _aims,
    _load_sizes,
    _plots,
    _run_note,
    loss,
    overload,
    planned_change,
)

_SLOPE_COLUMNS = ("what", "unit", "points", "intercept", "slope", "misfit")


@attrs.frozen
class Section:
    """The section of the page for one measurement.

    Attributes:
        name: Name of the measurement.
        title: Heading.
        answers: The question it answers and its method, in a few sentences.
        seeds: Random seeds of the measurement.
        tables: Formats the result as Markdown tables.
    """

    name: str
    title: str
    answers: str
    seeds: str
    tables: Callable[[dict], str]


def merge(files: Iterable[pathlib.Path]) -> dict[str, dict]:
    """Merges result files; for duplicate measurements the last file wins."""
    results: dict[str, dict] = {}
    for file in files:
        results |= json.loads(file.read_text())
    return results


def table(rows: list[dict]) -> str:
    """Returns a Markdown table of the rows."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    lines = [
        _line(column.replace("_", " ") for column in columns),
        "|" + " --- |" * len(columns),
        *(_line(_cell(row.get(key, "")) for key in columns) for row in rows),
    ]
    return "\n".join(lines)


def _line(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _cell(value: object) -> str:
    if value is None:
        return "never"
    if isinstance(value, float):
        return f"{value:,.4g}"
    return str(value).replace("|", "\\|")


def _titled(title: str, rows: list[dict]) -> str:
    return f"{title}:\n\n{table(rows)}"


def _key_values(values: dict) -> list[dict]:
    return [{"what": key, "value": value} for key, value in values.items()]


def _packet_tables(result: dict) -> str:
    return "\n\n".join(
        (
            _titled(
                "A packet with its system calls", [dict(result["per_packet"])]
            ),
            _titled("New flows and refusals", [dict(result["new_flows"])]),
            _titled("By the size of the flow table", result["table"]),
        )
    )


def _planned_tables(result: dict) -> str:
    return "\n\n".join(
        (
            _titled("Changes, with the seconds each took", result["changes"]),
            _titled(
                "What callers received over the whole run",
                [
                    {
                        "open_sessions": result["open_sessions"],
                        "open_at_end": result["open_at_end"],
                        **result["result"],
                    }
                ],
            ),
        )
    )


def _control_tables(result: dict) -> str:
    costs, kinds = [], []
    for size, row in _aims.cost_by_fleet_size(result):
        flat = dict(row)
        kinds.append({"vms": size, **flat.pop("bytes_per_s_by_kind")})
        ages = flat.pop("load_age_s")
        flat |= {f"load_age_{key}_s": value for key, value in ages.items()}
        costs.append({"vms": size, **flat})
    slopes = [
        {key: line.row()[key] for key in _SLOPE_COLUMNS}
        for line in _aims.control_slopes(result)
    ]
    return "\n\n".join(
        (
            _titled("An agent, by the size of the fleet", costs),
            _titled("Bytes a second an agent sends, by kind", kinds),
            _titled("Slopes over these sizes, for each further VM", slopes),
            _titled(
                "Changes at 9 VMs, in seconds", _key_values(_flattened(result))
            ),
        )
    )


def _overload_tables(result: dict) -> str:
    rows = _aims.variants_no_worse(result)
    title = "Where a mechanism off, or the baseline, was no worse"
    first = _titled(title, rows) if rows else f"{title}: nowhere."
    return f"{first}\n\n{overload.markdown(result)}"


def _flattened(result: dict) -> dict:
    changes = dict(result["nine"])
    changes["killed_s"] = [
        "never" if kill is None else f"{kill['first']} to {kill['last']}"
        for kill in changes["killed_s"]
    ]
    changes["single_peer_s"] = changes["single_peer_s"]["s"]
    return {
        key: ", ".join(map(str, value)) if isinstance(value, list) else value
        for key, value in changes.items()
    }


SECTIONS: tuple[Section, ...] = (
    Section(
        "packet_path",
        "Packet path",
        "What the relay spends on a packet, a new flow and a refusal, and what "
        "a held flow takes. The bare loop of `recvfrom` and `sendto` runs in "
        "the same process and turn by turn with the relay. New flows, refusals "
        "and the sizes of the table are measured without system calls.",
        "none needed",
        _packet_tables,
    ),
    Section(
        "ownership",
        "Owners of flows",
        "What finding a flow's owner costs, and how long a change of the VMs "
        "takes, beside a table of 65,536 buckets filled by rendezvous hashing "
        "(its time is taken from a sample of the buckets).",
        "none needed: names of VMs and ports are counted up",
        lambda result: table(result["sizes"]),
    ),
    Section(
        "replication",
        "Replication",
        "How many flows of a killed VM break, against the bytes that "
        "replication sends, by the age at which a flow is replicated. Nine "
        "relays run in one process without sockets; an endpoint is added "
        "halfway, so that some flows are off their default.",
        "",
        lambda result: table(result["curve"]),
    ),
    Section(
        "planned_change",
        "Planned changes",
        "Whether callers notice planned changes. Nine VMs, upstreams, fabric, "
        "platform and callers are processes of their own, with real QUIC over "
        "loopback.",
        f"a program of callers has its number as its seed, 1 to "
        f"{planned_change._PROGRAMS}",
        _planned_tables,
    ),
    Section(
        "loss",
        "Loss of a VM",
        "What callers notice when one of nine VMs is killed, with replication "
        "and without it. The set-up is that of planned changes. The latest "
        "alert is the greatest age of one that came; those of a broken flow "
        "never came.",
        f"a program of callers has its number as its seed, 1 to "
        f"{loss._PROGRAMS}",
        lambda result: table(result["kills"]),
    ),
    Section(
        "control",
        "Control",
        "What an agent spends, and how soon all VMs know of a new manifest or "
        "of a killed VM. Agents are processes of their own; relays and "
        "upstreams are small stand-ins.",
        "none: each agent draws its own",
        _control_tables,
    ),
    Section(
        "overload",
        "Decisions under load",
        "What callers receive and how even the endpoints are under each load "
        "pattern: with the baseline (random placement, no limits), with "
        "everything on, and with one mechanism off at a time. The decisions "
        "are the product's, driven by a simulated clock, so this machine's "
        "load does not enter. `goodput` is answers in time as a part of the "
        "capacity. `placed` and `used` are imbalances (greatest over mean) of "
        "the work placed and of the endpoints' fullness; the time to return "
        "is by the former, with sessions by the latter, and 0 s where the "
        "first window after the change was even already. A mechanism off is a "
        "figure or function replaced for one run; the product has no such "
        "switches.",
        f"{overload.SEED} for each pattern, {_load_sizes.SEED} for the sizes",
        _overload_tables,
    ),
)

_HEAD = """# Measurements

Written by `python -m bench measurements out/*.json` from the JSON of the runs
below; no figure on this page was typed in. Reach beyond these sizes is in
[CAPACITY-QUIC.md](CAPACITY-QUIC.md). CI judges none of these figures.

Other programs used the machine during the runs; the load average (of one
minute) before and after each run says how much. Times of the processor suffer
from it as well, by shared caches. A `+` behind a commit says that files
of `src` or `bench` had changes that were not committed yet.
"""


def _runs(results: dict[str, dict]) -> str:
    rows = [
        {"measurement": section.name, **results[section.name][_run_note.NOTE]}
        for section in SECTIONS
        if _run_note.NOTE in results.get(section.name, {})
    ]
    return "## Runs\n\n" + (table(rows) if rows else "No notes.")


def _missed_aims(results: dict[str, dict]) -> str:
    rows = [
        {"measurement": section.name, **row}
        for section in SECTIONS
        if section.name in results
        for row in _aims.table(section.name, results[section.name])
        if row["verdict"] in ("no", "partial")
    ]
    return "## Not reached, or in part\n\n" + (table(rows) if rows else "None.")


def _section(section: Section, result: dict | None, plots: list) -> str:
    command = f"python -m bench run {section.name} --json FILE"
    head = f"## {section.title}\n\n`{command}`\n\n{section.answers}"
    if result is None:
        return f"{head}\n\nNot run."
    seeds = section.seeds or str(result["seed"])
    pictures = [
        f"![{plot.caption}](plots/{plot.file})\n\n{plot.caption}"
        for plot in plots
    ]
    body = {
        key: value for key, value in result.items() if key != _run_note.NOTE
    }
    return "\n\n".join(
        (
            head,
            f"Seeds: {seeds}.",
            table(_aims.table(section.name, body)),
            *pictures,
            section.tables(body),
        )
    )


def page(results: dict[str, dict], folder: pathlib.Path) -> str:
    """Returns the text of the page and writes its plots into a folder."""
    parts = [_HEAD.strip(), _runs(results), _missed_aims(results)]
    for section in SECTIONS:
        result = results.get(section.name)
        plots = _plots.write(section.name, result, folder) if result else []
        parts.append(_section(section, result, plots))
    return "\n\n".join(part.rstrip() for part in parts) + "\n"
