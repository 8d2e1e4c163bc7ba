"""Joins the platform's side to the program of a VM."""

import socket
import sys
from collections.abc import Callable

from result import Err, Result

from pollenmast import entry
from pollenmast.counters import Counters
from pollenmast.entry import EntrySettings
from pollenmast.platform._first_read import StoreFirstRead
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._question import StoreQuestion
from pollenmast.platform._settings import read_settings


def start(
    text: str,
    sock: socket.socket | None,
    asked: tuple[socket.socket, int] | None,
    read: Callable[[], str],
) -> int:
    """Runs the program of a VM.

    Args:
        text: The settings file's text.
        sock: The socket of clients' packets.
        asked: A connection to the store and how many bytes of the first
            question were sent, or None.
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
    packets = PlatformPackets(settings.packets[1])
    first_read = None
    if asked is not None:
        first_read = StoreFirstRead(StoreQuestion(*asked), counters)
    parts = entry.early(settings, packets, counters, sock)
    boot = entry.Boot(parts, first_read)
    boot.load()
    return entry.run(parts, _ports(settings, packets, counters, read), boot)


def _ports(
    settings: EntrySettings,
    packets: PlatformPackets,
    counters: Counters,
    read: Callable[[], str],
) -> entry.Ports:
    """Returns what only the whole program needs."""
    from pollenmast.platform._probe import EndpointProbe
    from pollenmast.platform._store import StoreDirectory

    def load() -> Result[EntrySettings, str]:
        try:
            return read_settings(read())
        except OSError as error:
            return Err(str(error))

    return entry.Ports(
        packets=packets,
        directory=StoreDirectory(*settings.directory, counters),
        probe=EndpointProbe(),
        load=load,
    )
