"""The command-line interface."""

from pollenmast.cli._exits import ExitCode
from pollenmast.cli._main import main

__all__ = ["ExitCode", "main"]
