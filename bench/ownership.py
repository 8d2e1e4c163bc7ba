"""Flow ownership: hash ring compared to a rendezvous-hashing table."""

import time
import tracemalloc

import xxhash

from pollenmast.decisions._ownership import Member, Ring, flow_hash

NAME = "ownership"
DESCRIPTION = "Ring of owners: build, change, lookup, share, by fleet size."

_SIZES = (9, 100, 400, 1400)
_LOOKUPS = 20_000
_BUCKETS = 65_536
_SAMPLED_BUCKETS = 200
"""Buckets that are filled; the time for the table is extrapolated."""

_ZONES = 7
_HASH_SPACE = 1 << 64
"""Number of positions on the ring."""


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(number, f"vm-{number}", f"zone-{number % _ZONES}")
        for number in range(count)
    )


def _max_over_mean_share(ring: Ring, count: int) -> float:
    """Returns the greatest share of the ring of any VM over the mean."""
    points, owners = ring._points, ring._owners
    parts: dict[int, int] = {}
    for index, owner in enumerate(owners):
        length = (points[index] - points[index - 1]) % _HASH_SPACE
        parts[owner.number] = parts.get(owner.number, 0) + length
    return max(parts.values()) / (_HASH_SPACE / count)


def _rendezvous_build_s(count: int) -> float:
    """Returns seconds to fill a table, extrapolated from sampled buckets."""
    names = [f"vm-{number}" for number in range(count)]
    start = time.process_time()
    for bucket in range(_SAMPLED_BUCKETS):
        max(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{name}#{bucket}".encode()  # noqa: B023
            ),
        )
    spent = time.process_time() - start
    return spent / _SAMPLED_BUCKETS * _BUCKETS


def _lookup_us(look) -> float:
    keys = [flow_hash(1, "10.0.0.1", port) for port in range(_LOOKUPS)]
    start = time.process_time()
    for key in keys:
        look(key)
    return (time.process_time() - start) / _LOOKUPS * 1e6


def _row(count: int) -> dict:
    members = _members(count)
    tracemalloc.start()
    ring = Ring(members)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    ring = Ring(members)
    build_s = time.process_time() - start
    start = time.process_time()
    ring.changed(members[1:])
    ring.changed((*members, Member(-1, "vm-new", "zone-0")))
    change_s = (time.process_time() - start) / 2
    return {
        "vms": count,
        "build_ms": build_s * 1e3,
        "change_ms": change_s * 1e3,
        "owner_us": _lookup_us(ring.owner),
        "backup_us": _lookup_us(lambda key: ring.backup(key, members[0])),
        "memory_kb": held / 1024,
        "greatest_share": _max_over_mean_share(ring, count),
        "rendezvous_table_ms": _rendezvous_build_s(count) * 1e3,
    }


def run() -> dict:
    """Runs the measurement."""
    return {"sizes": [_row(count) for count in _SIZES]}
