"""What an envelope holds."""

import enum


class Kind(enum.IntEnum):
    """The envelope's kind.

    All kinds share one number space, so that an envelope recorded on one
    port is never read as something else on another.
    """

    LINK = 1
    """Agent and relay of one VM, a message of `_codec`."""

    GOSSIP = 2
    """Agent to agent: heartbeats and news."""

    FETCH = 3
    """Agent to agent: a manifest asked for or handed out."""

    FORWARD = 10
    """Relay to relay: a caller's datagram for its owner or holder."""

    ASK = 11
    """Relay to relay: take this datagram if you know its flow."""

    UNKNOWN = 12
    """Relay to relay: a datagram asked about comes back, flow unknown."""

    RECORDS = 13
    """Relay to relay: flow records to keep, or to take over."""

    RECORDS_TAKEN = 14
    """Relay to relay: flow records that were taken over."""

    FOUND = 15
    """Relay to relay: a datagram comes back with the endpoint of its flow."""

    CONNECTION_IDS = 16
    """Relay to relay: connection ids and their endpoints, to keep."""

    FIND = 17
    """Relay to relay: to which endpoint does this connection id belong?"""

    NOT_FOUND = 18
    """Relay to relay: a datagram comes back, its connection id unknown."""
