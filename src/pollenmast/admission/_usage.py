"""Counts recently served flows per network of callers, in bounded memory.

Some callers or networks open flows all the time, and many others only now and
then. The currently held flows do not tell them apart, as flows that were served
are no longer held. The count of recently served flows does.
"""

import math

TIME_CONSTANT_S = 5.0
"""Time constant, in seconds, of the decay of the counts.

It is several times the length of a hold, so that a heavy caller stays known
while it opens flows and counts as new soon after it stops.
"""

MAX_NETWORKS = 2048
"""Maximum number of networks, so that attackers cannot exhaust memory."""

MIN_SERVED = 0.5
"""Count below which a network is evicted when memory is needed."""


class RecentUsage:
    """Served flows of each network, with exponential decay."""

    def __init__(self):
        self._served: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._served)

    def of(self, network: str, now: float) -> float:
        """Returns the network's recently served flows."""
        entry = self._served.get(network)
        if entry is None:
            return 0.0
        value, at = entry
        return value * math.exp((at - now) / TIME_CONSTANT_S)

    def add(self, network: str, now: float) -> None:
        """Counts one served flow of a network."""
        value = self.of(network, now) + 1.0
        self._served[network] = (value, now)
        if len(self._served) > MAX_NETWORKS:
            self._evict(now)

    def _evict(self, now: float) -> None:
        """Evicts the lower half of the counts and those below the minimum."""
        values = {name: self.of(name, now) for name in self._served}
        least = sorted(values, key=values.__getitem__)
        for name in least[: MAX_NETWORKS // 2]:
            del self._served[name]
        for name in least[MAX_NETWORKS // 2 :]:
            if values[name] < MIN_SERVED:
                del self._served[name]
