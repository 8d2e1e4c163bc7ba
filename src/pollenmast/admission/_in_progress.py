"""Requests in progress: those of one VM that have not been answered yet.

A VM sees a request begin, and its client's acknowledgement shows that it has
ended. At most one request counts for each flow.
"""

import itertools
import math
from collections.abc import Hashable

import attrs

from pollenmast.admission._endpoint_times import EndpointTimes

DEFAULT_SERVICE_TIME_S = 0.05
"""Time from a request to its answer that is assumed before the first answer."""

MIN_SERVICE_TIME_S = 0.001
MAX_SERVICE_TIME_S = 10.0

SERVICE_TIME_WEIGHT = 0.05
"""Weight of one answer in the average time, which covers about twenty answers.
A single slow or forged one changes it little."""

TIMEOUT_FACTOR = 8.0
"""Multiple of the usual time after which a request no longer counts. When the
set of VMs in rotation changes, the end of a request passes through another VM.
An endpoint that is four times slower than usual is still within it."""

MIN_TIMEOUT_S = 0.3
MAX_TIMEOUT_S = 2.0

OPENING_TIMEOUT_S = 0.05
"""Time after which a request no longer counts whose client has sent nothing
after its SYN, in seconds. Clients answer within a round trip; the SYNs of a
flood from forged addresses, which nobody answers, would use up the credits."""

SCAN_INTERVAL_S = 0.01
"""Minimum time between two searches for such requests in seconds. Each one
passes over the requests that are older than `MIN_TIMEOUT_S`, of which a flood
of SYNs leaves thousands."""

MAX_REQUESTS = 20_000
"""Maximum number of requests in progress that are remembered; beyond it the
oldest is forgotten."""


@attrs.frozen
class _Request:
    service: str
    endpoint: str
    began_at: float


class RequestsInProgress:
    """The requests in progress, by service and endpoint."""

    def __init__(self):
        self._requests: dict[Hashable, _Request] = {}
        self._by_service: dict[str, int] = {}
        self._by_endpoint: dict[str, int] = {}
        self._time_s: dict[str, float] = {}
        self._endpoint_times = EndpointTimes()
        self._scan_at = -math.inf
        self._moved_at = -math.inf
        self._opening: dict[Hashable, float] = {}

    def count(self, service: str) -> int:
        """Returns the number of a service's requests in progress."""
        return self._by_service.get(service, 0)

    def count_at(self, endpoint: str) -> int:
        """Returns the number of an endpoint's requests in progress."""
        return self._by_endpoint.get(endpoint, 0)

    def service_time_s(self, service: str) -> float:
        """Returns the usual time from a request to its answer in seconds."""
        return self._time_s.get(service, DEFAULT_SERVICE_TIME_S)

    def is_slow(self, endpoint: str, service: str, now: float) -> bool:
        """Whether an endpoint answers far more slowly than its service."""
        usual_s = self.service_time_s(service)
        return self._endpoint_times.is_slow(endpoint, usual_s, now)

    def begin(
        self,
        key: Hashable,
        service: str,
        endpoint: str,
        now: float,
        opening: bool = False,
    ) -> None:
        """Records the start of a request, unless the flow has one already.

        A request that is sent to another endpoint is moved there.

        Args:
            key: The flow.
            service: The service.
            endpoint: The endpoint that the request is sent to.
            now: The runtime's clock in seconds.
            opening: Whether only the flow's SYN is sent: the request counts for
                `OPENING_TIMEOUT_S` unless `on_opened` is called before.
        """
        known = self._requests.get(key)
        if known is not None:
            if known.endpoint == endpoint:
                return
            self._forget(key)
        if len(self._requests) >= MAX_REQUESTS:
            self._forget(next(iter(self._requests)))
        self._requests[key] = _Request(service, endpoint, now)
        _add(self._by_service, service, 1)
        _add(self._by_endpoint, endpoint, 1)
        if opening:
            self._opening[key] = now

    def on_opened(self, key: Hashable) -> None:
        """Handles the first packet of a client after its SYN."""
        self._opening.pop(key, None)

    def end(self, key: Hashable, now: float, learn: bool = False) -> None:
        """Records the end of a flow's request; does nothing if it has none.

        Args:
            key: The flow.
            now: The runtime's clock in seconds.
            learn: Whether the time that it took says how long requests take.
        """
        request = self._forget(key)
        if request is None or not learn:
            return
        took_s = min(
            max(now - request.began_at, MIN_SERVICE_TIME_S), MAX_SERVICE_TIME_S
        )
        self._endpoint_times.add(request.endpoint, took_s, now)
        usual_s = self.service_time_s(request.service)
        self._time_s[request.service] = usual_s + SERVICE_TIME_WEIGHT * (
            took_s - usual_s
        )

    def cancel(self, key: Hashable) -> None:
        """Removes a flow's request that ended without an answer, if any."""
        self._forget(key)

    def expire(self, now: float) -> None:
        """Forgets the requests whose end has not been seen for long."""
        if now < self._scan_at:
            return
        self._scan_at = now + SCAN_INTERVAL_S
        stale = list(
            itertools.takewhile(
                lambda key: now - self._opening[key] >= OPENING_TIMEOUT_S,
                self._opening,
            )
        )
        for key, request in self._requests.items():
            age_s = now - request.began_at
            moved = request.began_at < self._moved_at
            if age_s < MIN_TIMEOUT_S and not moved:
                break
            timeout = self.service_time_s if moved else self.timeout_s
            if age_s >= timeout(request.service):
                stale.append(key)
        for key in stale:
            self._forget(key)

    def next_expiry(self) -> float:
        """Returns when `expire` will next forget a request, as an estimate.

        It is infinite if none is in progress.
        """
        expiries = [
            request.began_at + self.timeout_s(request.service)
            for request in itertools.islice(self._requests.values(), 1)
        ]
        expiries += [
            at + OPENING_TIMEOUT_S
            for at in itertools.islice(self._opening.values(), 1)
        ]
        return max(min(expiries, default=math.inf), self._scan_at)

    def on_moved(self, at: float) -> None:
        """Handles that the flows of this VM have moved to others.

        The ends of their requests will not be seen. Each counts for the usual
        time: on average the counts stay right, so endpoints get neither more
        requests than they can queue nor none.

        Args:
            at: When they moved, in seconds.
        """
        self._moved_at = max(self._moved_at, at)
        self._scan_at = -math.inf

    def timeout_s(self, service: str) -> float:
        """Returns after how many seconds a request no longer counts."""
        usual_s = TIMEOUT_FACTOR * self.service_time_s(service)
        return min(max(usual_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)

    def _forget(self, key: Hashable) -> _Request | None:
        request = self._requests.pop(key, None)
        self._opening.pop(key, None)
        if request is not None:
            _add(self._by_service, request.service, -1)
            _add(self._by_endpoint, request.endpoint, -1)
        return request


def _add(counts: dict[str, int], name: str, change: int) -> None:
    count = counts.get(name, 0) + change
    if count:
        counts[name] = count
    else:
        counts.pop(name, None)
