"""The program of a VM whose packets identify their endpoint by a token.

Most of the program is loaded while packets are already forwarded; see `_boot`.
"""

from pollenmast.entry._admission_settings import (
    ADMISSION_VARIABLE,
    ALL,
    COMPONENTS,
    disabled_components,
    parse_admission,
)
from pollenmast.entry._boot import (
    Boot,
    BootComponents,
    InitialRead,
    build_components,
)
from pollenmast.entry._ports import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_SETTINGS,
    Address,
    EntrySettings,
    HealthProbe,
    PacketFormat,
    Ports,
)


def run(components: BootComponents, ports: Ports, boot: Boot) -> int:
    """Runs the program of a VM until it is stopped; returns its exit code."""
    # Not imported at the top, as `Boot.load` loads it while packets are
    # forwarded.
    from pollenmast.entry import _program

    return _program.run(components, ports, boot)


__all__ = [
    "ADMISSION_VARIABLE",
    "ALL",
    "COMPONENTS",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_SETTINGS",
    "Address",
    "Boot",
    "BootComponents",
    "EntrySettings",
    "InitialRead",
    "HealthProbe",
    "PacketFormat",
    "Ports",
    "build_components",
    "disabled_components",
    "parse_admission",
    "run",
]
