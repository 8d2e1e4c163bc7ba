"""Paths to upstreams: local UDP ports, shared by flows to different endpoints.

An upstream's answer carries no key that the relay could read for certain: the
caller's connection ids may change under encryption. So each flow must have a
local port and an endpoint that together belong to it alone. One port serves a
flow to each endpoint; a relay therefore needs as many ports as it has flows to
its busiest endpoint, and not as many as it has flows.
"""

import abc
import collections
from typing import Generic, TypeVar

MOST_PATHS = 4096
"""Local ports of one relay: twice the connections of an endpoint, so that
ports at rest after a flow's end never hold up a new one."""

REST_S = 10.0
"""Time before a port is used again for the same endpoint, in seconds. Answers
to the ended flow may still be on their way, and would reach a new caller, who
would throw them away but count them against the path."""


LOST_REST_S = 600.0
"""The same for a path on which a flow fell silent, in seconds. What lost track
of it may go on losing it, and the next flow there would hang as well; firewalls
forget an unused UDP flow within some minutes."""


_Flow = TypeVar("_Flow")
"""Whatever the relay keeps of a flow; a path only hands it back."""


class Path(abc.ABC, Generic[_Flow]):
    """One local port towards upstreams.

    Attributes:
        flows: The flow of each upstream address.
    """

    __slots__ = ("flows",)

    def __init__(self):
        self.flows: dict[tuple[str, int], _Flow] = {}

    @abc.abstractmethod
    def send(self, data: bytes, upstream: tuple[str, int]) -> None:
        """Sends a datagram; what cannot be sent is lost, as on any network."""

    @abc.abstractmethod
    def close(self) -> None:
        """Gives the port back."""


class PathPool:
    """The relay's paths, opened as they are needed.

    Attributes:
        open_path: Opens one more path.
    """

    def __init__(self, open_path):
        self._open_path = open_path
        self._paths: list[Path] = []

    @property
    def paths(self) -> list[Path]:
        """Every open path."""
        return self._paths

    def path(self, index: int) -> Path | None:
        """Returns the path with this index, or None beyond the last."""
        while index >= len(self._paths):
            if len(self._paths) >= MOST_PATHS:
                return None
            try:
                self._paths.append(self._open_path())
            except OSError:
                # The system has no more sockets: as good as the last path.
                return None
        return self._paths[index]

    def close(self) -> None:
        """Closes every path."""
        for path in self._paths:
            path.close()


class PathChooser:
    """Chooses a path for each new flow to one endpoint."""

    __slots__ = ("_lost", "_next", "_pool", "_resting", "_upstream")

    def __init__(self, pool: PathPool, upstream: tuple[str, int]):
        self._pool = pool
        self._upstream = upstream
        self._next = 0
        self._resting: collections.deque[tuple[float, Path]] = (
            collections.deque()
        )
        self._lost: collections.deque[tuple[float, Path]] = collections.deque()

    def take(self, flow: _Flow, now: float) -> Path | None:
        """Returns a path of the flow's own, or None when all are used."""
        path = self._rested(now)
        if path is None:
            path = self._pool.path(self._next)
            self._next += path is not None
        if path is None and self._resting:
            _, path = self._resting.popleft()
        if path is not None:
            path.flows[self._upstream] = flow
        return path

    def give_back(self, path: Path, now: float, lost: bool = False) -> None:
        """Lets a path rest after its flow has ended or moved.

        Args:
            path: The path.
            now: The runtime's clock, in seconds.
            lost: Whether the flow left it because it had fallen silent.
        """
        del path.flows[self._upstream]
        resting = self._lost if lost else self._resting
        resting.append((now, path))

    def _rested(self, now: float) -> Path | None:
        if self._resting and now - self._resting[0][0] >= REST_S:
            return self._resting.popleft()[1]
        if self._lost and now - self._lost[0][0] >= LOST_REST_S:
            return self._lost.popleft()[1]
        return None
