"""Retry budget for sending a flow's first packets to another endpoint.

Endpoints may stop answering because they are overloaded. Without a budget all
of their flows are retried elsewhere immediately. The remaining endpoints get up
to twice the load and stop answering too, and the retries keep the service down
after the cause is gone. So each new flow adds a fraction of a retry to the
budget, which limits retries to that fraction of the load.
"""

RETRIES_PER_FLOW = 0.1
"""Retries per new flow, so that they add at most a tenth to the load.

If one of seven endpoints dies, a seventh of the flows have to be retried until
it is ejected. That takes three flows per VM, which `MAX_TOKENS` covers at
once.
"""

MAX_TOKENS = 10.0
"""Maximum number of saved retries, and the number at the start."""


class RetryBudget:
    """Token bucket of retries that is filled by new flows."""

    def __init__(self):
        self._tokens = MAX_TOKENS

    def on_new_flow(self) -> None:
        """Adds the fraction of a retry that a new flow allows."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRIES_PER_FLOW)

    def spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
