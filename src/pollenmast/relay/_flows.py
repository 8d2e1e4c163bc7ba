"""The per-flow, per-endpoint and per-service state of a relay.

These objects are used on the packet path, and there are hundreds of thousands
of them. They therefore have plain attributes in slots and store times as whole
ticks, which share integer objects.
"""

import abc
import enum

from pollenmast.decisions._ownership import flow_hash
from pollenmast.manifest import Service
from pollenmast.upstreams._paths import Path, PathChooser, PathPool

TICKS_PER_S = 10
"""Resolution of a flow's times, in ticks per second.

All flows of a tick share one integer object; a float per time would take 24
bytes in every flow.
"""


class FlowState(enum.IntEnum):
    """The life-cycle state of a flow."""

    OPENING = 0
    """The first packets were sent; the upstream has not answered yet."""

    ESTABLISHED = 1
    """The upstream has answered."""

    ADOPTED = 2
    """Taken over; the upstream has not answered on the new path yet."""

    HANDED_OVER = 3
    """Another relay forwards the flow; this relay only its late answers."""

    UNCONFIRMED = 4
    """Known to no VM; tried at the default endpoint of its key."""


class Target:
    """An endpoint, as the packet path uses it.

    Attributes:
        service: The service's number.
        name: The endpoint's name.
        number: `peers.endpoint_id` of service and name.
        idempotent: Whether its requests may safely run twice.
        address: The IP address and port that its packets are sent to.
        serving: Whether the manifest allows new flows to it.
        flows: Number of flows that this relay forwards to it.
        answered_tick: Tick of its latest answer to any flow.
        paths: Chooses the path of each flow to it.
    """

    __slots__ = (
        "address",
        "answered_tick",
        "flows",
        "idempotent",
        "name",
        "number",
        "paths",
        "service",
        "serving",
    )

    def __init__(
        self,
        service: int,
        name: str,
        number: int,
        address: tuple[str, int],
        pool: PathPool,
    ):
        self.service = service
        self.name = name
        self.number = number
        self.address = address
        self.serving = True
        self.idempotent = False
        self.flows = 0
        self.answered_tick = 0
        self.paths = PathChooser(pool, address)


class Listener(abc.ABC):
    """A service's port towards callers.

    Attributes:
        service: The service as defined in the current manifest.
        flows: The flows by the caller's IP address and port.
    """

    __slots__ = ("flows", "service")

    def __init__(self, service: Service):
        self.service = service
        self.flows: dict[tuple[str, int], Flow] = {}

    @abc.abstractmethod
    def send(self, data: bytes, caller: tuple[str, int]) -> None:
        """Sends a datagram to a caller from the service's address."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the port."""


class Flow:
    """A flow that this relay forwards.

    Attributes:
        caller: The caller's IP address and port.
        listener: The service's port that the caller uses.
        target: The endpoint.
        path: The local port towards the endpoint.
        state: The flow's life-cycle state.
        opened_tick: Tick of its first packet at this relay.
        received_tick: Tick of the caller's latest packet, or of the hand-over
            to another relay.
        answered_tick: Tick of the upstream's latest packet, or of the latest
            change of path.
        unanswered: Number of the caller's packets since the upstream's latest
            packet.
        backup: Number of the VM that stores its record, 0 for none.
        off_default: Whether its endpoint cannot be computed from its key.
    """

    __slots__ = (
        "answered_tick",
        "backup",
        "caller",
        "received_tick",
        "listener",
        "off_default",
        "opened_tick",
        "path",
        "state",
        "target",
        "unanswered",
    )

    def __init__(
        self,
        caller: tuple[str, int],
        listener: Listener,
        target: Target,
        tick: int,
        state: FlowState,
    ):
        self.caller = caller
        self.listener = listener
        self.target = target
        self.path: Path | None = None
        self.state = state
        self.opened_tick = tick
        self.received_tick = tick
        self.answered_tick = tick
        self.unanswered = 0
        self.backup = 0
        self.off_default = False

    @property
    def key(self) -> int:
        """The flow's hash, by which every VM finds its owner."""
        return flow_hash(self.listener.service.port, *self.caller)
