"""The commands that run the two programs of a VM."""

import os

import typer

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import complain
from pollenmast.settings import Settings, load

_SETTINGS = typer.Option(..., "--settings", help="The VM's settings file.")


def relay(settings: str = _SETTINGS) -> None:
    """Runs the relay of this VM, which carries the flows.

    It waits for the agent of the same VM, and takes flows once it has a
    manifest. A first signal (SIGTERM, SIGINT) hands its flows over and ends
    it; a second one ends it at once.
    """
    checked = load_or_exit(settings)
    # The agent must not load what only the relay needs: both programs
    # together would then outgrow the memory that a small VM gives them.
    from pollenmast import relay as program

    raise typer.Exit(program.run(checked))


def agent(settings: str = _SETTINGS) -> None:
    """Runs the agent of this VM, which knows the fleet and the manifest.

    It follows the manifest, watches the other VMs, probes the upstreams and
    answers operators. Signals are as for the relay.
    """
    checked = load_or_exit(settings)
    from pollenmast import agent as program

    raise typer.Exit(program.run(checked))


def load_or_exit(path: str) -> Settings:
    """Returns the settings, or ends the command with every fault in them."""
    checked = load(path, os.environ)
    if checked.is_err():
        for fault in checked.unwrap_err():
            complain(str(fault))
        raise typer.Exit(ExitCode.REFUSED)
    return checked.unwrap()
