"""An index of endpoints by a key that several of them may have."""

import math

from pollenmast.steering._record import Record


class SharedIndex:
    """The records of each key, the one that the key resolves to first.

    Tokens have 32 bits and names more, so two endpoints can have the same
    token. Its packets belong to the endpoint that was there first: only that
    one has open flows. Another one has none before the first is forgotten.
    """

    def __init__(self):
        self._records: dict[int, list[Record]] = {}
        self._shared: set[int] = set()

    @property
    def shared(self) -> list[int]:
        """The keys that more than one record has."""
        return list(self._shared)

    def is_shared(self, key: int) -> bool:
        """Whether more than one record has a key."""
        return key in self._shared

    def first(self, key: int) -> Record | None:
        """Returns the record that a key resolves to, None if there is none."""
        records = self._records.get(key)
        return records[0] if records else None

    def usable(self, key: int) -> list[Record]:
        """Returns the usable records of a key, the first one first."""
        return [r for r in self._records.get(key, ()) if r.usable]

    def add(self, key: int, record: Record) -> None:
        """Adds a record under a key."""
        records = self._records.setdefault(key, [])
        records.append(record)
        if len(records) > 1:
            self._shared.add(key)
            self.sort(key)

    def remove(self, key: int, record: Record) -> None:
        """Removes a record from a key."""
        records = self._records[key]
        records.remove(record)
        if len(records) <= 1:
            self._shared.discard(key)
        if not records:
            del self._records[key]

    def sort(self, key: int) -> None:
        """Sorts the records of a key again after a change of one."""
        self._records[key].sort(key=_precedence)


def _precedence(record: Record) -> tuple[float, int, str]:
    since = record.usable_since
    return math.inf if since is None else since, record.created, record.name
