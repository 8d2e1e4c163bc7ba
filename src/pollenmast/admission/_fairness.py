"""Fair queueing of held flows, by the caller's network.

One caller, or one network of callers, may send many times what all others send.
In a single FIFO queue its flows would fill the queue, and everyone else would
wait behind them or be refused. Plain round robin is not enough either: many
small networks hold one flow each, as the heavy one does, so the heavy network
would get every second turn and crowd the others out of a short queue.

Networks with the fewest recently served flows go first, in order of arrival.
Within a network the callers take turns. When too many flows are held, the
network with the largest claim, the sum of its held and recently served flows,
loses its newest flow.

A network is a /24 of IPv4 or a /64 of IPv6. Sites commonly get prefixes of
these sizes, so a caller with many addresses of its own counts once.
"""

from typing import Protocol

import attrs

from pollenmast.admission._usage import RecentUsage

USAGE_TOLERANCE = 4.0
"""Difference in recently served flows that is ignored.

A smaller difference is chance. If the order followed it, some flows would
wait until their hold expires.
"""


MAX_NETWORK_FRACTION = 0.5
"""Maximum fraction of held flows of one network while others call too.

The flows of a heavy network go last, so with more of them the last ones would
wait until their hold expires and be refused then. The other half of the queue
stays free for flows of other networks.
"""


def network_of(caller: str) -> str:
    """Returns the caller's network, by which flows are queued fairly."""
    if ":" not in caller:
        return caller.rpartition(".")[0]
    # Not loaded at a VM's start, which should forward packets first: most
    # callers have IPv4 addresses.
    import ipaddress

    address = ipaddress.IPv6Address(caller.partition("%")[0])
    if address.ipv4_mapped is not None:
        # All mapped addresses share one /64: all IPv4 callers would be one.
        return network_of(str(address.ipv4_mapped))
    return address.packed[:8].hex()


class QueueableFlow(Protocol):
    """A flow that can be held.

    Attributes:
        ticket: Identifies the flow while it is held.
        caller: The caller's IP address, without the port.
    """

    ticket: int
    caller: str


@attrs.define(eq=False)
class HeldFlow:
    """A held flow and the time at which its hold expires."""

    request: QueueableFlow
    until: float
    network: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.network = network_of(self.request.caller)


class _NetworkQueue:
    """Held flows of one network: a FIFO queue per caller, in round robin."""

    def __init__(self):
        self.callers: dict[str, dict[int, HeldFlow]] = {}
        self.count = 0

    def first(self) -> HeldFlow:
        return next(iter(next(iter(self.callers.values())).values()))

    def ahead(self, caller: str) -> int:
        """Returns how many flows would go before a caller's new one."""
        turns = len(self.callers.get(caller, ())) + 1
        others = (
            min(len(flows), turns)
            for name, flows in self.callers.items()
            if name != caller
        )
        return turns - 1 + sum(others)

    def newest_of_largest_caller(self, caller: str) -> HeldFlow:
        """Returns the newest flow of the caller with the most held flows.

        Among callers with equally many, `caller` is chosen first.
        """
        flows = max(
            self.callers.items(),
            key=lambda item: (len(item[1]), item[0] == caller),
        )[1]
        return flows[next(reversed(flows))]


class FairQueue:
    """Fair queue of the held flows of one service.

    Queues of several priorities may share one `RecentUsage`.
    """

    def __init__(self, usage: RecentUsage | None = None):
        self._networks: dict[str, _NetworkQueue] = {}
        self._flows: dict[int, HeldFlow] = {}
        self._recent_usage = RecentUsage() if usage is None else usage

    def __len__(self) -> int:
        return len(self._flows)

    def count_held(self, caller: str) -> int:
        """Returns the number of held flows of a caller."""
        entry = self._networks.get(network_of(caller))
        return len(entry.callers.get(caller, ())) if entry else 0

    def ahead(self, caller: str, now: float) -> int:
        """Returns how many held flows would go before a caller's new one."""
        network = network_of(caller)
        own = self._rank(network, now)
        return sum(
            entry.ahead(caller) if name == network else entry.count
            for name, entry in self._networks.items()
            if self._rank(name, now) <= own
        )

    def may_hold(self, caller: str, most: int) -> bool:
        """Whether the caller's network may add a flow, of `most` in total."""
        entry = self._networks.get(network_of(caller))
        if entry is None or len(self._recent_usage) < 2:
            return True
        return entry.count < max(MAX_NETWORK_FRACTION * most, 1)

    def on_placed(self, caller: str, now: float) -> None:
        """Counts a served flow for its network, whether or not it was held."""
        self._recent_usage.add(network_of(caller), now)

    def push(self, flow: HeldFlow) -> None:
        """Appends a flow to the queue of its caller."""
        entry = self._networks.setdefault(flow.network, _NetworkQueue())
        flows = entry.callers.setdefault(flow.request.caller, {})
        flows[flow.request.ticket] = flow
        entry.count += 1
        self._flows[flow.request.ticket] = flow

    def pop(self, now: float) -> HeldFlow | None:
        """Removes and returns the next flow, or None if none is held."""
        if not self._networks:
            return None
        key = min(self._networks, key=lambda name: self._rank(name, now))
        entry = self._networks[key]
        flow = entry.first()
        caller = flow.request.caller
        self._remove(flow)
        if caller in entry.callers:
            entry.callers[caller] = entry.callers.pop(caller)
        return flow

    def remove(self, ticket: int) -> HeldFlow | None:
        """Removes a flow by its ticket and returns it, or None if not held."""
        flow = self._flows.get(ticket)
        if flow is not None:
            self._remove(flow)
        return flow

    def drop_one(self, newcomer: HeldFlow, now: float) -> HeldFlow:
        """Removes and returns the flow to drop when too many are held.

        It is a flow of the newcomer's network unless another network has a
        clearly larger claim. Otherwise every newcomer would displace another
        network's flow, which would have been held in vain.

        Args:
            newcomer: The flow that was pushed last.
            now: The runtime's clock.
        """
        largest = max(self._networks, key=lambda n: self._claim(n, now))
        own = self._claim(newcomer.network, now)
        if self._claim(largest, now) < own + USAGE_TOLERANCE:
            largest = newcomer.network
        entry = self._networks[largest]
        dropped = entry.newest_of_largest_caller(newcomer.request.caller)
        self._remove(dropped)
        return dropped

    def next_expiry(self) -> float:
        """Returns when the next hold expires; the queue must not be empty."""
        return min(flow.until for flow in self._flows.values())

    def expired(self, now: float) -> list[HeldFlow]:
        """Removes and returns the flows whose hold has expired."""
        over = [flow for flow in self._flows.values() if flow.until <= now]
        for flow in over:
            self._remove(flow)
        return over

    def _rank(self, network: str, now: float) -> float:
        """Returns the order of a network; lower ones are served first."""
        return self._recent_usage.of(network, now) // USAGE_TOLERANCE

    def _claim(self, network: str, now: float) -> float:
        """Returns a network's held plus recently served flows."""
        return self._networks[network].count + self._recent_usage.of(
            network, now
        )

    def _remove(self, flow: HeldFlow) -> None:
        del self._flows[flow.request.ticket]
        entry = self._networks[flow.network]
        flows = entry.callers[flow.request.caller]
        del flows[flow.request.ticket]
        entry.count -= 1
        if not flows:
            del entry.callers[flow.request.caller]
        if not entry.callers:
            del self._networks[flow.network]
