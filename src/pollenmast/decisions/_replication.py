"""Which flows are replicated, when, and at what rate.

A flow that any VM can find by computation (the default endpoint of its key)
needs no record. Two kinds of flow cannot be computed: flows placed elsewhere
because of load, and flows whose endpoint is no longer the default because the
manifest has changed since. Without a record, the loss of their holder sends
their packets to an endpoint that does not know them, and the session breaks.

Flows that end within a moment need no record either: they end first. The age
is chosen from the curve of broken flows against control bytes that
`python -m bench run replication` prints.
"""

BURST_S = 2.0
"""Seconds of budget that may be sent at once. Without a budget a burst of new
flows, or a change of members, would take the control bytes of minutes in one
go, and the network with them."""


def is_due(age_s: float, off_default: bool, replicate_after_s: float) -> bool:
    """Returns whether a flow needs a record at its backup by now.

    Args:
        age_s: Seconds since the flow opened.
        off_default: Whether its endpoint cannot be computed from its key.
        replicate_after_s: The age from which every flow is replicated.
    """
    return off_default or age_s >= replicate_after_s
