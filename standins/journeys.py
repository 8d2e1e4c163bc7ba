"""Prints the datagrams of each lost flow of a traced run.

`python -m standins.journeys FOLDER` reads the callers' records and the
fabric's trace from the folder. The trace has the VM that each datagram was
sent to, and the datagrams that came back. It shows whether a flow was lost on
the path or was not answered by its upstream.
"""

import collections
import json
import pathlib
import sys

from standins import _records

_LOST_FATES = (_records.Fate.BROKEN, _records.Fate.UNOPENED)
_TIME_TOLERANCE_S = 0.005
"""Tolerance when datagrams are matched to flows by time, in seconds.

If two flows used the same port, the time decides to which of them a datagram
belongs. Callers and fabric read the same clock, but each only once per turn
of its event loop.
"""


def journeys(folder: pathlib.Path) -> list[str]:
    """Returns lines that list the datagrams of each lost flow of a run."""
    steps = collections.defaultdict(list)
    for line in (folder / "fabric.trace").read_text().splitlines():
        step = json.loads(line)
        steps[step["caller"]].append(step)
    lines = []
    for flow in _lost_flows(folder):
        lines.append(_flow_line(flow))
        lines.extend(
            _datagram_line(step, flow)
            for step in steps[flow.port]
            if flow.opened - _TIME_TOLERANCE_S
            <= step["at"]
            <= flow.ended + _TIME_TOLERANCE_S
        )
    return lines


def _lost_flows(folder: pathlib.Path) -> list[_records.FlowRecord]:
    flows = []
    for file in sorted(folder.glob("*.out")):
        text = file.read_text()
        if text.startswith('{"flows"'):
            flows += _records.from_json(json.loads(text)).flows
    return [flow for flow in flows if flow.fate in _LOST_FATES]


def _flow_line(flow: _records.FlowRecord) -> str:
    connected = "never"
    if flow.connected is not None:
        connected = f"after {flow.connected - flow.opened:.3f} s"
    return (
        f"{flow.service}, caller's port {flow.port}, {flow.fate.value}:"
        f" opened at {flow.opened:.3f}, connected {connected}, {flow.reason}"
    )


def _datagram_line(step: dict, flow: _records.FlowRecord) -> str:
    header = "long" if step["long"] else "short"
    at = step["at"] - flow.opened
    return (
        f"  {at:8.3f} s  {step['way']:>4} {step['vm']}"
        f"  {step['bytes']:>4} bytes, {header} header"
    )


def main() -> None:
    """Runs the program."""
    for line in journeys(pathlib.Path(sys.argv[1])):
        print(line)


if __name__ == "__main__":
    main()
