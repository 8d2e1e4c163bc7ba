"""The flows whose packets pass through this VM.

This is soft state: any VM can forward any packet without it. It is used to
count the work at each endpoint, to detect retransmissions, and to know which
clients to reset when an endpoint goes away. It is lost with the VM; a flow that
moves to another VM is learned there from its next packet.
"""

import attrs

from pollenmast.steering._model import FlowKey, Segment

IDLE_TIMEOUT_S = 15.0
"""Idle time in seconds after which a flow is forgotten. Clients pause for
seconds between requests, and idle flows end after about this long."""

MAX_FLOWS = 40_000
"""Maximum number of flows remembered, at about 300 bytes each. This is twice a
VM's share of the 24 million flows that the users expect over 1,400 VMs."""

MIN_RETRANSMIT_S = 0.1
"""Minimum delay in seconds for a retransmission to count as one.

Clients wait at least 0.2 s before they retransmit. A copy that arrives sooner
after the first one seen here had waited in a buffer together with it.
"""

_HALF_SEQUENCE_SPACE = 1 << 31
_SEQUENCE_SPACE = 1 << 32


def is_after(new: int, old: int) -> bool:
    """Whether a 32-bit sequence number is after another, with wraparound."""
    return 0 < (new - old) % _SEQUENCE_SPACE < _HALF_SEQUENCE_SPACE


@attrs.define(eq=False)
class Flow:
    """The state of one flow.

    Attributes:
        key: Its addresses and ports.
        endpoint: The name of its endpoint.
        last_seen_at: When its last packet arrived, in seconds.
        acknowledged: The client's latest acknowledgement number.
        next_sequence: The sequence number after the last data that the client
            sent, or None before its first segment.
        opened: Whether the client has answered the endpoint's SYN+ACK.
        waiting_since: When the client sent the oldest data not yet answered, or
            None.
        tried: Names of the endpoints that copies of its SYN were sent to.
        syn_sent_at: When its last SYN was forwarded, in seconds.
    """

    key: FlowKey
    endpoint: str
    last_seen_at: float
    acknowledged: int = 0
    next_sequence: int | None = None
    opened: bool = False
    waiting_since: float | None = None
    tried: tuple[str, ...] = ()
    syn_sent_at: float = float("-inf")


@attrs.frozen
class Progress:
    """What a segment reveals about its flow's endpoint.

    Attributes:
        advanced: The client has received new data, or has completed a
            handshake.
        repeated: The client retransmitted data.
        request: The client sent new data.
        answer_time_s: How long the client waited for the data that it now
            acknowledges, or None if it was not waiting.
        answer_bytes: Number of bytes in the first acknowledgement of an answer.
    """

    advanced: bool = False
    repeated: bool = False
    request: bool = False
    answer_time_s: float | None = None
    answer_bytes: int = 0


class FlowTable:
    """The flows seen recently, indexed by key and by endpoint."""

    def __init__(self):
        self._flows: dict[FlowKey, Flow] = {}
        self._by_endpoint: dict[str, dict[FlowKey, Flow]] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> Flow | None:
        """Returns the flow, or None if it is not known here."""
        return self._flows.get(key)

    def at(self, endpoint: str) -> list[Flow]:
        """Returns the flows of an endpoint."""
        return list(self._by_endpoint.get(endpoint, {}).values())

    def count(self, endpoint: str) -> int:
        """Returns the number of flows of an endpoint."""
        return len(self._by_endpoint.get(endpoint, ()))

    def bind(self, key: FlowKey, endpoint: str, now: float) -> Flow:
        """Assigns a flow to an endpoint, adding the flow if it is new.

        A full table drops the flow that was added first.
        """
        flow = self._flows.get(key)
        if flow is None:
            if len(self._flows) >= MAX_FLOWS:
                self.forget(next(iter(self._flows)))
            flow = self._flows[key] = Flow(key, endpoint, now)
        elif flow.endpoint != endpoint:
            self._unlink(flow)
            flow.endpoint = endpoint
        self._by_endpoint.setdefault(endpoint, {})[key] = flow
        flow.last_seen_at = now
        return flow

    def forget(self, key: FlowKey) -> None:
        """Removes a flow; does nothing if it is not known."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._unlink(flow)

    def expire(self, now: float) -> None:
        """Removes the flows that have been idle for too long."""
        old = now - IDLE_TIMEOUT_S
        stale = [key for key, f in self._flows.items() if f.last_seen_at < old]
        for key in stale:
            self.forget(key)

    def _unlink(self, flow: Flow) -> None:
        flows = self._by_endpoint.get(flow.endpoint)
        if flows is not None:
            flows.pop(flow.key, None)
            if not flows:
                del self._by_endpoint[flow.endpoint]


def update_flow(flow: Flow, segment: Segment, now: float) -> Progress:
    """Updates a flow's state from a segment that is not a SYN."""
    answer_time_s, since, answer_bytes = None, flow.waiting_since, 0
    first = flow.next_sequence is None
    acked_new = not first and is_after(segment.acknowledged, flow.acknowledged)
    was_opening = not flow.opened
    flow.opened = True
    if acked_new and since is not None:
        answer_bytes = (
            segment.acknowledged - flow.acknowledged
        ) % _SEQUENCE_SPACE
    if first or acked_new:
        flow.acknowledged = segment.acknowledged
    if acked_new and since is not None:
        answer_time_s, flow.waiting_since = now - since, None
    end = (segment.sequence + segment.length) % _SEQUENCE_SPACE
    sent_new = first or is_after(end, flow.next_sequence)
    if sent_new:
        flow.next_sequence = end
    request = segment.length > 0 and sent_new
    if request and flow.waiting_since is None:
        flow.waiting_since = now
    waiting_since = flow.waiting_since
    repeated = (
        segment.length > 0
        and not sent_new
        and waiting_since is not None
        and now - waiting_since >= MIN_RETRANSMIT_S
    )
    # The last packet of the handshake shows that the SYN+ACK arrived.
    advanced = acked_new or (was_opening and bool(flow.tried))
    return Progress(advanced, repeated, request, answer_time_s, answer_bytes)
