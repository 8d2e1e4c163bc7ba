"""Prints tables for people and JSON for programs."""

import json
import sys

_COLUMN_GAP = "  "


def json_text(value: object) -> str:
    """Returns a value as indented JSON."""
    return json.dumps(value, indent=2)


def table(headers: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Returns rows below their column headers, in aligned columns."""
    cells = [headers, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(headers))]
    lines = []
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(_COLUMN_GAP.join(padded).rstrip())
    return "\n".join(lines)


def printable(text: str) -> str:
    """Replaces unprintable characters, so that no terminal obeys them.

    For texts from the network.
    """
    return "".join(c if c.isprintable() else "?" for c in text)


def print_output(text: str) -> None:
    """Prints a text to the standard output."""
    print(text)


def print_error(text: str) -> None:
    """Prints a text to the standard error output."""
    print(text, file=sys.stderr)
