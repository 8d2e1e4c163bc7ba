"""What the decisions under load are asked, and what they answer."""

import attrs

from pollenmast.counters import RefusalReason


@attrs.frozen
class FlowRequest:
    """A new flow that asks to be served.

    Attributes:
        ticket: Identifies the request until it is placed, refused or gone.
        service: The service's number.
        caller: The caller's IP number; its port plays no part here.
        flow_hash: 64-bit hash of service and caller address and port, the
            same on every VM.
    """

    ticket: int
    service: int
    caller: str
    flow_hash: int


@attrs.frozen
class Placed:
    """The flow goes to this endpoint.

    Attributes:
        endpoint: The endpoint's name.
        off_default: Whether another VM that knew only the flow's key and the
            manifest would look for it elsewhere.
        why: In an operator's words.
    """

    endpoint: str
    off_default: bool
    why: str


@attrs.frozen
class Held:
    """The flow's first packets wait until this time of the runtime's clock."""

    until: float


@attrs.frozen
class Refused:
    """The flow is refused at once.

    Attributes:
        reason: Named and counted.
        retry_after_ms: When the caller may come back, spread so that those
            refused together do not return together.
    """

    reason: RefusalReason
    retry_after_ms: int


@attrs.frozen
class Released:
    """A held flow's final outcome."""

    ticket: int
    outcome: Placed | Refused
