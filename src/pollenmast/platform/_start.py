"""Starts the program of a VM with the adapter for the platform."""

import os
import socket
import sys
from collections.abc import Callable

from result import Err, Result

from pollenmast import entry
from pollenmast.counters import Counters
from pollenmast.entry import EntrySettings
from pollenmast.platform._early_client import EarlyStoreClient
from pollenmast.platform._first_read import StoreFirstRead
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._settings import parse_settings


def start(
    text: str,
    sock: socket.socket | None,
    store_request: tuple[socket.socket, int] | None,
    read_text: Callable[[], str],
) -> int:
    """Runs the program of a VM.

    Args:
        text: The content of the settings file.
        sock: The socket that receives clients' packets, or None if the
            settings contain no address for it.
        store_request: A connection to the store and the number of bytes of the
            first request that were sent, or None if there is none.
        read_text: Reads the settings file again; may raise OSError.

    Returns:
        The exit code.
    """
    parsed = _parse(text)
    if isinstance(parsed, Err) or sock is None:
        print(f"settings: {parsed.err()}", file=sys.stderr)
        return entry.EXIT_SETTINGS
    settings = parsed.ok_value
    counters = Counters()
    packets = PlatformPackets(settings.packets[1])
    first_read = None
    if store_request is not None:
        first_read = StoreFirstRead(EarlyStoreClient(*store_request), counters)
    parts = entry.build_components(settings, packets, counters, sock)
    boot = entry.Boot(parts, first_read)
    boot.load()
    return entry.run(
        parts, _make_ports(settings, packets, counters, read_text), boot
    )


def _parse(text: str) -> Result[EntrySettings, str]:
    return parse_settings(text, os.environ.get(entry.ADMISSION_VARIABLE, ""))


def _make_ports(
    settings: EntrySettings,
    packets: PlatformPackets,
    counters: Counters,
    read_text: Callable[[], str],
) -> entry.Ports:
    """Makes the parts that are needed only after the program is loaded."""
    from pollenmast.platform._probe import EndpointProbe
    from pollenmast.platform._store import StoreDirectory

    def load() -> Result[EntrySettings, str]:
        try:
            return _parse(read_text())
        except OSError as error:
            return Err(str(error))

    return entry.Ports(
        packets=packets,
        directory=StoreDirectory(*settings.directory, counters),
        probe=EndpointProbe(),
        load=load,
    )
