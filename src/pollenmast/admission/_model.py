"""The input and the outcomes of admission control."""

import abc
import enum
from collections.abc import Hashable, Mapping

import attrs


@attrs.frozen
class FlowArrival:
    """A new flow that asks for admission.

    Attributes:
        key: Identifies the flow.
        ticket: Identifies the attempt while it is held.
        service: The service that it is for.
        caller: The client account, which is the client's IP address.
        priority: The urgency of its requests; 0 is the most urgent.
        target_latency_s: The time within which it should be answered, in
            seconds.
        route: Identifies the route, to recognise retries.
        max_wait_s: How much longer the client waits for it, in seconds.
    """

    key: Hashable
    ticket: int
    service: str
    caller: str
    priority: int
    target_latency_s: float
    route: Hashable = None
    max_wait_s: float = 1.3


class AdmitReason(str, enum.Enum):
    """Why a flow was admitted."""

    FREE = "free"
    """The service has capacity here; any endpoint may be chosen."""

    CREDIT = "credit"
    """The service is short of capacity, and this VM has a credit for the
    endpoint."""

    GUEST = "guest"
    """The endpoint is in another zone, which has spare capacity."""


class RefuseReason(str, enum.Enum):
    """Why a flow was refused."""

    NO_ROOM = "no_room"
    """The flows ahead of it would take longer than it may be held."""

    HOLD_EXPIRED = "hold_expired"
    """It was held for as long as its target latency allows."""

    REPEAT_LIMIT = "repeat_limit"
    """It retries a refused attempt, and the retry budget is used up."""


@attrs.frozen
class Admit:
    """The flow may be placed.

    Attributes:
        endpoint: The endpoint to place it on, None for any.
        reason: Why it was admitted.
        held_s: How long it was held, in seconds.
    """

    endpoint: str | None
    reason: AdmitReason
    held_s: float = 0.0


@attrs.frozen
class Hold:
    """The flow is held until it is released.

    Attributes:
        until: When its hold expires, by the runtime's clock.
    """

    until: float


@attrs.frozen
class Refuse:
    """The flow is refused.

    Attributes:
        reason: The reason.
        held_s: How long it was held, in seconds.
    """

    reason: RefuseReason
    held_s: float = 0.0


@attrs.frozen
class Release:
    """A held flow whose decision has been made.

    Attributes:
        arrival: The flow.
        outcome: The decision.
    """

    arrival: FlowArrival
    outcome: Admit | Refuse


@attrs.frozen
class AdmissionSettings:
    """Which parts of admission control are in force.

    Attributes:
        credits: Whether flows are limited by credits. Without them all flows
            are admitted.
        guests: Whether flows may overflow to other zones.
        hold: Whether flows are held; without it they are refused at once.
        repeats: Whether retries of refused attempts are limited.
        full: Whether a full endpoint is told from one that is down.
    """

    credits: bool = True
    guests: bool = True
    hold: bool = True
    repeats: bool = True
    full: bool = True


@attrs.frozen
class ServiceStatus:
    """The state of admission control of one service on this VM.

    Attributes:
        service: The service.
        in_progress: This VM's requests in progress.
        credits: This VM's credits, or the number of requests that it may have
            in progress while it does not know its credits.
        held: The number of held flows.
        overloaded: Whether the service is short of capacity on this VM.
        service_time_s: The estimated time from a request to its answer, in
            seconds.
    """

    service: str
    in_progress: int
    credits: int
    held: int
    overloaded: bool
    service_time_s: float


class EndpointView(abc.ABC):
    """The state of the endpoints as admission control needs it."""

    @abc.abstractmethod
    def credits(self, service: str, now: float) -> Mapping[str, int] | None:
        """Returns this VM's credits by endpoint.

        Returns:
            The credits; None if the VMs that share the endpoints are not
            known.
        """

    @abc.abstractmethod
    def is_usable(self, endpoint: str, now: float) -> bool:
        """Returns whether a new flow may be placed on an endpoint."""

    @abc.abstractmethod
    def guest(self, service: str, now: float) -> str | None:
        """Returns an endpoint of another zone that has clearly less load.

        Returns:
            The endpoint's name; None if there is none, or the loads of the
            zones are not known.
        """
