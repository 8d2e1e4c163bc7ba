"""The exit codes of every command."""

import enum


class ExitCode(enum.IntEnum):
    """The exit code of a command."""

    OK = 0
    FAILED = 1
    """The command could not be carried out, for example because a VM did not
    answer."""

    INVALID_INPUT = 2
    """The settings, the manifest or the command line are invalid."""

    FORCED = 3
    """A second signal ended a program before its graceful shutdown was done."""


HELP = (
    "Exit codes: 0 done; 1 could not be done; 2 wrong settings, manifest or"
    " command line; 3 ended at once by a second signal."
)
