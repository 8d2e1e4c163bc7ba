"""An index of endpoints by a key that several of them may have."""

from pollenmast.steering._record import Record


class SharedIndex:
    """The records of each key, the one that the key resolves to first.

    Tokens have 32 bits and names more, so two endpoints can have the same
    token. All VMs must send its packets to the same one of them.
    """

    def __init__(self):
        self._records: dict[int, list[Record]] = {}

    def first(self, key: int) -> Record | None:
        """Returns the record that a key resolves to, None if there is none."""
        records = self._records.get(key)
        return records[0] if records else None

    def add(self, key: int, record: Record) -> None:
        """Adds a record under a key."""
        self._records.setdefault(key, []).append(record)
        self.sort(key)

    def remove(self, key: int, record: Record) -> None:
        """Removes a record from a key."""
        records = self._records[key]
        records.remove(record)
        if not records:
            del self._records[key]

    def sort(self, key: int) -> None:
        """Sorts the records of a key again after a change of one."""
        self._records[key].sort(key=_precedence)


def _precedence(record: Record) -> tuple[bool, str]:
    return not record.usable, record.endpoint.name
