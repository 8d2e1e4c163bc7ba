"""What becomes of a client's segment."""

import attrs

from pollenmast.counters import DropReason, PlacementReason, ResetReason
from pollenmast.steering._model import Endpoint, FlowKey


@attrs.frozen
class Forward:
    """The segment goes to an endpoint.

    Attributes:
        endpoint: The endpoint.
        placed: Why it was chosen, for a segment that opens a flow.
    """

    endpoint: Endpoint
    placed: PlacementReason | None = None


@attrs.frozen
class Reset:
    """The client is told that its flow has ended.

    Attributes:
        flow: The flow.
        sequence: A number that the client takes for the flow's.
        reason: Why, for counters and log.
        endpoint: The flow's endpoint, or empty.
    """

    flow: FlowKey
    sequence: int
    reason: ResetReason
    endpoint: str = ""


@attrs.frozen
class Drop:
    """The segment is thrown away without an answer.

    Attributes:
        reason: Why.
    """

    reason: DropReason


Outcome = Forward | Reset | Drop
