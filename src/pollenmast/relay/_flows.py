"""What a relay remembers of flows, endpoints and services.

These objects stand on the packet path and exist by the hundred thousand, so
they hold plain attributes in slots, and times as shared whole ticks.
"""

import abc
import enum

from pollenmast.decisions._ownership import flow_hash
from pollenmast.manifest import Service
from pollenmast.upstreams._paths import Path, PathChooser, PathPool

TICKS_PER_S = 10
"""Resolution of a flow's times; one integer object serves all flows of a tick,
where a float each would take 24 bytes of every flow."""


class FlowState(enum.IntEnum):
    """How far a flow has come."""

    OPENING = 0
    """Its first packets went out; nothing came back yet."""

    CARRIED = 1
    """The upstream has answered."""

    ADOPTED = 2
    """Taken over; the upstream has not yet answered by the new path."""

    MOVED = 3
    """Another relay carries it; only late answers pass here."""

    GUESSED = 4
    """Unknown to all; tried at the endpoint that its key computes to."""


class Target:
    """One endpoint as the packet path sees it.

    Attributes:
        service: The service's number.
        name: The endpoint's name.
        number: `peers.endpoint_id` of service and name.
        idempotent: Whether its requests may run twice.
        address: Where its packets go.
        serving: Whether the manifest lets it take new flows.
        flows: Flows that this relay carries to it.
        answered: Tick of its last answer to any flow.
        paths: Chooses a path for each flow to it.
    """

    __slots__ = (
        "address",
        "answered",
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
        self.answered = 0
        self.paths = PathChooser(pool, address)


class Listener(abc.ABC):
    """One service's port towards callers.

    Attributes:
        service: The service as the manifest in force has it.
        flows: The flow of each caller's address.
    """

    __slots__ = ("flows", "service")

    def __init__(self, service: Service):
        self.service = service
        self.flows: dict[tuple[str, int], Flow] = {}

    @abc.abstractmethod
    def send(self, data: bytes, caller: tuple[str, int]) -> None:
        """Answers a caller from the service's address."""

    @abc.abstractmethod
    def close(self) -> None:
        """Gives the port back."""


class Flow:
    """One flow that this relay carries.

    Attributes:
        caller: The caller's IP number and port.
        listener: The service's port that the caller uses.
        target: The endpoint.
        path: The local port towards it.
        state: How far the flow has come.
        opened: Tick of its first packet here.
        heard: Tick of the caller's last packet, or when the flow moved away.
        answered: Tick of the upstream's last packet or of the last new path.
        unanswered: Caller's packets since the upstream's last.
        backup: Number of the VM that keeps its record, 0 for none.
        off_default: Whether its endpoint cannot be computed from its key.
    """

    __slots__ = (
        "answered",
        "backup",
        "caller",
        "heard",
        "listener",
        "off_default",
        "opened",
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
        self.opened = tick
        self.heard = tick
        self.answered = tick
        self.unanswered = 0
        self.backup = 0
        self.off_default = False

    @property
    def key(self) -> int:
        """Its hash, by which every VM finds its owner."""
        return flow_hash(self.listener.service.port, *self.caller)
