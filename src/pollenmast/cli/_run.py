"""Runs one of the two programs of a VM."""

import os
import sys

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import complain
from pollenmast.events import write_to
from pollenmast.settings import Settings, load


def run_relay(file: str) -> int:
    """Runs the relay with a settings file; returns the exit code."""
    settings = _checked(file)
    if settings is None:
        return ExitCode.REFUSED
    # Imported only here, as the agent is below: each program would else load
    # what only the other one needs, and a small VM has little memory.
    from pollenmast import relay

    return relay.run(settings)


def run_agent(file: str) -> int:
    """Runs the agent with a settings file; returns the exit code."""
    settings = _checked(file)
    if settings is None:
        return ExitCode.REFUSED
    from pollenmast import agent

    return agent.run(settings)


def _checked(file: str) -> Settings | None:
    """Returns the settings, or None after telling every fault in them.

    With good settings the log begins, before any part of a program can write
    to it: until then eliot keeps its lines in memory.
    """
    checked = load(file, os.environ)
    for fault in checked.err() or ():
        complain(str(fault))
    if checked.is_ok():
        write_to(sys.stderr)
    return checked.ok()
