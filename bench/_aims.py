"""Compares measured results with the aims set in issues #3 and #4."""

from collections.abc import Callable

import attrs

from bench import _load_measures
from bench._slopes import Slope
from pollenmast.settings import RelaySettings
from standins._session import LATE_S

NO_FIGURE = "no figure asked"

_MAX_PACKET_RATIO = 2.0
_MIN_NEW_FLOWS_PER_S = 5_000
_MAX_BYTES_PER_FLOW = 400
_MAX_COST_GROWTH = 1.10
"""Greatest cost per packet with the largest table over the smallest."""

_MAX_MANIFEST_DELAY_S = 2.0
_MAX_PLATFORM_CALLS_PER_S = 2_000
_MIN_OPEN_SESSIONS = 2_000
_MIN_GOODPUT = 0.9
_MIN_PROMPT_REFUSALS = 1.0
"""Share of refusals that must be answered at once."""

_MAX_NEW_WORK_DELAY_S = 3.0
"""Seconds after which a leaving upstream must get no new work."""

_MUST_BE_ZERO = ("broken_flows", "cut", "doubled", "wrong_service")
_OTHER_COUNTS = ("lost", "late_refusals")


@attrs.frozen
class Aim:
    """One aim with the result of a run.

    Attributes:
        aim: The requirement, in the words of the issue or close to them.
        reached: The measured figures.
        verdict: "yes", "no", "partial", or NO_FIGURE if the aim has no bound.
    """

    aim: str
    reached: str
    verdict: str


def bounded_aim(aim: str, reached: str, *met: bool) -> Aim:
    """Returns an aim with a bound; it is met if all conditions are.

    Args:
        aim: The requirement.
        reached: The measured figures.
        *met: Whether each condition holds. The verdict is "partial" if only
            some do.
    """
    some = "partial" if any(met) else "no"
    return Aim(aim, reached, "yes" if all(met) else some)


def unbounded_aim(aim: str, reached: str) -> Aim:
    """Returns an aim that asks for a figure but sets no bound."""
    return Aim(aim, reached, NO_FIGURE)


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.3g} s"


def _alert_text(result: dict) -> str:
    # Callers record an alert's age only above LATE_S; 0 means no late alert.
    late_s = result["latest_alert_s"]
    return _seconds(late_s) if late_s else f"none later than {LATE_S:g} s"


def _packet_path(result: dict) -> list[Aim]:
    packet, flows = result["per_packet"], result["new_flows"]
    small, large = result["table"][0], result["table"][-1]
    most = max(row["bytes_a_flow"] for row in result["table"])
    growth = {
        key: large[key] / small[key] for key in ("busy_1000_us", "all_busy_us")
    }
    ratio = packet["ratio_to_upstream"]
    added = {
        key: (large[key] - small[key]) / packet["owner_us"] for key in growth
    }
    return [
        bounded_aim(
            "a packet at its owner at most 2 times a bare loop",
            f"{ratio:.2f} times towards the upstream, "
            f"{packet['ratio_to_caller']:.2f} towards the caller",
            ratio <= _MAX_PACKET_RATIO,
            packet["ratio_to_caller"] <= _MAX_PACKET_RATIO,
        ),
        bounded_aim(
            "5,000 new flows a second",
            f"{flows['flows_per_s']:,.0f}",
            flows["flows_per_s"] >= _MIN_NEW_FLOWS_PER_S,
        ),
        bounded_aim(
            "a held flow takes at most 400 bytes",
            f"at most {most:.0f}",
            most <= _MAX_BYTES_PER_FLOW,
        ),
        bounded_aim(
            "cost a packet flat within 10% from "
            f"{small['flows']:,} to {large['flows']:,} flows",
            f"{growth['busy_1000_us']:.2f} times with 1,000 busy flows, "
            f"{growth['all_busy_us']:.2f} times with all busy, both without "
            f"system calls; the added time is {added['busy_1000_us']:.0%} and "
            f"{added['all_busy_us']:.0%} of a packet with its system calls",
            *(value <= _MAX_COST_GROWTH for value in growth.values()),
        ),
        unbounded_aim(
            "a refusal's cost",
            f"{flows['refusal_us']:.0f} us of processor, "
            f"{flows['refusal_bytes']} bytes",
        ),
    ]


def _ownership(result: dict) -> list[Aim]:
    small, large = result["sizes"][0], result["sizes"][-1]
    growth = large["owner_us"] / small["owner_us"]
    table = large["rendezvous_table_ms"] / large["change_ms"]
    return [
        unbounded_aim(
            "an owner at constant cost a packet",
            f"{growth:.2f} times from {small['vms']} to {large['vms']} VMs "
            f"({small['owner_us']:.2f} to {large['owner_us']:.2f} us)",
        ),
        unbounded_aim(
            "the direction (a table by rendezvous hashing) measured",
            f"at {large['vms']} VMs a change of the ring takes "
            f"{large['change_ms']:.1f} ms, a table's rebuild "
            f"{table:,.0f} times that",
        ),
    ]


def _replication(result: dict) -> list[Aim]:
    age = RelaySettings().replicate_after_s
    chosen = next(row for row in result["curve"] if row["age_s"] == age)
    never = result["curve"][-1]
    return [
        unbounded_aim(
            "age chosen from a curve of broken flows against control bytes",
            f"default {age:g} s: {chosen['broken']} of "
            f"{chosen['held_by_killed']} broken at "
            f"{chosen['bytes_per_s_a_vm']:.0f} bytes a second a VM; never: "
            f"{never['broken']} of {never['held_by_killed']} at "
            f"{never['bytes_per_s_a_vm']:.0f}",
        )
    ]


def _planned_change(result: dict) -> list[Aim]:
    tally = result["result"]
    found = ", ".join(
        f"{tally[key]} {key}" for key in (*_MUST_BE_ZERO, *_OTHER_COUNTS)
    )
    return [
        bounded_aim(
            "at least 2,000 open flows",
            f"{result['open_sessions']:,}",
            result["open_sessions"] >= _MIN_OPEN_SESSIONS,
        ),
        bounded_aim(
            "0 broken, 0 cut, 0 doubled, 0 wrong service",
            found.replace("_", " "),
            *(tally[key] == 0 for key in _MUST_BE_ZERO),
        ),
        unbounded_aim("the latest alert", _alert_text(result)),
    ]


def _loss(result: dict) -> list[Aim]:
    on, off = result["kills"]
    never = [row["never_allowed"] for row in (on, off)]
    return [
        bounded_aim(
            "one of 9 VMs killed: fewer broken than with replication off",
            f"{on['broken_flows']} broken of {on['held_by_killed']} held with "
            f"replication, {off['broken_flows']} of {off['held_by_killed']} "
            "without",
            on["broken_flows"] < off["broken_flows"],
        ),
        unbounded_aim(
            "the longest silence",
            f"latest alert: {_alert_text(on)} with replication, "
            f"{_alert_text(off)} without",
        ),
        bounded_aim(
            "nothing broken beyond the loss, nothing doubled, to the wrong "
            "service or refused late",
            f"{never[0]} with replication, {never[1]} without",
            *(count == 0 for count in never),
        ),
    ]


def _control(result: dict) -> list[Aim]:
    nine, changes = result["cost"]["9"], result["nine"]
    times = [*changes["manifest_s"], changes["manifest_large_s"]]
    met = [
        value is not None and value < _MAX_MANIFEST_DELAY_S for value in times
    ]
    small = ", ".join(_seconds(value) for value in times[:-1])
    single = changes["single_peer_s"]["s"]
    kills = [kill and kill["last"] for kill in changes["killed_s"]]
    calls = max(row["platform_calls_per_s"] for row in result["cost"].values())
    return [
        bounded_aim(
            "a manifest in force on 9 VMs in under 2 s, platform up",
            f"{small}; one of 0.9 MB: {_seconds(times[-1])}",
            *met,
        ),
        bounded_aim(
            "from a single peer with the platform down",
            f"all 9 after {_seconds(single)}, process start included; one "
            "restarted VM after "
            f"{_seconds(changes['restart_platform_down_s'])}",
            single is not None,
        ),
        unbounded_aim(
            "control a node at 9 VMs",
            f"{nine['bytes_per_s_mean']:,} bytes a second, "
            f"{nine['cpu_percent_mean']} % of a core, "
            f"{nine['rss_mb_greatest']} MB resident",
        ),
        unbounded_aim(
            "a killed VM is no longer believed in",
            "by the last VM after " + ", ".join(map(_seconds, kills)),
        ),
        bounded_aim(
            "reads of the platform within 2,000 a second",
            f"at most {calls} a second",
            calls <= _MAX_PLATFORM_CALLS_PER_S,
        ),
    ]


def control_slopes(result: dict) -> list[Slope]:
    """Returns the control cost of a VM as linear fits over the fleet size."""
    return [
        Slope(
            name,
            unit,
            "VMs",
            tuple(
                (int(size), row[key])
                for size, row in cost_by_fleet_size(result)
            ),
            max(int(size) for size in result["cost"]),
        )
        for name, unit, key in (
            ("control sent", "B/s", "bytes_per_s_mean"),
            ("processor", "% core", "cpu_percent_mean"),
            ("memory", "MB", "rss_mb_greatest"),
        )
    ]


def cost_by_fleet_size(result: dict) -> list[tuple[str, dict]]:
    """Returns the control cost for each fleet size."""
    return list(result["cost"].items())


def _all_on_row(rows_: list[dict]) -> dict:
    return next(row for row in rows_ if row["variant"] == "all on")


_KINDS = {"placed": "new work placed", "used": "fullness"}


def _imbalance_aim(result: dict, pattern: str, kind: str) -> Aim:
    row = _all_on_row(result[pattern])
    keys = ("whole", "window_median", "window_most")
    ratios = [row[f"{kind}_{key}"] for key in keys]
    return bounded_aim(
        f"imbalance in steady load at most {_load_measures.EVEN} "
        f"({pattern}, {_KINDS[kind]})",
        f"{ratios[0]} over all the time; in windows of "
        f"{_load_measures.WINDOW_S:g} s {ratios[1]} at the median and "
        f"{ratios[2]} at most",
        *(ratio <= _load_measures.EVEN for ratio in ratios),
    )


def _recovery_aim(result: dict, pattern: str, what: str) -> Aim:
    row, base = _all_on_row(result[pattern]), result[pattern][0]
    return bounded_aim(
        f"time to return to it after {what} ({pattern})",
        f"{_seconds(row['to_even_s'])}; baseline {_seconds(base['to_even_s'])}",
        row["to_even_s"] is not None,
    )


def _refusal_aim(result: dict, pattern: str) -> Aim:
    row = _all_on_row(result[pattern])
    return bounded_aim(
        f"every refusal's answer given at once ({pattern})",
        f"{row['at_once']:.2%} within 5 ms; the last {row['told_most_ms']} ms "
        "after its first packet, held before"
        + _without_hold_text(result[pattern]),
        row["at_once"] >= _MIN_PROMPT_REFUSALS,
    )


def _without_hold_text(rows_: list[dict]) -> str:
    for row in rows_:
        if row["variant"] == "no hold":
            return f"; with hold off {row['at_once']:.2%}"
    return ""


def _goodput_aim(result: dict, pattern: str) -> Aim:
    row, base = _all_on_row(result[pattern]), result[pattern][0]
    return bounded_aim(
        f"goodput at 5 times overload at least 90% of capacity ({pattern})",
        f"{row['goodput']:.1%}; baseline {base['goodput']:.1%}",
        row["goodput"] >= _MIN_GOODPUT,
    )


def _overload(result: dict) -> list[Aim]:
    left = _all_on_row(result["leaves"])["last_new_work_s"]
    return [
        *(
            _imbalance_aim(result, pattern, kind)
            for pattern in ("steady", "sessions")
            for kind in _KINDS
        ),
        _recovery_aim(result, "leaves", "an upstream leaves"),
        _recovery_aim(result, "cold start", "one starts cold"),
        _recovery_aim(result, "session leaves", "an upstream leaves"),
        _recovery_aim(result, "session cold", "one starts cold"),
        bounded_aim(
            "no new work for a leaving upstream after 3 s",
            f"the last after {left} s",
            left <= _MAX_NEW_WORK_DELAY_S,
        ),
        _goodput_aim(result, "overload 5"),
        _goodput_aim(result, "onset"),
        _refusal_aim(result, "overload 2"),
        _refusal_aim(result, "overload 5"),
    ]


def variants_no_worse(result: dict) -> list[dict]:
    """Returns the variants that did no worse than all mechanisms together.

    A variant is the baseline or a run with one mechanism switched off. It is
    listed if it answered at least as many callers in time and was at least as
    good by the second measure: the 99th percentile of answer times, or for
    sessions the imbalance of endpoint utilization.
    """
    found = []
    for pattern, rows_ in result.items():
        if not rows_ or "variant" not in rows_[0]:
            continue
        on = _all_on_row(rows_)
        second = "p99_ms" if on["p99_ms"] != "" else "used_whole"
        found += [
            {
                "pattern": pattern,
                "variant": row["variant"],
                "answered": f"{row['answered']}, all on {on['answered']}",
                "second": f"{second} {row[second]}, all on {on[second]}",
            }
            for row in rows_
            if row is not on
            and row["answered"] >= on["answered"]
            and row[second] <= on[second]
        ]
    return found


AIMS: dict[str, Callable[[dict], list[Aim]]] = {
    "packet_path": _packet_path,
    "ownership": _ownership,
    "replication": _replication,
    "planned_change": _planned_change,
    "loss": _loss,
    "control": _control,
    "overload": _overload,
}


def table(name: str, result: dict) -> list[dict]:
    """Returns the aims of a measurement as table rows."""
    return [attrs.asdict(aim) for aim in AIMS[name](result)]
