"""Learns which endpoints answer far more slowly than others.

It answers the load at which a third of a service's endpoints are slow: their
credits come back slowly, but each request that is placed there is late. They
are used last, and tried again after a while.
"""

import attrs

WEIGHT = 0.3
"""Weight of one answer in an endpoint's average; it covers about three answers,
as one VM sees few answers of an endpoint."""

SLOW_FACTOR = 2.0
"""Multiple of the service's usual time from which an endpoint is slow."""

MAX_AGE_S = 1.0
"""Age in seconds after which an endpoint's times no longer count. A VM that
stops using a slow endpoint would otherwise not learn that it has recovered."""

MAX_ENDPOINTS = 1024
"""Maximum number of endpoints; beyond it the one added first is forgotten."""


@attrs.frozen
class _Average:
    time_s: float
    at: float


class EndpointTimes:
    """The recent answer times of each endpoint."""

    def __init__(self):
        self._averages: dict[str, _Average] = {}

    def add(self, endpoint: str, time_s: float, now: float) -> None:
        """Records the time of an answer in seconds."""
        known = self._recent(endpoint, now)
        if known is not None:
            time_s = known.time_s + WEIGHT * (time_s - known.time_s)
        elif len(self._averages) >= MAX_ENDPOINTS:
            del self._averages[next(iter(self._averages))]
        self._averages[endpoint] = _Average(time_s, now)

    def is_slow(self, endpoint: str, usual_s: float, now: float) -> bool:
        """Whether an endpoint's recent answers took far longer than usual.

        Args:
            endpoint: The endpoint.
            usual_s: The usual time of the service in seconds.
            now: The runtime's clock in seconds.
        """
        known = self._recent(endpoint, now)
        return known is not None and known.time_s > SLOW_FACTOR * usual_s

    def _recent(self, endpoint: str, now: float) -> _Average | None:
        known = self._averages.get(endpoint)
        if known is None or now - known.at > MAX_AGE_S:
            return None
        return known
