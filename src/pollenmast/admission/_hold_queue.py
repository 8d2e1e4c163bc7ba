"""Held flows of one service: by priority, then fairly by account.

It answers a load of more flows than the service has capacity for, of which the
urgent ones must not wait behind the others.
"""

from pollenmast.admission._fairness import FairQueue, HeldFlow, network_of
from pollenmast.admission._model import FlowArrival
from pollenmast.admission._usage import RecentUsage


class HoldQueue:
    """Fair queues of held flows, one for each priority."""

    def __init__(self):
        self._usage = RecentUsage()
        self._queues: dict[int, FairQueue] = {}
        self._arrivals: dict[int, tuple[FlowArrival, int, float]] = {}

    def __len__(self) -> int:
        return len(self._arrivals)

    def count(self, level: int) -> int:
        """Returns how many held flows are of the same level or a lower one."""
        return sum(
            len(queue)
            for other, queue in self._queues.items()
            if other <= level
        )

    def ahead(self, level: int, caller: str, now: float) -> int:
        """Returns how many held flows would go before a new one.

        Flows of accounts with more recently served flows do not, so that an
        account that fills the queue does not cause refusals of the others.
        """
        ahead = self.count(level - 1)
        queue = self._queues.get(level)
        return ahead if queue is None else ahead + queue.ahead(caller, now)

    def push(
        self, arrival: FlowArrival, level: int, until: float, now: float
    ) -> None:
        """Holds a flow, unless one with its ticket is held already.

        Args:
            arrival: The flow.
            level: Its level; lower ones go first.
            until: When its hold expires.
            now: The runtime's clock in seconds.
        """
        if arrival.ticket in self._arrivals:
            return
        if level not in self._queues:
            self._queues[level] = FairQueue(self._usage)
        self._queues[level].push(HeldFlow(arrival, until))
        self._arrivals[arrival.ticket] = arrival, level, now

    def pop(self, now: float) -> tuple[FlowArrival, float] | None:
        """Removes the next flow; returns it and when it was pushed."""
        for level in sorted(self._queues):
            held = self._queues[level].pop(now)
            if held is not None:
                return self._take(held)
        return None

    def pop_expired(self, now: float) -> list[tuple[FlowArrival, float]]:
        """Removes the flows whose hold has expired."""
        expired = []
        for queue in self._queues.values():
            expired += [self._take(held) for held in queue.expired(now)]
        return expired

    def remove(self, ticket: int) -> None:
        """Removes a flow whose client has given up."""
        entry = self._arrivals.pop(ticket, None)
        if entry is not None:
            self._queues[entry[1]].remove(ticket)

    def next_expiry(self) -> float | None:
        """Returns when the next hold expires, None if nothing is held."""
        return min(
            (
                queue.next_expiry()
                for queue in self._queues.values()
                if len(queue)
            ),
            default=None,
        )

    def on_admitted(self, arrival: FlowArrival, now: float) -> None:
        """Counts a flow that was admitted, for its account's share."""
        self._usage.add(network_of(arrival.caller), now)

    def _take(self, held: HeldFlow) -> tuple[FlowArrival, float]:
        arrival, _, since = self._arrivals.pop(held.request.ticket)
        return arrival, since
