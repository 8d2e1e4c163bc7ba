"""`pollenmast relay` and `pollenmast agent`: the programs of a VM."""

import typer

from pollenmast.cli._run import run_agent, run_relay

_SETTINGS = typer.Option(..., "--settings", help="The VM's settings file.")


def relay(settings: str = _SETTINGS) -> None:
    """Runs the relay of this VM, which carries the flows.

    It waits for the agent of the same VM, and takes flows once it has a
    manifest. A first signal (SIGTERM, SIGINT) hands its flows over and ends
    it; a second one ends it at once.
    """
    raise typer.Exit(run_relay(settings))


def agent(settings: str = _SETTINGS) -> None:
    """Runs the agent of this VM, which knows the fleet and the manifest.

    It follows the manifest, watches the other VMs, probes the upstreams and
    answers operators. Signals are as for the relay.
    """
    raise typer.Exit(run_agent(settings))
