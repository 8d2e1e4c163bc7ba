"""`python -m pollenmast.platform`: the program of a VM on the platform."""

import os
import sys

from pollenmast.platform._early import packet_socket

SETTINGS_VARIABLE = "POLLENMAST_CONFIG"
"""The environment variable that holds the path of the settings file."""


def _read() -> str:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read()


def main() -> int:
    """Runs the program; returns its exit code."""
    try:
        text = _read()
        sock = packet_socket(text)
    except OSError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        return 1
    # Loaded only now, when clients' packets already have a place to wait.
    from pollenmast.platform._start import start

    return start(text, sock, _read)


if __name__ == "__main__":
    sys.exit(main())
