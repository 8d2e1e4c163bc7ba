"""Where the command line starts."""

import sys

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._run import run_agent, run_relay


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    The two long-running programs in their plain form start without the
    command line's library. It would stay loaded for months to have read one
    option; docs/BINARY.md gives its share of the agent's memory.
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
