"""Which flows are replicated, and when.

A flow at its default endpoint can be found by any VM by computation and needs
no record. Two kinds of flow cannot be computed: flows placed elsewhere because
of load, and flows whose endpoint is no longer their default because the
manifest has changed since. Without a record, the loss of their holder sends
their packets to an endpoint that does not know them, and the session breaks.

A third kind is held by a VM that no longer owns it, after a change of members.
Its owner gets the record, so that it need not ask for the holder, and so that
two holders of one flow, as a healed cut leaves them, find each other.

Of the first two, flows that end within a moment need no record either: they
end first. The age is chosen from the curve of broken flows against control
bytes that `python -m bench run replication` prints. Replicating every flow by
age alone was tried first and took 1.5 times the bytes at the same age.
"""

BURST_S = 2.0
"""Seconds of budget that may be sent at once. Without a budget a burst of new
flows, or a change of members, would take the control bytes of minutes in one
go, and the network with them."""


def is_due(age_s: float, off_default: bool, replicate_after_s: float) -> bool:
    """Returns whether a flow needs a record at its backup by now.

    Args:
        age_s: Seconds from the flow's opening to its caller's last packet.
        off_default: Whether its endpoint cannot be computed from its key.
        replicate_after_s: Age below which a flow is expected to end first.
    """
    return off_default and age_s >= replicate_after_s
