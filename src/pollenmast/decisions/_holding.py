"""Limits the number of held flows to those that can be served in time.

Flows are held during a burst or a lasting overload. Without a hold, a burst of
some milliseconds is refused although slots free up right after it. With an
unbounded queue all callers wait for a queue that cannot be served, their
libraries retransmit, and the work is done for callers that have gone.

A flow is held only if the queue ahead of it can be served within a fraction
of the hold, at the rate at which this VM may place flows. Any further flow is
refused immediately with a retry-after time, so that no caller has to wait for
a refusal.
"""

from pollenmast.manifest import Limits

SAFE_HOLD_FRACTION = 0.5
"""Fraction of the hold within which the queue ahead has to be served.

Endpoints finish requests unevenly. With the whole hold, one refused flow in
seven had first waited until the hold expired (a trial at twice the capacity).
With half of it fewer than two in a hundred did (`python -m bench run
overload`, overload 2), at the same goodput and with a shorter wait.
"""


def max_held(limits: Limits, rate: float) -> int:
    """Returns the maximum number of held flows.

    Args:
        limits: The service's limits.
        rate: Flows per second that this VM may place.
    """
    servable = rate * limits.hold_ms / 1000.0
    # Otherwise a VM with few flows would hold none, not even a single one
    # that it can place well within the hold.
    at_least = 1 if servable >= 1.0 else 0
    return min(
        limits.held_flows, max(int(SAFE_HOLD_FRACTION * servable), at_least)
    )
