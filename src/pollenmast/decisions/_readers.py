"""Who watches the platform, and how often the others read it.

The pattern: the platform counts every read and a waiting watch as one, about
2,000 a second for everybody, and its rates grow more slowly than the fleet.
If every VM watched, reads would grow with the fleet; if one did, its loss
would lose updates. Two in each availability zone watch; the rest hear of a
new manifest from peers and read the platform rarely, as a fallback.
"""

import random
from collections.abc import Iterable

import xxhash

from pollenmast.fleet import Vm, VmState

WATCHERS = 2
"""Watchers of a zone: one can be lost without a gap in the zone's watch."""

WATCH_S = 5.0
"""Length of one watch; a watcher makes one call for each and one to see whether
the version that it knows was published again with another content, in
seconds."""

FALLBACK_S = 30.0
"""Shortest time between two fallback reads of one VM, in seconds. It bounds
how late a zone learns of a manifest whose watchers are all wedged."""

FLEET_READS_PER_S = 5.0
"""Fallback reads of the whole fleet, a second; above 150 VMs the interval
grows with the fleet. A four-hundredth of the platform's 2,000 a second."""

JITTER = 0.3
"""Spread of an interval, so that VMs started together do not read together."""


def watchers(zone: str, vms: Iterable[Vm]) -> tuple[str, ...]:
    """Returns the names of the zone's VMs that watch the platform.

    Rendezvous hashing: every VM computes the same without a message, and a
    VM's loss moves only its own turn.
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
    """Returns the seconds until this VM's next fallback read."""
    base = max(FALLBACK_S, fleet / FLEET_READS_PER_S)
    return base * rng.uniform(1 - JITTER, 1 + JITTER)
