"""The possible decisions about a client's segment."""

import attrs

from pollenmast.counters import DropReason, PlacementReason, ResetReason
from pollenmast.steering._model import Endpoint, FlowKey, Segment


@attrs.frozen
class Forward:
    """The segment is forwarded to an endpoint.

    Attributes:
        endpoint: The endpoint.
        placed: Why the endpoint was chosen, if the segment opens a flow.
    """

    endpoint: Endpoint
    placed: PlacementReason | None = None


@attrs.frozen
class Held:
    """The segment, a SYN, is held until its flow is admitted or refused."""


@attrs.frozen
class Released:
    """A held SYN whose flow has been admitted or refused.

    Attributes:
        segment: The SYN.
        outcome: What happens to it.
        held_s: How long it was held, in seconds.
    """

    segment: Segment
    outcome: "Outcome"
    held_s: float


@attrs.frozen
class Reset:
    """The client is sent a reset that ends its flow.

    Attributes:
        flow: The flow.
        sequence: A sequence number that the client accepts for the flow.
        reason: The reason, for counters and the log.
        endpoint: The name of the flow's endpoint, or empty.
        service: The service that has too little capacity, or empty.
    """

    flow: FlowKey
    sequence: int
    reason: ResetReason
    endpoint: str = ""
    service: str = ""


@attrs.frozen
class Drop:
    """The segment is discarded without an answer.

    Attributes:
        reason: The reason, for counters.
    """

    reason: DropReason


Outcome = Forward | Reset | Drop | Held
