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
