"""Tracks unanswered requests and finds those that are late.

An endpoint may pass its health checks but leave some of its requests hanging,
or become many times slower. Its clients give up their flows, so it gets few
requests and looks idle: by request rates alone every new flow would go there,
and hang too.

Answers do not pass through a VM, but the client's next segment acknowledges
them. A request that is not acknowledged for a while is late, and shows that its
endpoint has less capacity than its request rate suggests.
"""

from pollenmast.steering._model import FlowKey

LATE_AFTER_S = 0.3
"""Age in seconds from which an unanswered request is late: several usual answer
times, or one plus the time after which a lost packet is retransmitted."""


class PendingRequests:
    """Unanswered requests of the flows seen here, oldest first."""

    def __init__(self):
        self._since: dict[FlowKey, tuple[float, int]] = {}

    def begin(self, flow: FlowKey, endpoint: int, now: float) -> None:
        """Records a request that was sent to an endpoint."""
        self._since.setdefault(flow, (now, endpoint))

    def end(self, flow: FlowKey) -> None:
        """Removes a flow's request: it was answered, or the flow has ended."""
        self._since.pop(flow, None)

    def pop_late(self, now: float) -> list[int]:
        """Removes the late requests; returns the endpoint of each."""
        late = []
        for flow, (since, endpoint) in list(self._since.items()):
            if now - since < LATE_AFTER_S:
                break
            late.append(endpoint)
            del self._since[flow]
        return late
