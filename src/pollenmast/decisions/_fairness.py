"""Whose held flow is next, and whose is given up when too many are held.

Load pattern: one caller, or one network of callers, sends many times what
all others send. With one first-come queue it fills the queue, and everyone
else waits behind it or is refused. A plain round robin is not enough either:
many small networks hold one flow each, as the heavy one does, so it would
get every second turn and crowd the others out of a short queue.

Networks that were lately served little go first, in order of arrival; within
a network the callers take turns. When too many are held, the newest flow of
the network with the most, held and lately served, is given up.

Networks are /24 of IPv4 and /64 of IPv6: the sizes that a site commonly
gets, so that a caller with many addresses of its own counts once.
"""

import ipaddress

import attrs

from pollenmast.decisions._outcomes import FlowRequest
from pollenmast.decisions._usage import Usage

BAND = 4.0
"""Flows served that count as alike: less is chance, and turns that followed
it would let some flows wait out their hold."""


NETWORK_PART = 0.5
"""Part of the held flows that one network may have while others call too.

A heavy network's flows go last, so those at its end would wait out their
hold and be refused then. The other half stays free for newcomers.
"""


def network_of(caller: str) -> str:
    """Returns the caller's network, which is its fairness key."""
    if ":" not in caller:
        return caller.rpartition(".")[0]
    address = ipaddress.IPv6Address(caller.partition("%")[0])
    if address.ipv4_mapped is not None:
        # All of them share one /64, so all IPv4 callers would count as one.
        return network_of(str(address.ipv4_mapped))
    return address.packed[:8].hex()


@attrs.define(eq=False)
class HeldFlow:
    """A held flow and the time at which it is given up."""

    request: FlowRequest
    until: float
    network: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.network = network_of(self.request.caller)


class _Network:
    """Held flows of one network, a queue for each caller in turn."""

    def __init__(self):
        self.callers: dict[str, dict[int, HeldFlow]] = {}
        self.count = 0

    def first(self) -> HeldFlow:
        return next(iter(next(iter(self.callers.values())).values()))

    def newest_of_greatest(self, caller: str) -> HeldFlow:
        """Returns the newest flow of the greatest caller, or of `caller`."""
        flows = max(
            self.callers.items(),
            key=lambda item: (len(item[1]), item[0] == caller),
        )[1]
        return flows[next(reversed(flows))]


class FairQueue:
    """Held flows of one service."""

    def __init__(self):
        self._networks: dict[str, _Network] = {}
        self._flows: dict[int, HeldFlow] = {}
        self._usage = Usage()

    def __len__(self) -> int:
        return len(self._flows)

    def of_caller(self, caller: str) -> int:
        """Returns how many flows of a caller are held."""
        entry = self._networks.get(network_of(caller))
        return len(entry.callers.get(caller, ())) if entry else 0

    def may_hold(self, caller: str, most: int) -> bool:
        """Whether the caller's network may hold one more of `most` flows."""
        entry = self._networks.get(network_of(caller))
        if entry is None or len(self._usage) < 2:
            return True
        return entry.count < max(NETWORK_PART * most, 1)

    def on_placed(self, caller: str, now: float) -> None:
        """Counts a flow that was served, held before or not."""
        self._usage.add(network_of(caller), now)

    def push(self, flow: HeldFlow) -> None:
        """Adds a flow behind the others of its caller."""
        entry = self._networks.setdefault(flow.network, _Network())
        flows = entry.callers.setdefault(flow.request.caller, {})
        flows[flow.request.ticket] = flow
        entry.count += 1
        self._flows[flow.request.ticket] = flow

    def pop(self, now: float) -> HeldFlow | None:
        """Takes the flow whose turn it is."""
        if not self._networks:
            return None
        key = min(
            self._networks, key=lambda name: self._usage.of(name, now) // BAND
        )
        entry = self._networks[key]
        flow = entry.first()
        caller = flow.request.caller
        self._take(flow)
        if caller in entry.callers:
            entry.callers[caller] = entry.callers.pop(caller)
        return flow

    def remove(self, ticket: int) -> HeldFlow | None:
        """Takes a flow out of turn."""
        flow = self._flows.get(ticket)
        if flow is not None:
            self._take(flow)
        return flow

    def give_up(self, newcomer: HeldFlow, now: float) -> HeldFlow:
        """Takes the flow that has the least claim to be held.

        The newcomer itself loses unless another network has clearly more.
        Else every newcomer would push out another's flow, which would have
        been held for nothing.

        Args:
            newcomer: The flow that was pushed last.
            now: The runtime's clock.
        """
        greatest = max(self._networks, key=lambda n: self._claimed(n, now))
        own = self._claimed(newcomer.network, now)
        if self._claimed(greatest, now) < own + BAND:
            greatest = newcomer.network
        entry = self._networks[greatest]
        loser = entry.newest_of_greatest(newcomer.request.caller)
        self._take(loser)
        return loser

    def expired(self, now: float) -> list[HeldFlow]:
        """Takes every flow whose time is over."""
        over = [flow for flow in self._flows.values() if flow.until <= now]
        for flow in over:
            self._take(flow)
        return over

    def _claimed(self, network: str, now: float) -> float:
        """What a network holds and was lately served."""
        return self._networks[network].count + self._usage.of(network, now)

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
