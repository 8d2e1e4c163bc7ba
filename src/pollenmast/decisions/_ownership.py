"""Flow ownership by consistent hashing.

Any packet of a flow may reach any VM, so all VMs must determine the same owner
without communication. The cost of a lookup in the hash ring does not grow with
the fleet, and a VM that joins or leaves moves only the flows next to its own
points.

The alternative, a table of buckets filled by rendezvous hashing, was rejected:
for 1,400 VMs and 65,536 buckets it takes 92 million hashes to build, which is
half a minute of processor time on a starting VM
(`python -m bench run ownership`).
"""

import bisect
import operator

import attrs
import xxhash

POINTS_PER_VM = 160
"""Points of one VM on the ring. With nine VMs, the largest share is then about
1.15 times the mean; more points cost memory and rebuild time
(`python -m bench run ownership`)."""

REBUILD_SHARE = 0.05
"""Changed fraction of the fleet above which building a new ring is cheaper than
updating the old one (`python -m bench run ownership`)."""

MAX_VISITED_POINTS = 64
"""Maximum number of points to visit in search of a successor. With 7 zones, the
probability that 64 points all belong to one zone is below one in 10^9."""


def flow_hash(service_port: int, ip: str, port: int) -> int:
    """Returns the 64-bit hash of a flow's key, the same on every VM."""
    return xxhash.xxh3_64_intdigest(f"{service_port}|{ip}|{port}".encode())


def connection_id_hash(service_port: int, cid: int) -> int:
    """Returns the 64-bit hash of a connection id, the same on every VM."""
    return xxhash.xxh3_64_intdigest(f"{service_port}#{cid}".encode())


@attrs.frozen
class Member:
    """A VM on the ring.

    Attributes:
        number: The VM's number, `peers.sender_id` of its name.
        name: The VM's name.
        zone: The VM's availability zone.
    """

    number: int
    name: str
    zone: str


class Ring:
    """A hash ring that maps flows to their owners, for one set of members."""

    def __init__(self, members: tuple[Member, ...] = ()):
        entries = [
            (point, member) for member in members for point in _points(member)
        ]
        entries.sort(key=operator.itemgetter(0))
        self._members = members
        self._points = [point for point, _ in entries]
        self._owners = [owner for _, owner in entries]

    def changed(self, members: tuple[Member, ...]) -> "Ring":
        """Returns the ring for another set of members.

        With 1,400 VMs the members change every ten seconds, mostly by one VM.
        Then only the points of added and removed VMs are updated.
        """
        added = set(members) - set(self._members)
        removed = set(self._members) - set(members)
        if len(added) + len(removed) > len(self._members) * REBUILD_SHARE:
            return Ring(members)
        ring = Ring()
        ring._members = members
        ring._points = self._points.copy()
        ring._owners = self._owners.copy()
        for member in removed:
            ring._remove(member)
        for member in added:
            ring._add(member)
        return ring

    def _add(self, member: Member) -> None:
        for point in _points(member):
            position = bisect.bisect_left(self._points, point)
            self._points.insert(position, point)
            self._owners.insert(position, member)

    def _remove(self, member: Member) -> None:
        for point in _points(member):
            position = bisect.bisect_left(self._points, point)
            del self._points[position]
            del self._owners[position]

    @property
    def members(self) -> tuple[Member, ...]:
        """The VMs on the ring."""
        return self._members

    def owner(self, key: int) -> Member | None:
        """Returns the owner of the flow with hash `key`."""
        if not self._points:
            return None
        return self._owners[self._position(key)]

    def preference_list(self, key: int, count: int) -> tuple[Member, ...]:
        """Returns up to `count` VMs: the owner, then its successors."""
        found: dict[int, Member] = {}
        for member in self._walk(key):
            found[member.number] = member
            if len(found) == count:
                break
        return tuple(found.values())

    def backup(self, key: int, holder: Member) -> Member | None:
        """Returns the VM that stores the flow's record for its holder.

        If the holder is not the owner, the owner stores the record, because
        packets that no VM has placed arrive there. If the holder owns the
        flow, the next VM in another availability zone stores it, so that the
        loss of a zone does not lose both; with a single zone, the next VM
        does.
        """
        fallback: Member | None = None
        for rank, member in enumerate(self._walk(key)):
            if member.number == holder.number:
                continue
            if rank == 0 or member.zone != holder.zone:
                return member
            fallback = fallback or member
        return fallback

    def _walk(self, key: int):
        if not self._points:
            return
        start = self._position(key)
        size = len(self._points)
        for step in range(min(size, MAX_VISITED_POINTS)):
            yield self._owners[(start + step) % size]

    def _position(self, key: int) -> int:
        return bisect.bisect_left(self._points, key) % len(self._points)


def _points(member: Member) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(f"{member.name}#{n}".encode())
        for n in range(POINTS_PER_VM)
    ]
