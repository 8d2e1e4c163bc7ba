"""How many flows may wait, so that those who wait are served in time.

Load pattern: a burst, or overload that lasts. Without a hold a burst of some
milliseconds is refused although slots free up at once; with a long hold all
callers wait for a queue that cannot be served, their libraries send again,
and the work is done for callers who have gone.

A flow is held only while the queue ahead can be served within a part of the
hold, at the rate at which this VM may place flows. One beyond that is refused
in the same moment with a time to come back; nobody is kept waiting for a
refusal.
"""

from pollenmast.manifest import Limits

SURE_PART = 0.5
"""Part of the hold that the queue ahead may take.

Endpoints finish unevenly. With the whole hold one refused flow in seven had
waited it out first (a trial at twice the capacity); with half of it fewer
than two in a hundred (`python -m bench run overload`, overload 2), at the
same goodput and a shorter wait.
"""


def most_held(limits: Limits, rate: float) -> int:
    """Returns how many flows may be held at a rate of flows a second."""
    servable = rate * limits.hold_ms / 1000.0
    # A VM with few flows would else hold none, not even the single one that
    # its next turn serves well within the hold.
    at_least = 1 if servable >= 1.0 else 0
    return min(limits.held_flows, max(int(SURE_PART * servable), at_least))
