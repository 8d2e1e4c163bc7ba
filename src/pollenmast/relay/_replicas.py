"""Flow records that this relay keeps for other relays."""

import attrs

from pollenmast.peers._records import FlowRecord

MOST_REPLICAS = 500_000
"""Twice the flows of one relay, so that a neighbour's whole table fits beside
the usual share; about 100 MB at the worst."""


@attrs.frozen(slots=True)
class Replica:
    """Where a flow goes and who carries it.

    Attributes:
        holder: Number of the VM that carries the flow.
        endpoint: `peers.endpoint_id` of its endpoint.
    """

    holder: int
    endpoint: int


class Replicas:
    """The records by service and caller."""

    def __init__(self):
        self._replicas: dict[tuple[int, str, int], Replica] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def keep(self, record: FlowRecord, holder: int) -> bool:
        """Keeps a record for its holder; returns whether it fitted."""
        key = (record.service_port, record.ip, record.port)
        if len(self) >= MOST_REPLICAS and key not in self._replicas:
            return False
        self._replicas[key] = Replica(holder, record.endpoint)
        return True

    def forget(self, record: FlowRecord, holder: int) -> None:
        """Forgets a record, unless another VM carries the flow by now."""
        key = (record.service_port, record.ip, record.port)
        replica = self._replicas.get(key)
        if replica is not None and replica.holder == holder:
            del self._replicas[key]

    def find(
        self, service_port: int, caller: tuple[str, int]
    ) -> Replica | None:
        """Returns the record of a caller's flow."""
        return self._replicas.get((service_port, *caller))

    def drop(self, service_port: int, caller: tuple[str, int]) -> None:
        """Drops the record of a flow that this relay now carries itself."""
        self._replicas.pop((service_port, *caller), None)

    def drop_holders(self, holders: set[int]) -> int:
        """Drops the records of VMs long gone; returns how many."""
        gone = [
            key
            for key, replica in self._replicas.items()
            if replica.holder in holders
        ]
        for key in gone:
            del self._replicas[key]
        return len(gone)

    def holders(self) -> set[int]:
        """Returns every VM that a record is kept for."""
        return {replica.holder for replica in self._replicas.values()}
