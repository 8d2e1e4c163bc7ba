"""Decides which of several endpoints with one token has its packets.

Two endpoints can have the same 32-bit token, a chance of some in a billion for
each start of an endpoint. Packets of the older one's open flows must not go to
the newer one, which would reset them. On a VM that knew the older one first,
that one keeps the token. A VM that starts learns of both at once and compares
when they say that they started or, where one does not say, when their entries
were created. The latter is wrong where an entry was lost and written again, and
both are where a configuration named the older one's service later. The VM
therefore drops packets with such a token until another VM has told the order or
`SETTLE_S` have passed; clients send them again.
"""

from collections.abc import Iterable, Mapping, Sequence

from pollenmast.steering._record import Record
from pollenmast.steering._shared_index import SharedIndex

SETTLE_S = 1.5
"""How long a VM that starts waits for the order of endpoints that share a
token, in seconds. A reader of its zone answers its first report with it."""


class TokenOwners:
    """The endpoints of each token and number, the one that has it first."""

    def __init__(self):
        self._by_token = SharedIndex()
        self._by_number = SharedIndex()
        self._unsettled_until: dict[int, float] = {}

    def by_number(self, number: int) -> Record | None:
        """Returns the endpoint with this number, as used between VMs."""
        return self._by_number.first(number)

    def by_token(self, token: int) -> Record | None:
        """Returns the endpoint to which packets with this token are sent.

        Returns:
            The endpoint, None if there is none or if its order with another one
            is not known yet.
        """
        if token in self._unsettled_until:
            return None
        record = self._by_token.first(token)
        if record is None or record.usable_since is not None:
            return record
        # Without a configuration nothing says which of several is in use.
        return None if self._by_token.is_shared(token) else record

    def add(self, record: Record) -> None:
        """Adds an endpoint."""
        self._by_token.add(record.endpoint.token, record)
        self._by_number.add(record.endpoint.number, record)

    def remove(self, record: Record) -> None:
        """Removes an endpoint."""
        self._by_token.remove(record.endpoint.token, record)
        self._by_number.remove(record.endpoint.number, record)

    def sort(self, record: Record) -> None:
        """Updates the order of an endpoint after it changed."""
        self._by_token.sort(record.endpoint.token)
        self._by_number.sort(record.endpoint.number)

    def await_order(self, told: Mapping[str, int], now: float) -> None:
        """Waits for the order of all endpoints that share a token.

        Args:
            told: The ages that came with the endpoints; see `ages`.
            now: The time of the runtime's clock in seconds.
        """
        for token in self._by_token.shared:
            records = self._by_token.usable(token)
            if not _all_named(records, told):
                self._order_by_start(records)
                self._unsettled_until[token] = now + SETTLE_S

    def expire(self, now: float) -> None:
        """Ends waiting for an order that no VM has told in time."""
        self._unsettled_until = {
            token: until
            for token, until in self._unsettled_until.items()
            if now < until
        }

    def ages(self) -> dict[str, int]:
        """Returns the order of the endpoints that share a token, for other VMs.

        Returns:
            A number for each such endpoint; of those that share a token, the
            one with the lowest has it.
        """
        ages: dict[str, int] = {}
        for token in self._by_token.shared:
            if token in self._unsettled_until:
                continue
            later = None
            for record in reversed(self._by_token.usable(token)):
                age = record.created
                if later is not None:
                    age = min(age, later - 1)
                ages[record.name] = later = age
        return ages

    def on_ages_told(self, ages: Mapping[str, int]) -> None:
        """Adopts the order that another VM has told, where none is known."""
        for token in list(self._unsettled_until):
            records = self._by_token.usable(token)
            if not _all_named(records, ages):
                continue
            self._set_ages(records, ages)
            del self._unsettled_until[token]

    def _order_by_start(self, records: Sequence[Record]) -> None:
        """Orders endpoints by when they started, if all of them say so."""
        starts = {
            record.name: record.endpoint.started_ms
            for record in records
            if record.endpoint.states_start
        }
        if _all_named(records, starts):
            self._set_ages(records, starts)

    def _set_ages(
        self, records: Sequence[Record], ages: Mapping[str, int]
    ) -> None:
        for record in records:
            record.created = ages[record.name]
        for record in records:
            self.sort(record)


def _all_named(records: Iterable[Record], ages: Mapping[str, int]) -> bool:
    return all(record.name in ages for record in records)
