"""The entry point of the command line."""

import sys

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._run import run_agent, run_relay


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    `relay --settings FILE` and `agent --settings FILE` run without importing
    typer. These programs run for months, and typer would stay in memory after
    parsing a single option; docs/BINARY.md gives its share of the agent's
    memory.

    Args:
        arguments: The arguments after the program's name; those of the
            process by default.
    """
    words = sys.argv[1:] if arguments is None else arguments
    match words:
        case ["relay", "--settings", file]:
            return run_relay(file)
        case ["agent", "--settings", file]:
            return run_agent(file)
    return _run_app(words)


def _run_app(words: list[str]) -> int:
    from pollenmast.cli._app import app

    try:
        app(words)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else ExitCode.FAILED
    return ExitCode.OK
