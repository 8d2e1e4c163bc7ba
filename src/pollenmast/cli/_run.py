"""Starts the two programs of a VM."""

import os
import sys

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._output import print_error
from pollenmast.events import write_to
from pollenmast.settings import Settings, load


def run_relay(file: str) -> int:
    """Runs the relay with a settings file and returns the exit code."""
    settings = _load_settings(file)
    if settings is None:
        return ExitCode.INVALID_INPUT
    # Both programs are imported in their functions: otherwise each would load
    # the modules of the other, and a small VM has little memory.
    from pollenmast import relay

    return relay.run(settings)


def run_agent(file: str) -> int:
    """Runs the agent with a settings file and returns the exit code."""
    settings = _load_settings(file)
    if settings is None:
        return ExitCode.INVALID_INPUT
    from pollenmast import agent

    return agent.run(settings)


def _load_settings(file: str) -> Settings | None:
    """Loads the settings and starts the log.

    The log starts before any module of a program can write to it, because
    eliot keeps lines in memory until it has a destination.

    Returns:
        The settings, or None after printing every fault in them.
    """
    checked = load(file, os.environ)
    for fault in checked.err() or ():
        print_error(str(fault))
    if checked.is_ok():
        write_to(sys.stderr)
    return checked.ok()
