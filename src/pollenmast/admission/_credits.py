"""Allocates the endpoints' credits to the VMs that share them.

At high load, reports between VMs are older than a request takes, and one VM
sees only a few of an endpoint's requests. If every VM placed its flows at
random, the queue lengths would be nearly geometric: some endpoints would reject
requests while others are idle. So each endpoint has a fixed number of credits,
one for each request in progress, and every credit belongs to one VM.

Each VM computes its credits from the members that it knows, without a message.
"""

import zlib
from collections.abc import Iterable, Mapping

OCCUPANCY_PER_SLOT = 2
"""Credits for each slot of an endpoint: a request in progress and one that
waits. With one, a slot would be idle between two requests; with more, requests
would wait longer than one service time."""


def allocate(
    slots: Mapping[str, int], vms: Iterable[str], own: str
) -> dict[str, int]:
    """Returns one VM's credits by endpoint.

    They are allocated round-robin, so that the VMs' totals differ by one at
    most and the credits of one endpoint belong to different VMs where there
    are enough of them.

    Args:
        slots: The slots of each endpoint.
        vms: The VMs that share the endpoints; `own` may be among them.
        own: The VM whose credits are returned.
    """
    ring = sorted({*vms, own}, key=_rank)
    position, count = ring.index(own), len(ring)
    allocated: dict[str, int] = {}
    index = 0
    for endpoint in sorted(slots, key=_rank):
        credits = slots[endpoint] * OCCUPANCY_PER_SLOT
        own_credits = range((position - index) % count, credits, count)
        if own_credits:
            allocated[endpoint] = len(own_credits)
        index += credits
    return allocated


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
