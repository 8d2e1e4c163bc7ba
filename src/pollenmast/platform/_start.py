"""Joins the platform's side to the program of a VM."""

import socket
import sys
from collections.abc import Callable

from result import Err, Result

from pollenmast import entry
from pollenmast.counters import Counters
from pollenmast.entry import EntrySettings
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._probe import EndpointProbe
from pollenmast.platform._settings import read_settings
from pollenmast.platform._store import StoreDirectory


def start(
    text: str, sock: socket.socket | None, read: Callable[[], str]
) -> int:
    """Runs the program of a VM.

    Args:
        text: The settings file's text.
        sock: The socket of clients' packets.
        read: Reads the settings file again; it may raise OSError.

    Returns:
        The exit code.
    """
    checked = read_settings(text)
    if isinstance(checked, Err) or sock is None:
        print(f"settings: {checked.err()}", file=sys.stderr)
        return entry.EXIT_SETTINGS
    settings = checked.ok_value
    counters = Counters()

    def load() -> Result[EntrySettings, str]:
        try:
            return read_settings(read())
        except OSError as error:
            return Err(str(error))

    ports = entry.Ports(
        packets=PlatformPackets(settings.packets[1]),
        directory=StoreDirectory(*settings.directory, counters),
        probe=EndpointProbe(),
        load=load,
    )
    return entry.run(settings, ports, counters, sock)
