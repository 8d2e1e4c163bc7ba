"""Which VMs of a zone watch the directory for the others.

Load pattern: every call to the directory is counted and paid for, and its
rates grow more slowly than the fleet. If each VM watched, each change would
be told as often as there are VMs. So a few of each zone watch; the others
hear of a change from them, and ask for themselves only when they have not
heard for too long that nothing is newer.
"""

import zlib
from collections.abc import Iterable

READERS = 2
"""Readers of a zone: one can be lost without a gap."""

SMALL_ZONE = 4
"""Up to so many VMs a zone has one reader: the zones hear from each other,
and the loss of one reader is bridged by them."""


def readers(zone: str, vms: Iterable[str]) -> list[str]:
    """Returns the readers, alike on every VM that knows the same VMs.

    Rendezvous hashing: the loss of a VM moves only its own turn.
    """
    ranked = sorted(vms, key=lambda vm: zlib.crc32(f"{zone}/{vm}".encode()))
    return ranked[: 1 if len(ranked) <= SMALL_ZONE else READERS]
