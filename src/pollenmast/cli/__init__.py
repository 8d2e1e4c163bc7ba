"""The command line."""

from pollenmast.cli._app import main
from pollenmast.cli._exits import ExitCode

__all__ = ["ExitCode", "main"]
