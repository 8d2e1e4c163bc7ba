"""Requests that wait for their endpoint, and those that wait too long.

Load pattern: an endpoint answers its health checks and leaves a part of its
requests hanging, or has turned many times slower. Its clients give their
flows up, so it gets few requests and looks idle: by rates alone every new
flow would go there, and hang too.

An answer passes no VM, but the client's next segment acknowledges it. A
request without that for a while is late, and says that its endpoint has less
room than its rate shows.
"""

from pollenmast.steering._model import FlowKey

LATE_S = 0.3
"""From when on a request is late: several usual answer times, or one and the
time after which a lost packet is sent again."""


class Waiting:
    """Unanswered requests of the flows that pass by, oldest first."""

    def __init__(self):
        self._since: dict[FlowKey, tuple[float, int]] = {}

    def begin(self, flow: FlowKey, endpoint: int, now: float) -> None:
        """A request was sent to an endpoint."""
        self._since.setdefault(flow, (now, endpoint))

    def end(self, flow: FlowKey) -> None:
        """The client has received something, or has gone."""
        self._since.pop(flow, None)

    def take_late(self, now: float) -> list[int]:
        """Returns the endpoint of each request that has become late."""
        late = []
        for flow, (since, endpoint) in list(self._since.items()):
            if now - since < LATE_S:
                break
            late.append(endpoint)
            del self._since[flow]
        return late
