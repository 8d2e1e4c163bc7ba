"""Formats an agent's JSON answer as tables.

The tables are built from the keys of the answer, so that the command line
shows every field even if the agent has another version.
"""

from pollenmast.cli._output import printable, table


def format_report(answer: object) -> str:
    """Returns an answer as lines and tables for people."""
    if not isinstance(answer, dict):
        return _format_cell(answer)
    scalars = [
        (k, _format_cell(v)) for k, v in answer.items() if not _is_nested(v)
    ]
    sections = [table(("WHAT", "VALUE"), scalars)] if scalars else []
    for name, value in answer.items():
        if _is_nested(value):
            sections.append(f"{name}\n{_section(value)}")
    return "\n\n".join(sections)


def format_explanation(answer: object) -> str:
    """Returns the lines of an `/explain` answer as one text."""
    lines = answer.get("lines") if isinstance(answer, dict) else None
    if not isinstance(lines, list):
        return format_report(answer)
    return (
        "\n".join(_format_cell(line) for line in lines)
        or "nothing is known of it"
    )


def _is_nested(value: object) -> bool:
    return isinstance(value, dict | list)


def _section(value: dict[str, object] | list[object]) -> str:
    if not value:
        return "none"
    if isinstance(value, dict):
        return table(("WHAT", "VALUE"), _flatten("", value))
    if all(isinstance(item, dict) for item in value):
        headers = tuple(dict.fromkeys(key for item in value for key in item))
        rows = [
            tuple(_format_cell(item.get(key)) for key in headers)
            for item in value
        ]
        return table(tuple(head.upper() for head in headers), rows)
    return "\n".join(_format_cell(item) for item in value)


def _flatten(prefix: str, value: dict[str, object]) -> list[tuple[object, ...]]:
    """Flattens nested objects into rows with dotted keys."""
    rows: list[tuple[object, ...]] = []
    for key, inner in value.items():
        if isinstance(inner, dict):
            rows.extend(_flatten(f"{prefix}{key}.", inner))
        else:
            rows.append((f"{prefix}{key}", _format_cell(inner)))
    return rows


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1 else f"{value:.1f}"
    if isinstance(value, dict | list):
        return f"{len(value)} items"
    return printable(str(value))
