"""Selects the VMs that watch the platform; schedules the others' reads.

The platform limits all its users together to about 2,000 reads per second, a
pending watch counts as a read, and the limit grows more slowly than the fleet.
If every VM watched, reads would grow with the fleet. If a single VM did, its
loss would lose updates. Therefore two VMs in each availability zone watch. The
other VMs learn of a new manifest from their peers and read from the platform
rarely, as a fallback.
"""

import random
from collections.abc import Iterable

import xxhash

from pollenmast.fleet import Vm, VmState

WATCHERS = 2
"""Watchers per availability zone. With two, the loss of one does not interrupt
the watch."""

WATCH_S = 5.0
"""Duration of one watch, in seconds. A watcher makes one call per watch, and
one more to check whether the version that it knows was published again with
other content."""

FALLBACK_S = 30.0
"""Minimum mean interval between two fallback reads of one VM, in seconds. It
limits the delay until a zone learns of a new manifest while all of its watchers
hang."""

FLEET_READS_PER_S = 5.0
"""Fallback reads of the whole fleet, per second. Above 150 VMs the interval
grows with the fleet. This is one four-hundredth of the platform's 2,000 reads
per second."""

JITTER = 0.3
"""Random variation of an interval, as a fraction of it, so that VMs that were
started together do not read together."""


def watchers(zone: str, vms: Iterable[Vm]) -> tuple[str, ...]:
    """Returns the names of the zone's VMs that watch the platform.

    With rendezvous hashing, every VM computes the same watchers without
    exchanging messages, and the loss of a watcher replaces only that watcher.
    """
    names = [
        vm.name
        for vm in vms
        if vm.zone == zone and vm.state is not VmState.DEAD
    ]
    names.sort(key=lambda name: _rank(zone, name))
    return tuple(names[:WATCHERS])


def _rank(zone: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{zone}/{name}".encode())


def fallback_interval(fleet: int, rng: random.Random) -> float:
    """Returns the time until the local VM's next fallback read, in seconds."""
    base = max(FALLBACK_S, fleet / FLEET_READS_PER_S)
    return base * rng.uniform(1 - JITTER, 1 + JITTER)
