"""How much each network of callers was lately served, in bounded state.

Load pattern: one caller or network asks all the time, many others now and
then. By what is held at the moment they look alike, since what the heavy one
got is no longer held. Counting what each was served tells them apart.
"""

import math

MEMORY_S = 5.0
"""Time constant: some holds long, so that a heavy caller stays known while
it asks, and is forgiven soon after it stops."""

MOST_NETWORKS = 2048
"""Networks remembered; a hostile number of them cannot fill the memory."""

FORGOTTEN = 0.5
"""Flows below which a network is dropped when room is needed."""


class Usage:
    """Flows served to each network, fading with time."""

    def __init__(self):
        self._served: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._served)

    def of(self, network: str, now: float) -> float:
        """Returns what the network was lately served, in flows."""
        entry = self._served.get(network)
        if entry is None:
            return 0.0
        value, at = entry
        return value * math.exp((at - now) / MEMORY_S)

    def add(self, network: str, now: float) -> None:
        """Counts one served flow."""
        value = self.of(network, now) + 1.0
        self._served[network] = (value, now)
        if len(self._served) > MOST_NETWORKS:
            self._make_room(now)

    def _make_room(self, now: float) -> None:
        """Drops the least used half; the heavy ones matter and stay."""
        values = {name: self.of(name, now) for name in self._served}
        least = sorted(values, key=values.__getitem__)
        for name in least[: MOST_NETWORKS // 2]:
            del self._served[name]
        for name in least[MOST_NETWORKS // 2 :]:
            if values[name] < FORGOTTEN:
                del self._served[name]
