"""Tables of who waits, who is refused and where flows go, from VMs' logs.

Usage: python -m bench.flow_table LOG [--seconds S]

LOG holds the log lines of all VMs of one run, each optionally preceded by a
time in seconds and the name of the VM, as the users' bench prints them.
"""

import argparse
import collections
import json
import pathlib
from collections.abc import Iterable, Iterator

import attrs

PLACED = "flow_placed"
RESET = "flow_reset"
REFUSALS = ("no_room", "hold_expired", "repeat_limit")


@attrs.frozen
class Line:
    """One log line.

    Attributes:
        at_s: The time in seconds, by the log's own prefix or its timestamp.
        fields: The fields of the event.
    """

    at_s: float
    fields: dict[str, object]


@attrs.define
class Period:
    """What happened in one period.

    Attributes:
        placed: Flows placed, by endpoint.
        holds_ms: How long each held flow waited that was placed.
        refused: Refused flows by reason.
        refused_ms: How long each refused flow had waited.
        accounts: Refused flows by client address.
    """

    placed: collections.Counter[str] = attrs.field(factory=collections.Counter)
    holds_ms: list[int] = attrs.field(factory=list)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused_ms: list[int] = attrs.field(factory=list)
    accounts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


def read(lines: Iterable[str]) -> Iterator[Line]:
    """Returns the events of a log; lines without one are passed over."""
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        words = prefix.split()
        try:
            at_s = float(words[0]) if words else float(fields["timestamp"])
        except (ValueError, KeyError):
            continue
        yield Line(at_s, fields)


def collect(lines: Iterable[Line], period_s: float) -> dict[int, Period]:
    """Returns the periods by their number since time 0."""
    periods: dict[int, Period] = collections.defaultdict(Period)
    for line in lines:
        fields = line.fields
        period = periods[int(line.at_s // period_s)]
        kind = fields.get("message_type")
        if kind == PLACED:
            period.placed[str(fields.get("endpoint"))] += 1
            if fields.get("held_ms"):
                period.holds_ms.append(int(fields["held_ms"]))
        elif kind == RESET and fields.get("reason") in REFUSALS:
            period.refused[str(fields["reason"])] += 1
            period.refused_ms.append(int(fields.get("held_ms", 0)))
            client = str(fields.get("flow")).partition(":")[0]
            period.accounts[client] += 1
    return periods


def quantile(values: list[int], fraction: float) -> int:
    """Returns a quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0


def rows(periods: dict[int, Period], period_s: float) -> Iterator[str]:
    """Returns the table, one row a period."""
    yield (
        "from_s placed max/mean held hold_p50_ms hold_p99_ms "
        + " ".join(REFUSALS)
        + " refused_p99_ms worst_account"
    )
    for number in sorted(periods):
        period = periods[number]
        total = period.placed.total()
        mean = total / len(period.placed) if period.placed else 0.0
        most = max(period.placed.values(), default=0)
        worst = period.accounts.most_common(1)
        cells = (
            f"{number * period_s:g}",
            total,
            f"{most / mean:.2f}" if mean else "-",
            len(period.holds_ms),
            quantile(period.holds_ms, 0.5),
            quantile(period.holds_ms, 0.99),
            *(period.refused[reason] for reason in REFUSALS),
            quantile(period.refused_ms, 0.99),
            worst[0][1] if worst else 0,
        )
        yield " ".join(str(cell) for cell in cells)


def main() -> None:
    """Prints the table of a log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=2.0)
    arguments = parser.parse_args()
    with arguments.log.open(errors="replace") as log:
        periods = collect(read(log), arguments.seconds)
    print("\n".join(rows(periods, arguments.seconds)))


if __name__ == "__main__":
    main()
