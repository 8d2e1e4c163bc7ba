"""Assembles the command line from its commands."""

import typer

from pollenmast import VERSION
from pollenmast.cli import _manifest, _settings
from pollenmast.cli._adapters import decode
from pollenmast.cli._events import events
from pollenmast.cli._exits import HELP, ExitCode
from pollenmast.cli._operators import explain, status
from pollenmast.cli._output import print_output
from pollenmast.cli._programs import agent, relay

app = typer.Typer(
    name="pollenmast",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    # With plain help the two long-running programs need no further library.
    rich_markup_mode=None,
    epilog=HELP,
)


def _print_version(wanted: bool) -> None:
    if wanted:
        print_output(f"pollenmast {VERSION}")
        raise typer.Exit(ExitCode.OK)


@app.callback()
def _main(
    version: bool = typer.Option(
        False,
        "--version",
        callback=_print_version,
        is_eager=True,
        help="Print the version and end.",
    ),
) -> None:
    """A layer-4 load balancer whose fleet follows a manifest."""


_COMMANDS = (
    (relay, "relay --settings /run/pollenmast/vm.ini"),
    (agent, "agent --settings /run/pollenmast/vm.ini"),
    (status, "status --address 127.0.1.1:7005"),
    (explain, "explain --address 127.0.1.1:7005 registry/registry-1"),
    (events, "events --json"),
    (decode, "decode - < packet.hex"),
)

for _command, _example in _COMMANDS:
    app.command(epilog=f"Example: pollenmast {_example}")(_command)
app.add_typer(_settings.app, name="settings")
app.add_typer(_manifest.app, name="manifest")
