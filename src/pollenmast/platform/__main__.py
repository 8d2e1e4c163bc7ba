"""`python -m pollenmast.platform`: the program of a VM on the platform."""

import gc
import os
import signal
import sys

from pollenmast.platform._early import ask_store, packet_socket

SETTINGS_VARIABLE = "POLLENMAST_CONFIG"
"""The environment variable that holds the path of the settings file."""


def _read() -> str:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read()


def main() -> int:
    """Runs the program; returns its exit code."""
    # By default the signal that the settings have changed ends a process. A
    # VM that is still starting would be started again, and carry nothing for
    # as long. The settings are read below; the event loop sets its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What is loaded stays: collections meanwhile took a tenth of the time
    # from start to first packet. They begin when the event loop runs.
    gc.disable()
    try:
        text = _read()
        sock = packet_socket(text)
        asked = ask_store(text)
    except OSError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        return 1
    # Loaded only now, when clients' packets have a place to wait and the
    # store is asked.
    from pollenmast.platform._start import start

    return start(text, sock, asked, _read)


if __name__ == "__main__":
    sys.exit(main())
