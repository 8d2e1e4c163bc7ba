"""Requests to the dispatcher and the outcomes that it returns."""

import attrs

from pollenmast.counters import RefusalReason


@attrs.frozen
class FlowRequest:
    """A new flow that is to be placed.

    Attributes:
        ticket: Identifies the request until it is placed, refused or dropped.
        service: The service's number.
        caller: The caller's IP address, without the port.
        flow_hash: 64-bit hash of the service and the caller's address and
            port; the same on every VM.
    """

    ticket: int
    service: int
    caller: str
    flow_hash: int


@attrs.frozen
class Placed:
    """The flow is placed at an endpoint.

    Attributes:
        endpoint: The endpoint's name.
        off_default: Whether the endpoint is not the flow's default. Another VM
            that knows only the flow's key and the manifest would then look
            for the flow at the wrong endpoint.
        why: An explanation for operators.
    """

    endpoint: str
    off_default: bool
    why: str


@attrs.frozen
class Held:
    """The flow's first packets are held.

    Attributes:
        until: When the hold expires, by the runtime's clock.
    """

    until: float


@attrs.frozen
class Refused:
    """The flow is refused immediately.

    Attributes:
        reason: The reason, by which refusals are counted.
        retry_after_ms: Time after which the caller may retry, with jitter so
            that callers refused together do not retry together.
    """

    reason: RefusalReason
    retry_after_ms: int


@attrs.frozen
class Released:
    """The final outcome of a held flow."""

    ticket: int
    outcome: Placed | Refused
