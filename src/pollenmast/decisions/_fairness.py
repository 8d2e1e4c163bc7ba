"""A fair queue of held flows: round robin over networks, then callers.

Load pattern: one caller, or one network of callers, sends many times what
all others send. With one first-come queue it fills the queue and everyone
else waits behind it or is refused. Here each network gets one turn a round,
and within it each caller one turn; when the queue is full the newest flow
of the greatest holder is refused, never that of a small one.

Networks are /24 of IPv4 and /64 of IPv6: the sizes a site commonly gets, so
that a caller with many addresses of its own still counts once.
"""

import collections
import ipaddress

import attrs

from pollenmast.decisions._outcomes import FlowRequest


def network(caller: str) -> str:
    """Returns the caller's network, which is its fairness key."""
    if ":" not in caller:
        return caller.rpartition(".")[0]
    packed = ipaddress.IPv6Address(caller.partition("%")[0]).packed
    return packed[:8].hex()


@attrs.define(eq=False)
class HeldFlow:
    """A held flow and the time at which it is given up."""

    request: FlowRequest
    until: float
    network: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.network = network(self.request.caller)


class _Network:
    """Held flows of one network, a queue for each caller."""

    def __init__(self):
        self.callers: collections.OrderedDict[
            str, collections.OrderedDict[int, HeldFlow]
        ] = collections.OrderedDict()
        self.count = 0


class FairQueue:
    """Held flows of one service."""

    def __init__(self):
        self._networks: collections.OrderedDict[str, _Network] = (
            collections.OrderedDict()
        )
        self._flows: dict[int, HeldFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._flows

    def networks(self) -> int:
        """Returns how many networks have held flows."""
        return len(self._networks)

    def of_network(self, key: str) -> int:
        """Returns how many flows of a network are held."""
        entry = self._networks.get(key)
        return entry.count if entry else 0

    def of_caller(self, caller: str) -> int:
        """Returns how many flows of a caller are held."""
        entry = self._networks.get(network(caller))
        return len(entry.callers.get(caller, ())) if entry else 0

    def push(self, flow: HeldFlow) -> None:
        """Adds a flow behind the others of its caller."""
        entry = self._networks.setdefault(flow.network, _Network())
        caller = entry.callers.setdefault(
            flow.request.caller, collections.OrderedDict()
        )
        caller[flow.request.ticket] = flow
        entry.count += 1
        self._flows[flow.request.ticket] = flow

    def pop(self) -> HeldFlow | None:
        """Takes the flow whose turn it is."""
        if not self._networks:
            return None
        key, entry = next(iter(self._networks.items()))
        caller, flows = next(iter(entry.callers.items()))
        flow = next(iter(flows.values()))
        entry.callers.move_to_end(caller)
        self._networks.move_to_end(key)
        self._take(flow)
        return flow

    def remove(self, ticket: int) -> HeldFlow | None:
        """Takes a flow out of turn."""
        flow = self._flows.get(ticket)
        if flow is not None:
            self._take(flow)
        return flow

    def newest_of_greatest(self, newcomer: HeldFlow) -> HeldFlow:
        """Returns the newest flow of the greatest caller in the greatest net.

        Among equals the newcomer's own network and caller count as greatest:
        else each newcomer would push out another's flow, which would be held
        for nothing.

        Args:
            newcomer: The flow that was pushed last.
        """
        entry = max(
            self._networks.items(),
            key=lambda item: (item[1].count, item[0] == newcomer.network),
        )[1]
        flows = max(
            entry.callers.items(),
            key=lambda item: (
                len(item[1]),
                item[0] == newcomer.request.caller,
            ),
        )[1]
        return flows[next(reversed(flows))]

    def expired(self, now: float) -> list[HeldFlow]:
        """Takes every flow whose time is over."""
        over = [flow for flow in self._flows.values() if flow.until <= now]
        for flow in over:
            self._take(flow)
        return over

    def _take(self, flow: HeldFlow) -> None:
        del self._flows[flow.request.ticket]
        entry = self._networks[flow.network]
        flows = entry.callers[flow.request.caller]
        del flows[flow.request.ticket]
        entry.count -= 1
        if not flows:
            del entry.callers[flow.request.caller]
        if not entry.callers:
            del self._networks[flow.network]
