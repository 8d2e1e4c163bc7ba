"""Markdown formatting."""

HEAD = "<!-- Made by `python -m docs_tool`; change the code instead. -->\n\n"
"""First line of every generated page."""


def table(heads: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Returns a Markdown table."""
    lines = [_row(heads), _row(("---",) * len(heads))]
    return "\n".join([*lines, *[_row(row) for row in rows]]) + "\n"


def code(value: object) -> str:
    """Returns a value as inline code, or "" for an empty value."""
    return f"`{value}`" if value not in (None, "") else ""


def _row(cells: tuple[object, ...]) -> str:
    escaped = [str(cell).replace("|", "\\|") for cell in cells]
    return f"| {' | '.join(escaped)} |"
