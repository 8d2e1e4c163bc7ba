"""The commands that ask one VM what it knows and why it decided."""

import urllib.parse

import typer

from pollenmast.cli import _client
from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import complain, json_text, say
from pollenmast.cli._report import explanation, report
from pollenmast.settings import socket_address

_ADDRESS = typer.Option(
    ..., "--address", help="The VM's operators endpoint, IP:PORT."
)
_JSON = typer.Option(False, "--json", help="Answer in JSON.")


def status(address: str = _ADDRESS, as_json: bool = _JSON) -> None:
    """Shows one VM and what it knows of the fleet.

    The manifest in force and its age, the VMs with their states, the
    endpoints with weight and reason, flows, and refusals by reason.
    """
    answer = _ask_or_exit(address, "/status")
    say(json_text(answer) if as_json else report(answer))


def explain(
    subject: str = typer.Argument(
        "",
        help="A caller as IP:PORT, or SERVICE/ENDPOINT; without it, the"
        " newest decisions.",
    ),
    address: str = _ADDRESS,
    as_json: bool = _JSON,
) -> None:
    """Tells why a flow went where it went, or why an endpoint gets little."""
    query = urllib.parse.urlencode({"subject": subject})
    answer = _ask_or_exit(address, f"/explain?{query}")
    say(json_text(answer) if as_json else explanation(answer))


def _ask_or_exit(address: str, path: str) -> object:
    socket = socket_address(address)
    if socket is None:
        complain(f"--address: found '{address}', allowed: IP:PORT")
        raise typer.Exit(ExitCode.REFUSED)
    answer = _client.get(*socket, path)
    if answer.is_err():
        complain(answer.unwrap_err())
        raise typer.Exit(ExitCode.FAILED)
    return answer.unwrap()
