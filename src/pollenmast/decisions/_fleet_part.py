"""A VM's part of a service's capacity, found without a word between VMs.

Load pattern: every VM sends to the same endpoints. Taking all the capacity
each, they would overload it together; taking an equal part each, a VM that
callers reach more than others would refuse work while endpoints stand idle.

The part is one by the number of live relays, or what this VM was lately seen
to send of all that the endpoints finished, if that is clearly more. It grows
a little beyond while endpoints have room, and shrinks while they are fuller
than wanted, so that the parts of all VMs come down to one whole.
"""

import math

MEMORY_S = 20.0
"""Time constant of the measured part.

At 30 flows a second of this VM that is a standard error of 4%, and a VM that
suddenly gets most of the traffic reaches its part within about as long.
"""

GROWTH = 0.5
"""Most by which the part grows beyond what was measured, or shrinks below."""

CHANCE = 0.25
"""Part of an equal share that counts as chance and is left out.

Without it every VM that was by chance seen to send more would take more, and
the sum of the parts would exceed one whole.
"""

LEAST_FINISHED = 50.0
"""Finished requests before the measured part counts at all."""

FILL_GAIN = 0.3
"""Part of the way that a report moves an endpoint's fill."""

MOST_FILL = 2.0
"""Bound of a reported fill, so that one endpoint cannot speak for all."""


class FleetPart:
    """One VM's part of one service."""

    def __init__(self):
        self._relays = 1
        self._placed = 0.0
        self._finished = 0.0
        self._fills: dict[str, float] = {}
        self._at = 0.0
        self._value = 1.0

    @property
    def value(self) -> float:
        """The part, above 0 and at most 1."""
        return self._value

    def set_relays(self, relays: int) -> None:
        """Sets how many live relays share the load."""
        self._relays = max(relays, 1)
        self._update()

    def retain(self, endpoints: set[str]) -> None:
        """Forgets endpoints that are gone."""
        for name in self._fills.keys() - endpoints:
            del self._fills[name]

    def on_placed(self) -> None:
        """This VM placed a flow."""
        self._placed += 1.0

    def on_report(
        self, endpoint: str, fill: float, finished: int, now: float
    ) -> None:
        """Takes in a report.

        Args:
            endpoint: Its name.
            fill: Its occupancy, by what is wanted.
            finished: Requests finished since its last report.
            now: The runtime's clock.
        """
        kept = math.exp(-max(now - self._at, 0.0) / MEMORY_S)
        self._at = now
        self._placed *= kept
        self._finished = self._finished * kept + finished
        last = self._fills.get(endpoint, 1.0)
        new = min(fill, MOST_FILL)
        self._fills[endpoint] = last + FILL_GAIN * (new - last)
        self._update()

    def _update(self) -> None:
        equal = 1.0 / self._relays
        if self._finished < LEAST_FINISHED:
            self._value = equal
            return
        fill = sum(self._fills.values()) / max(len(self._fills), 1)
        seen = self._placed / self._finished * (1.0 + GROWTH * (1.0 - fill))
        self._value = min(max(seen - CHANCE * equal, equal), 1.0)
