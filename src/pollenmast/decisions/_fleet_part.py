"""Estimates a VM's share of a service's capacity without coordination.

Every VM sends to the same endpoints. If each used all of the capacity, together
they would overload the endpoints. If each used an equal share, a VM that gets
more callers than others would refuse work while endpoints are idle.

The share is one divided by the number of live relays, or the measured share
if that is clearly more. The measured share is the number of flows that this
VM recently placed, divided by the number that the endpoints finished. It is
increased while endpoints have spare capacity and reduced while they are above
their target occupancy, so that the shares of all VMs converge to a sum of 1.
"""

import math

TIME_CONSTANT_S = 20.0
"""Time constant, in seconds, of the measured share.

At 30 flows per second of this VM the standard error is 4%. A VM that suddenly
gets most of the traffic reaches its new share within about this time.
"""

MAX_ADJUSTMENT = 0.5
"""Maximum relative increase or reduction of the measured share."""

NOISE_FRACTION = 0.25
"""Statistical noise, as a fraction of an equal share.

It is subtracted from the measured share. Otherwise every VM that by chance
sent more than others would take a larger share, and the sum of the shares
would exceed 1.
"""

MIN_FINISHED = 50.0
"""Finished requests needed before the measured share is used."""

FILL_SMOOTHING = 0.3
"""Weight of a new report in the moving average of an endpoint's fill."""

MAX_FILL = 2.0
"""Maximum of a reported fill, so that one endpoint cannot dominate."""


class CapacityShare:
    """One VM's share of the capacity of one service."""

    def __init__(self):
        self._relays = 1
        self._placed = 0.0
        self._finished = 0.0
        self._fills: dict[str, float] = {}
        self._decayed_at = 0.0
        self._value = 1.0

    @property
    def value(self) -> float:
        """The share, above 0 and at most 1."""
        return self._value

    def set_relays(self, relays: int) -> None:
        """Sets the number of live relays that share the load."""
        self._relays = max(relays, 1)
        self._update()

    def retain(self, endpoints: set[str]) -> None:
        """Drops the state of endpoints that are not listed."""
        for name in self._fills.keys() - endpoints:
            del self._fills[name]

    def on_placed(self) -> None:
        """Records that this VM placed a flow."""
        self._placed += 1.0

    def on_report(
        self, endpoint: str, fill: float, finished: int, now: float
    ) -> None:
        """Processes an endpoint's load report.

        Args:
            endpoint: The endpoint's name.
            fill: Its occupancy divided by its target occupancy.
            finished: Requests finished since its last report.
            now: The runtime's clock.
        """
        decay = math.exp(-max(now - self._decayed_at, 0.0) / TIME_CONSTANT_S)
        self._decayed_at = now
        self._placed *= decay
        self._finished = self._finished * decay + finished
        last = self._fills.get(endpoint, 1.0)
        new = min(fill, MAX_FILL)
        self._fills[endpoint] = last + FILL_SMOOTHING * (new - last)
        self._update()

    def _update(self) -> None:
        equal_share = 1.0 / self._relays
        if self._finished < MIN_FINISHED:
            self._value = equal_share
            return
        fill = sum(self._fills.values()) / max(len(self._fills), 1)
        measured = (
            self._placed
            / self._finished
            * (1.0 + MAX_ADJUSTMENT * (1.0 - fill))
        )
        self._value = min(
            max(measured - NOISE_FRACTION * equal_share, equal_share), 1.0
        )
