"""Message types of envelopes."""

import enum


class MessageType(enum.IntEnum):
    """The type of an envelope's body.

    All ports share one number space, so that an envelope captured on one port
    and replayed to another is never taken for a different message.
    """

    LINK = 1
    """Agent and relay of the same VM: a message of `_codec`."""

    GOSSIP = 2
    """Agent to agent: heartbeats and updates."""

    FETCH = 3
    """Agent to agent: a manifest's request or reply."""

    FORWARD = 10
    """Relay to relay: a caller's datagram, forwarded to its flow's owner or
    holder."""

    FLOW_LOOKUP = 11
    """Relay to relay: a datagram whose flow the sender does not know; the
    receiver handles it if it knows the flow."""

    FLOW_NOT_FOUND = 12
    """Relay to relay: returns the datagram of a FLOW_LOOKUP; its flow is
    unknown."""

    RECORDS = 13
    """Relay to relay: a batch of flow records; see `RecordAction`."""

    RECORDS_ACK = 14
    """Relay to relay: acknowledges a batch of RECORDS."""

    LOOKUP_RESULT = 15
    """Relay to relay: returns the datagram of a FLOW_LOOKUP or
    CONNECTION_ID_LOOKUP, with the endpoint of its flow."""

    CONNECTION_IDS = 16
    """Relay to relay: connection IDs and their endpoints, to store."""

    CONNECTION_ID_LOOKUP = 17
    """Relay to relay: a datagram whose connection ID the receiver looks up."""

    CONNECTION_ID_NOT_FOUND = 18
    """Relay to relay: returns the datagram of a CONNECTION_ID_LOOKUP; its
    connection ID is unknown."""
