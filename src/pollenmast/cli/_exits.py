"""The exit codes of every command."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's end means."""

    OK = 0
    FAILED = 1
    """It could not be done, such as when a VM did not answer."""

    REFUSED = 2
    """The settings, the manifest or the command line are wrong."""

    CUT = 3
    """A second signal ended a program before its graceful shutdown did."""


MEANINGS = (
    "Exit codes: 0 done; 1 could not be done; 2 wrong settings, manifest or"
    " command line; 3 ended at once by a second signal."
)
