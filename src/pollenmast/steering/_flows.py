"""What a VM remembers of the flows whose packets pass by it.

The memory is soft: any VM can carry any packet without it. It counts the work
at each endpoint, notices repeats, and knows whom to tell when an endpoint
ends. It is lost with the VM, and a flow that moves to another VM is learned
there from its next packet.
"""

import attrs

from pollenmast.steering._model import FlowKey, Segment

FORGET_S = 15.0
"""A flow without a packet for so long is forgotten. Clients pause for
seconds between requests, and idle flows end after about this long."""

MOST_FLOWS = 40_000
"""Flows remembered, at about 300 bytes each; twice a VM's share of the
24 million that the users expect over 1,400 VMs."""

REPEAT_S = 0.1
"""A repeat sooner after the first try that passed by here came from a buffer,
where both had waited: clients wait 0.2 s at the least."""

_HALF = 1 << 31
_WHOLE = 1 << 32


def advanced(new: int, old: int) -> bool:
    """Whether one sequence number of 32 bits is beyond another."""
    return 0 < (new - old) % _WHOLE < _HALF


@attrs.define(eq=False)
class Flow:
    """One flow.

    Attributes:
        key: Its addresses and ports.
        endpoint: The name of its endpoint.
        seen_at: When its last packet came, in seconds.
        acknowledged: Up to where the client has received.
        next_sequence: The end of the data that the client has sent.
        opened: Whether the client has answered the endpoint's SYN.
        waiting_since: When the client sent what is not answered yet.
        tried: Endpoints that copies of its SYN went to.
        syn_at: When its last SYN was sent on.
    """

    key: FlowKey
    endpoint: str
    seen_at: float
    acknowledged: int = 0
    next_sequence: int | None = None
    opened: bool = False
    waiting_since: float | None = None
    tried: tuple[str, ...] = ()
    syn_at: float = float("-inf")


@attrs.frozen
class Progress:
    """What a segment says of its flow's endpoint.

    Attributes:
        advanced: The client has received something new.
        repeated: The client sent again what it had sent before.
        request: The client sent new data.
        waited_s: How long the client had waited for what it received.
        received: Bytes of an answer that the client acknowledged first.
    """

    advanced: bool = False
    repeated: bool = False
    request: bool = False
    waited_s: float | None = None
    received: int = 0


class FlowTable:
    """The flows that passed by lately, by key and by endpoint."""

    def __init__(self):
        self._flows: dict[FlowKey, Flow] = {}
        self._by_endpoint: dict[str, dict[FlowKey, Flow]] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Returns the flow, if its packets passed by."""
        return self._flows.get(key)

    def at(self, endpoint: str) -> list[Flow]:
        """Returns the flows to an endpoint."""
        return list(self._by_endpoint.get(endpoint, {}).values())

    def count(self, endpoint: str) -> int:
        """Returns how many flows go to an endpoint."""
        return len(self._by_endpoint.get(endpoint, ()))

    def bind(self, key: FlowKey, endpoint: str, now: float) -> Flow:
        """Returns the flow, which from now on goes to this endpoint."""
        flow = self._flows.get(key)
        if flow is None:
            if len(self._flows) >= MOST_FLOWS:
                self.forget(next(iter(self._flows)))
            flow = self._flows[key] = Flow(key, endpoint, now)
        elif flow.endpoint != endpoint:
            self._leave(flow)
            flow.endpoint = endpoint
        self._by_endpoint.setdefault(endpoint, {})[key] = flow
        flow.seen_at = now
        return flow

    def forget(self, key: FlowKey) -> None:
        """Forgets a flow, known or not."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._leave(flow)

    def expire(self, now: float) -> None:
        """Forgets the flows without a packet for long."""
        old = now - FORGET_S
        stale = [key for key, f in self._flows.items() if f.seen_at < old]
        for key in stale:
            self.forget(key)

    def _leave(self, flow: Flow) -> None:
        flows = self._by_endpoint.get(flow.endpoint)
        if flows is not None:
            flows.pop(flow.key, None)
            if not flows:
                del self._by_endpoint[flow.endpoint]


def note(flow: Flow, segment: Segment, now: float) -> Progress:
    """Takes a segment that is no SYN into its flow's state."""
    waited, since, received = None, flow.waiting_since, 0
    first = flow.next_sequence is None
    moved = not first and advanced(segment.acknowledged, flow.acknowledged)
    opening = not flow.opened
    flow.opened = True
    if moved and since is not None:
        received = (segment.acknowledged - flow.acknowledged) % _WHOLE
    if first or moved:
        flow.acknowledged = segment.acknowledged
    if moved and since is not None:
        waited, flow.waiting_since = now - since, None
    end = (segment.sequence + segment.length) % _WHOLE
    fresh = first or advanced(end, flow.next_sequence)
    if fresh:
        flow.next_sequence = end
    request = segment.length > 0 and fresh
    if request and flow.waiting_since is None:
        flow.waiting_since = now
    began = flow.waiting_since
    repeated = (
        segment.length > 0
        and not fresh
        and began is not None
        and now - began >= REPEAT_S
    )
    # The handshake's last packet answers the endpoint's SYN+ACK.
    alive = moved or (opening and bool(flow.tried))
    return Progress(alive, repeated, request, waited, received)
