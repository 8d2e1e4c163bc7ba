"""Runs all tests except those listed in KNOWN-RED.txt, which it prints.

A line of KNOWN-RED.txt is `TEST_ID | command and seed | seen | cause | issue`,
where TEST_ID is the node id that pytest prints. All other tests must pass.
"""

import pathlib
import sys

import pytest

_LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_MAX_LINES = 3
_WORKERS = "6"


def known_red() -> list[str]:
    """Returns the listed test ids.

    Raises:
        SystemExit: The file has more than three lines.
    """
    lines = [line for line in _LIST.read_text().splitlines() if line.strip()]
    if len(lines) > _MAX_LINES:
        raise SystemExit(f"{_LIST.name}: more than {_MAX_LINES} lines")
    return [line.split("|")[0].strip() for line in lines]


def main() -> int:
    """Runs pytest without the listed tests and returns its exit code."""
    listed = known_red()
    for test in listed:
        print(f"known red, not run: {test}")
    deselected = [f"--deselect={test}" for test in listed]
    return int(pytest.main(["-n", _WORKERS, *deselected, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
