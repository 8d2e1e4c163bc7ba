"""Decides which flows are replicated to another VM, and when.

Any VM can compute the endpoint of a flow at its default endpoint, so such a
flow needs no record at another VM. Two kinds of flows cannot be computed:
flows placed elsewhere because of load, and flows whose endpoint is no longer
the default because the manifest has changed since. If their holder is lost
without a record, their packets are sent to an endpoint that does not know
them, and the session breaks.

A third kind of flow is held by a VM that no longer owns it, after a change of
members. Its owner stores the record, so that the owner need not search for the
holder, and so that two holders of one flow, which may exist after a healed
network partition, detect each other.

Short flows of the first two kinds need no record either, because they end
before it could be of use. The minimum age is chosen from the curve of broken
flows against control traffic in bytes that `python -m bench run replication`
prints. Replicating every flow by its age alone took 1.5 times the bytes at the
same age.
"""

BURST_S = 2.0
"""Maximum burst of control traffic, in seconds of its budget. Without a budget,
a burst of new flows or a change of members would send the control bytes of
minutes at once and congest the network."""


def is_due(age_s: float, off_default: bool, replicate_after_s: float) -> bool:
    """Returns whether the backup of a flow needs a record of it now.

    Args:
        age_s: Time from the opening of the flow to its caller's last packet,
            in seconds.
        off_default: Whether the flow's endpoint cannot be computed from its
            key.
        replicate_after_s: Minimum age of a flow to replicate, in seconds.
            Younger flows are expected to end before their record is needed.
    """
    return off_default and age_s >= replicate_after_s
