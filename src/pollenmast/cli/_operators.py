"""`pollenmast status` and `pollenmast explain`: queries to one VM.

With `--log`, `explain` reads log lines instead.
"""

import sys
import urllib.parse

import typer

from pollenmast.cli import _client, _timeline
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import (
    json_text,
    print_error,
    print_output,
    printable,
)
from pollenmast.cli._report import format_explanation, format_report
from pollenmast.settings import socket_address

_ADDRESS_HELP = "The VM's operators endpoint, IP:PORT."
_ADDRESS = typer.Option(..., "--address", help=_ADDRESS_HELP)
_JSON = typer.Option(False, "--json", help="Answer in JSON.")


def status(address: str = _ADDRESS, as_json: bool = _JSON) -> None:
    """Shows one VM and what it knows of the fleet.

    The manifest in force and its age, the VMs with their states, the
    endpoints with weight and reason, flows, and refusals by reason.
    """
    answer = _ask_or_exit(address, "/status")
    print_output(json_text(answer) if as_json else format_report(answer))


def explain(
    subject: str = typer.Argument(
        "",
        help="A caller as IP:PORT, or SERVICE/ENDPOINT; without it, the"
        " newest decisions. With --log a request's id, a flow or an endpoint.",
    ),
    address: str = typer.Option("", "--address", help=_ADDRESS_HELP),
    log: str = typer.Option(
        "", "--log", help="Read a file of log lines instead, - for the input."
    ),
    as_json: bool = _JSON,
) -> None:
    """Tells why a flow went where it went, or why an endpoint gets little.

    With --log it tells the story of one request, flow or endpoint from the
    log lines of all VMs; nothing is asked.
    """
    if log:
        _print_timeline(log, subject)
        return
    query = urllib.parse.urlencode({"subject": subject})
    answer = _ask_or_exit(address, f"/explain?{query}")
    print_output(json_text(answer) if as_json else format_explanation(answer))


def _print_timeline(log: str, subject: str) -> None:
    try:
        if log == "-":
            lines = _timeline.read(sys.stdin)
        else:
            with open(log, encoding="utf-8", errors="replace") as file:
                lines = _timeline.read(file)
    except OSError as error:
        print_error(str(error))
        raise typer.Exit(ExitCode.FAILED) from error
    shown = _timeline.timeline(lines, subject)
    if not shown:
        print_error(f"no line of {len(lines)} names '{printable(subject)}'")
        raise typer.Exit(ExitCode.FAILED)
    print_output("\n".join(shown))


def _ask_or_exit(address: str, path: str) -> object:
    socket = socket_address(address)
    if socket is None:
        print_error(f"--address: found '{address}', allowed: IP:PORT")
        raise typer.Exit(ExitCode.INVALID_INPUT)
    answer = _client.get(*socket, path)
    if answer.is_err():
        print_error(answer.unwrap_err())
        raise typer.Exit(ExitCode.FAILED)
    return answer.unwrap()
