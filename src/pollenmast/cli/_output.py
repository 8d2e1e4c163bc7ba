"""Output for a person (tables) and for a program (JSON)."""

import json
import sys

_GAP = "  "


def json_text(value: object) -> str:
    """Returns a value as indented JSON."""
    return json.dumps(value, indent=2)


def table(heads: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Returns rows under their heads, in columns as wide as they need."""
    cells = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(heads))]
    lines = []
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(_GAP.join(padded).rstrip())
    return "\n".join(lines)


def printable(text: str) -> str:
    """Returns a text from the network in a form that steers no terminal."""
    return "".join(c if c.isprintable() else "?" for c in text)


def say(text: str) -> None:
    """Writes to the standard output."""
    print(text)


def complain(text: str) -> None:
    """Writes to the standard error output."""
    print(text, file=sys.stderr)
