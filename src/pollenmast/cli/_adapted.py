"""Checks files and decodes packets in formats that adapters read."""

import string
import sys
from collections.abc import Callable
from typing import NoReturn

import typer
from result import Err, Result

from pollenmast import adapters
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import complain, json_text, printable, say, table

ADAPTER = typer.Option(
    "",
    "--adapter",
    help=f"Read the format of: {', '.join(adapters.NAMES)}.",
)


def find(name: str) -> adapters.Adapter:
    """Returns the adapter of this name, or exits with an error message."""
    adapter = adapters.find(name)
    if adapter is None:
        allowed = ", ".join(adapters.NAMES)
        complain(f"--adapter: found '{printable(name)}', allowed: {allowed}")
        raise typer.Exit(ExitCode.REFUSED)
    return adapter


def tell(checked: Result[adapters.Rows, str], as_json: bool) -> NoReturn:
    """Prints the rows or the fault that an adapter returned, and exits."""
    fault = checked.err_value if isinstance(checked, Err) else None
    rows = [] if isinstance(checked, Err) else checked.ok_value
    if as_json:
        say(json_text({"faults": [fault] if fault else [], "read": dict(rows)}))
    elif fault is None:
        shown = [(name, printable(value)) for name, value in rows]
        say(table(("WHAT", "VALUE"), shown))
    else:
        complain(printable(fault))
    raise typer.Exit(ExitCode.REFUSED if fault else ExitCode.OK)


def check_file(
    file: str,
    read: Callable[[bytes], Result[adapters.Rows, str]],
    as_json: bool,
) -> NoReturn:
    """Reads a file with an adapter, prints the result, and exits.

    Args:
        file: The path of the file.
        read: The adapter's function for this kind of file.
        as_json: Whether to print JSON instead of a table.
    """
    try:
        with open(file, "rb") as stream:
            data = stream.read()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "no path"
        complain(f"{file}: {reason}")
        raise typer.Exit(ExitCode.REFUSED) from error
    tell(read(data), as_json)


def decode(
    packet: str = typer.Argument(
        ..., help="The packet's bytes as hex digits, - for the input."
    ),
    adapter: str = typer.Option(
        adapters.NAMES[0],
        "--adapter",
        help=f"Whose packet: {', '.join(adapters.NAMES)}.",
    ),
    as_json: bool = typer.Option(False, "--json", help="Answer in JSON."),
) -> None:
    """Tells what a client's packet says, field by field.

    White space between the digits does not matter.
    """
    text = sys.stdin.read() if packet == "-" else packet
    digits = "".join(text.split())
    if len(digits) % 2 or not set(digits) <= set(string.hexdigits):
        complain("packet: allowed are pairs of hex digits")
        raise typer.Exit(ExitCode.REFUSED)
    tell(find(adapter).packet(bytes.fromhex(digits)), as_json)
