"""A budget for trying a flow's first packets at another endpoint.

Load pattern: endpoints stop answering because they are overloaded. Without a
budget each of their flows is tried elsewhere at once, the survivors get up
to twice the load, stop answering too, and the retries keep the service down
after the cause is gone. Retries are paid from a share of the new flows, so
that they can never be more than that share of the load.
"""

SHARE = 0.1
"""Retries per new flow: at most a tenth is added to the load.

One endpoint of seven that dies takes a seventh of the flows until it is
ejected, which takes three flows a VM; `MOST` covers those at once.
"""

MOST = 10.0
"""Retries saved up at the most; also what a quiet service starts with."""


class RetryBudget:
    """A token bucket that is filled by new flows."""

    def __init__(self):
        self._tokens = MOST

    def on_new_flow(self) -> None:
        """Adds a new flow's share."""
        self._tokens = min(MOST, self._tokens + SHARE)

    def spend(self) -> bool:
        """Takes one retry; False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
