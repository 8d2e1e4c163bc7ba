"""Plots for docs/MEASUREMENTS.md, drawn from the JSON results of runs."""

import pathlib
from collections.abc import Callable

import matplotlib

matplotlib.use("Agg")

import attrs
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bench import _aims, _load_measures

_FIGURE_SIZE_IN = (8.0, 3.0)
_DPI = 80
"""Resolution; keeps every plot below 60 kB so the repository stays small."""

_HEADROOM = 1.1

_BASELINE = "#b0b0b0"
_PRODUCT = "#1f6fb4"
_OTHER = "#d9822b"
_EVEN_PATTERNS = (
    ("steady", "placed"),
    ("leaves", "placed"),
    ("cold start", "placed"),
    ("sessions", "used"),
    ("session leaves", "used"),
    ("session cold", "used"),
)


@attrs.frozen
class Plot:
    """A plot of one measurement.

    Attributes:
        file: File name in the folder of plots.
        caption: Description of the plot.
        draw: Draws the plot from the measurement's result.
    """

    file: str
    caption: str
    draw: Callable[[dict], Figure]


def _axes(count: int) -> tuple[Figure, list[Axes]]:
    figure, axes = pyplot.subplots(
        1, count, figsize=_FIGURE_SIZE_IN, layout="constrained", squeeze=False
    )
    for each in axes[0]:
        each.spines[["top", "right"]].set_visible(False)
        each.grid(alpha=0.3)
    return figure, list(axes[0])


def _start_at_zero(axes: Axes) -> None:
    """Starts the value axis at zero, with headroom above the maximum."""
    axes.set_ylim(0, axes.dataLim.y1 * _HEADROOM)


def _replication(result: dict) -> Figure:
    figure, (axes,) = _axes(1)
    rows = result["curve"]
    sent = [row["bytes_per_s_a_vm"] for row in rows]
    broken = [row["broken"] for row in rows]
    axes.plot(sent, broken, "o-", color=_PRODUCT)
    for row, x, y in zip(rows, sent, broken, strict=True):
        age = row["age_s"]
        text = age if isinstance(age, str) else f"{age:g} s"
        axes.annotate(text, (x, y), (4, 6), textcoords="offset points")
    held = rows[0]["held_by_killed"]
    axes.set(
        xlabel="replication, bytes a second a VM",
        ylabel=f"broken of {held} flows held",
        title="Age at which flows replicate",
    )
    axes.margins(0.08, 0.12)
    return figure


def _packet_path(result: dict) -> Figure:
    figure, (size, cost) = _axes(2)
    rows = result["table"]
    flows = [row["flows"] / 1000 for row in rows]
    size.plot(flows, [row["bytes_a_flow"] for row in rows], "o-")
    size.set(xlabel="thousand flows", ylabel="bytes a flow")
    _start_at_zero(size)
    for key, name in (
        ("busy_1000_us", "1,000 flows busy"),
        ("all_busy_us", "all flows busy"),
    ):
        cost.plot(flows, [row[key] for row in rows], "o-", label=name)
    cost.set(
        xlabel="thousand flows",
        ylabel="us a packet, no system calls",
    )
    _start_at_zero(cost)
    cost.legend(frameon=False)
    return figure


def _ownership(result: dict) -> Figure:
    figure, (axes,) = _axes(1)
    rows = result["sizes"]
    for key, name in (
        ("rendezvous_table_ms", "table by rendezvous hashing, rebuilt"),
        ("build_ms", "ring, built"),
        ("change_ms", "ring, one VM comes or goes"),
    ):
        axes.loglog(
            [row["vms"] for row in rows],
            [row[key] for row in rows],
            "o-",
            label=name,
        )
    axes.set(xlabel="VMs", ylabel="ms of processor")
    axes.legend(frameon=False)
    return figure


def _control(result: dict) -> Figure:
    slopes = _aims.control_slopes(result)
    figure, every = _axes(len(slopes))
    for axes, line in zip(every, slopes, strict=True):
        sizes = [size for size, _ in line.points]
        axes.plot(sizes, [value for _, value in line.points], "o")
        ends = [min(sizes), max(sizes)]
        axes.plot(ends, [line.intercept + line.slope * x for x in ends], "--")
        axes.set(xlabel="VMs", ylabel=line.unit, title=line.name)
        _start_at_zero(axes)
    return figure


def _colour(variant: str) -> str:
    return {"baseline": _BASELINE, "all on": _PRODUCT}.get(variant, _OTHER)


def _bars(axes: Axes, rows: list[dict], key: str, label: str) -> None:
    names = [row["variant"] for row in rows]
    axes.barh(
        names,
        [row[key] for row in rows],
        color=[_colour(each) for each in names],
    )
    axes.invert_yaxis()
    axes.set(xlabel=label)


def _fivefold_overload(result: dict) -> Figure:
    figure, (good, latency) = _axes(2)
    rows = result["overload 5"]
    _bars(good, rows, "goodput", "goodput, part of capacity")
    _bars(latency, rows, "p99_ms", "99th percentile of answers, ms")
    latency.set_yticklabels([])
    return figure


def _imbalance(result: dict) -> Figure:
    figure, (axes,) = _axes(1)
    for shift, variant in ((-0.2, "baseline"), (0.2, "all on")):
        rows = [
            next(row for row in result[name] if row["variant"] == variant)
            for name, _ in _EVEN_PATTERNS
        ]
        for part, alpha in (("most", 0.35), ("median", 1.0)):
            heights = [
                row[f"{kind}_window_{part}"] - 1
                for row, (_, kind) in zip(rows, _EVEN_PATTERNS, strict=True)
            ]
            axes.bar(
                [index + shift for index in range(len(rows))],
                heights,
                0.38,
                bottom=1,
                alpha=alpha,
                color=_colour(variant),
                label=f"{variant}, {part} window",
            )
    axes.axhline(_load_measures.EVEN, color="black", linestyle=":")
    names = [name.replace(" ", "\n") for name, _ in _EVEN_PATTERNS]
    axes.set_xticks(range(len(names)), names)
    axes.set(ylabel="greatest over mean")
    figure.legend(loc="outside right center", fontsize="small")
    return figure


PLOTS: dict[str, tuple[Plot, ...]] = {
    "packet_path": (
        Plot(
            "packet_path.png",
            "Memory and cost by the size of the flow table.",
            _packet_path,
        ),
    ),
    "ownership": (
        Plot(
            "ownership.png",
            "A change of the ring beside rebuilding a table.",
            _ownership,
        ),
    ),
    "replication": (
        Plot(
            "replication.png",
            "Broken flows against control bytes, by age.",
            _replication,
        ),
    ),
    "control": (
        Plot(
            "control.png",
            "What an agent spends, by the size of the fleet.",
            _control,
        ),
    ),
    "overload": (
        Plot(
            "overload.png",
            "Five times the capacity: the baseline, everything on, and one "
            "mechanism off at a time.",
            _fivefold_overload,
        ),
        Plot(
            "imbalance.png",
            "Imbalance in windows of five seconds, of new work placed or, with "
            "sessions, of fullness: full colour is the median window, pale the "
            "worst; dotted is the aim.",
            _imbalance,
        ),
    ),
}


def write(name: str, result: dict, folder: pathlib.Path) -> list[Plot]:
    """Writes the plots of a measurement into a folder and returns them."""
    folder.mkdir(parents=True, exist_ok=True)
    plots = PLOTS.get(name, ())
    for plot in plots:
        figure = plot.draw(result)
        figure.savefig(folder / plot.file, dpi=_DPI, metadata={"Software": ""})
        pyplot.close(figure)
    return list(plots)
