"""Builds the timeline of a request, flow or endpoint from log lines."""

import json
from collections.abc import Iterable, Iterator

import attrs

from pollenmast.cli._output import printable
from pollenmast.counters import ResetReason

_LINKING_FIELDS = ("request", "flow", "endpoint")
"""Fields that connect log lines: a request to its flow, a flow to its
endpoint."""

_HIDDEN_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "event")
    + ("program", "vm")
)

_CONTEXT_EVENTS = frozenset(
    ("zone_drained", "zone_restored", "zones_unreached", "zones_reached")
    + ("platform_lost", "platform_back", "history_gone", "directory_restored")
)
"""Events about zones and about the VM's reads of the directory: they explain
where the VM placed a flow."""

_SERVICE_EVENTS = frozenset(("scarcity_began", "scarcity_ended"))
"""Events about a service's capacity on a VM: they explain why the VM held or
refused a flow."""

_REFUSALS = {
    ResetReason.NO_ROOM.value: "the flows ahead would take longer than it may"
    " be held",
    ResetReason.HOLD_EXPIRED.value: "no capacity became free in time",
    ResetReason.REPEAT_LIMIT.value: "a retry beyond the retry budget",
}
"""Explanations of the reasons to reset a flow for lack of capacity."""

CONTEXT_BEFORE_S = 10.0
"""Lines about an endpoint, a zone or the directory are included from this many
seconds before the subject's first line."""

CONTEXT_AFTER_S = 10.0
"""Lines about an endpoint, a zone or the directory are included until this many
seconds after the subject's last line."""


@attrs.frozen
class _Line:
    """A parsed log line.

    Attributes:
        at: When it was written, in seconds since 1970.
        name: The name of the event.
        vm: The VM that wrote it.
        fields: All fields, including the ones above.
    """

    at: float
    name: str
    vm: str
    fields: dict[str, object]

    def mentions(self, value: str) -> bool:
        """Whether the value is the line's request, flow or endpoint."""
        return any(self.fields.get(field) == value for field in _LINKING_FIELDS)


def read(lines: Iterable[str]) -> list[_Line]:
    """Parses log lines and sorts them by time.

    A log collector's prefix before the JSON object is skipped, as are lines
    that no program of pollenmast wrote.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    return sorted(parsed, key=lambda line: line.at)


def timeline(lines: list[_Line], subject: str) -> list[str]:
    """Returns the timeline of a subject.

    Args:
        lines: The log lines, sorted by time as `read` returns them.
        subject: A request's id, a flow or an endpoint, as logged.

    Returns:
        One text for each line, or an empty list if no line names the subject.
    """
    matching = [line for line in lines if line.mentions(subject)]
    if not matching:
        return []
    flows = {
        str(line.fields["flow"]) for line in matching if "flow" in line.fields
    }
    by_flow = [
        line
        for line in lines
        if line.fields.get("flow") in flows or line.mentions(subject)
    ]
    vms = {line.vm for line in by_flow}
    endpoints = {line.fields.get("endpoint") for line in by_flow} - {None, ""}
    services = {line.fields.get("service") for line in by_flow} - {None, ""}
    first, last = (
        by_flow[0].at - CONTEXT_BEFORE_S,
        by_flow[-1].at + CONTEXT_AFTER_S,
    )
    context = [
        line
        for line in lines
        if (
            line.fields.get("endpoint") in endpoints
            or line.name in _CONTEXT_EVENTS
            or _is_about_capacity(line, services)
        )
        and "flow" not in line.fields
        and line.vm in vms
        and first <= line.at <= last
    ]
    selected = sorted((*by_flow, *context), key=lambda line: line.at)
    return list(_format(selected))


def _is_about_capacity(line: _Line, services: set[object]) -> bool:
    """Whether a line is about the capacity of one of the services.

    Args:
        line: The line.
        services: The services that the flow's lines name; empty if they name
            none, then each service counts.
    """
    if line.name not in _SERVICE_EVENTS:
        return False
    return not services or line.fields.get("service") in services


def _parse(text: str) -> _Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return _Line(
            float(fields["timestamp"]),
            str(fields["message_type"]),
            str(fields["vm"]),
            fields,
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def _format(lines: list[_Line]) -> Iterator[str]:
    start = lines[0].at
    for line in lines:
        shown = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in _HIDDEN_FIELDS and value != ""
        )
        text = f"{line.at - start:+9.3f} s  {line.vm}  {line.name}  {shown}"
        yield printable(f"{text}{_explain_refusal(line)}")


def _explain_refusal(line: _Line) -> str:
    """Returns why a flow was refused for lack of capacity, else ""."""
    reason = line.fields.get("reason")
    if line.name != "flow_reset" or not isinstance(reason, str):
        return ""
    cause = _REFUSALS.get(reason)
    if cause is None:
        return ""
    held_ms = line.fields.get("held_ms")
    if held_ms is None:
        held = ""
    elif held_ms == 0:
        held = ", not held"
    else:
        held = f", held {held_ms} ms"
    return f"  (refused, short of capacity: {cause}{held})"
