"""`python -m pollenmast.platform`: the program of a VM on the platform."""

import os
import pathlib
import sys

from result import Err, Result

from pollenmast import entry
from pollenmast.counters import Counters
from pollenmast.entry import EntrySettings
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._probe import EndpointProbe
from pollenmast.platform._settings import SETTINGS_VARIABLE, read_settings
from pollenmast.platform._store import StoreDirectory


def _load() -> Result[EntrySettings, str]:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{SETTINGS_VARIABLE}: {error}")
    return read_settings(text)


def main() -> int:
    """Runs the program; returns its exit code."""
    loaded = _load()
    if isinstance(loaded, Err):
        print(f"settings: {loaded.err_value}", file=sys.stderr)
        return entry.EXIT_SETTINGS
    settings = loaded.ok_value
    counters = Counters()
    ports = entry.Ports(
        packets=PlatformPackets(settings.packets[1]),
        directory=StoreDirectory(*settings.directory, counters),
        probe=EndpointProbe(),
        load=_load,
    )
    return entry.run(settings, ports, counters)


if __name__ == "__main__":
    sys.exit(main())
