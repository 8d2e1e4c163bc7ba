"""Entry point of a VM on the platform: `python -m pollenmast.platform`."""

import gc
import os
import signal
import sys

from pollenmast.platform._early import open_packet_socket, send_list_request

SETTINGS_VARIABLE = "POLLENMAST_CONFIG"
"""Name of the environment variable with the path of the settings file."""


def _read_settings() -> str:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read()


def main() -> int:
    """Runs the program and returns its exit code."""
    # SIGHUP announces changed settings, but its default action ends the
    # process: a VM that is still starting would have to start again and would
    # forward no packets meanwhile. The signal can be ignored until the event
    # loop installs its handler, because the settings are read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loaded modules are never freed, yet garbage collection during loading
    # took a tenth of the time from start to first packet. It is enabled again
    # when the event loop runs.
    gc.disable()
    try:
        text = _read_settings()
        sock = open_packet_socket(text)
        store_request = send_list_request(text)
    except OSError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        return 1
    # Imported this late so that clients' packets are already buffered and the
    # store's response is on its way while the modules load.
    from pollenmast.platform._start import start

    return start(text, sock, store_request, _read_settings)


if __name__ == "__main__":
    sys.exit(main())
