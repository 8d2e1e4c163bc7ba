"""Generates docs/EVENTS.md from the catalogue of events."""

from docs_tool._markdown import HEAD, code, table
from pollenmast.events import CATALOGUE

_INTRODUCTION = """\
# Events

Each line of a program's log is one JSON object: of `relay` and `agent` on
standard error, by eliot; of `entry` on standard output. `event` is the number
below, `message_type` the name, `program` the program's, `vm` the VM's name,
`timestamp` seconds since 1970; the other fields belong to the event. Numbers
are never used twice.
`pollenmast events` prints this page's table, `--json` for programs.

At most 20 lines of one event are written within one second, 100 of event 204;
the rest is told by event 106, and the counters count every case. No event is
written for each packet. Cost of eliot's lines (trial of 20,000 lines to
/dev/null on one machine): 11.1 microseconds of processor a line, 0.9 a
suppressed one.

"""

_GROUPS = {
    1: "The programs",
    2: "Flows and callers",
    3: "Upstreams",
    4: "Manifest and platform",
    5: "VMs of the fleet",
}


def page() -> str:
    """Returns the text of the page."""
    text = HEAD + _INTRODUCTION
    for group, title in _GROUPS.items():
        rows = [
            (event.number, code(event.name), event.meaning, event.action)
            for event in sorted(CATALOGUE, key=lambda event: event.number)
            if event.number // 100 == group
        ]
        if rows:
            heads = ("Number", "Name", "Meaning", "What to do")
            text += f"## {group}xx: {title}\n\n{table(heads, rows)}\n"
    return text.rstrip("\n") + "\n"
