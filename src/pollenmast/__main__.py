"""Runs the command-line interface: `python -m pollenmast`."""

import sys

from pollenmast.cli import main

if __name__ == "__main__":
    sys.exit(main())
