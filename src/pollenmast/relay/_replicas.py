"""Flow records that this relay stores for other relays."""

import attrs

from pollenmast.peers._records import FlowRecord

MAX_REPLICAS = 500_000
"""Limit on stored records.

Twice the flows of one relay, so that the whole table of another relay fits in
addition to the usual share. Takes about 100 MB in the worst case.
"""


@attrs.frozen(slots=True)
class Replica:
    """The endpoint of a flow and the VM that forwards it.

    Attributes:
        holder: Number of the VM that forwards the flow.
        endpoint: `peers.endpoint_id` of its endpoint.
    """

    holder: int
    endpoint: int


class Replicas:
    """The stored records by service port and caller."""

    def __init__(self):
        self._replicas: dict[tuple[int, str, int], Replica] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def keep(self, record: FlowRecord, holder: int) -> bool:
        """Stores a record for its holder; returns False if there is no room."""
        key = (record.service_port, record.ip, record.port)
        if len(self) >= MAX_REPLICAS and key not in self._replicas:
            return False
        self._replicas[key] = Replica(holder, record.endpoint)
        return True

    def forget(self, record: FlowRecord, holder: int) -> None:
        """Deletes a record, unless another VM has become the holder."""
        key = (record.service_port, record.ip, record.port)
        replica = self._replicas.get(key)
        if replica is not None and replica.holder == holder:
            del self._replicas[key]

    def find(
        self, service_port: int, caller: tuple[str, int]
    ) -> Replica | None:
        """Returns the record of a caller's flow, or None."""
        return self._replicas.get((service_port, *caller))

    def drop(self, service_port: int, caller: tuple[str, int]) -> None:
        """Deletes the record of a flow that this relay now forwards itself."""
        self._replicas.pop((service_port, *caller), None)

    def drop_holders(self, holders: set[int]) -> int:
        """Deletes the records of the given holders; returns how many.

        Meant for VMs that left long ago.
        """
        gone = [
            key
            for key, replica in self._replicas.items()
            if replica.holder in holders
        ]
        for key in gone:
            del self._replicas[key]
        return len(gone)

    def holders(self) -> set[int]:
        """Returns the numbers of all VMs that records are stored for."""
        return {replica.holder for replica in self._replicas.values()}
