"""Checks files and decodes packets in formats that adapters read."""

import string
import sys
from collections.abc import Callable
from typing import NoReturn

import typer
from result import Err, Result

from pollenmast import adapters
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import (
    json_text,
    print_error,
    print_output,
    printable,
    table,
)

ADAPTER_OPTION = typer.Option(
    "",
    "--adapter",
    help=f"Read the format of: {', '.join(adapters.NAMES)}.",
)


def find_or_exit(name: str) -> adapters.Adapter:
    """Returns the adapter of this name, or exits with an error message."""
    adapter = adapters.find(name)
    if adapter is None:
        allowed = ", ".join(adapters.NAMES)
        print_error(f"--adapter: found '{printable(name)}', allowed: {allowed}")
        raise typer.Exit(ExitCode.INVALID_INPUT)
    return adapter


def print_result(result: Result[adapters.Rows, str], as_json: bool) -> NoReturn:
    """Prints the rows or the fault that an adapter returned, and exits."""
    fault = result.err_value if isinstance(result, Err) else None
    rows = [] if isinstance(result, Err) else result.ok_value
    if as_json:
        print_output(
            json_text({"faults": [fault] if fault else [], "read": dict(rows)})
        )
    elif fault is None:
        shown = [(name, printable(value)) for name, value in rows]
        print_output(table(("WHAT", "VALUE"), shown))
    else:
        print_error(printable(fault))
    raise typer.Exit(ExitCode.INVALID_INPUT if fault else ExitCode.OK)


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
        print_error(f"{file}: {reason}")
        raise typer.Exit(ExitCode.INVALID_INPUT) from error
    print_result(read(data), as_json)


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
        print_error("packet: allowed are pairs of hex digits")
        raise typer.Exit(ExitCode.INVALID_INPUT)
    print_result(find_or_exit(adapter).packet(bytes.fromhex(digits)), as_json)
