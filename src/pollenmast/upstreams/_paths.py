"""Paths to upstreams: local UDP ports, each shared by several flows.

The relay cannot reliably match a datagram from an upstream to its flow by the
content: the caller's connection IDs can change under encryption. So each flow
has its own pair of local port and endpoint. A port carries at most one flow to
each endpoint. A relay therefore needs as many ports as its busiest endpoint has
flows, rather than one port for every flow.
"""

import abc
import collections
from typing import Generic, TypeVar

MAX_PATHS = 4096
"""Limit of local ports of one relay. It is twice the number of connections of
an endpoint, so that new flows never have to wait for a port that is kept out of
use after the end of its flow."""

PORT_COOLDOWN_S = 10.0
"""Seconds before a port is reused for the same endpoint. Datagrams of the ended
flow may still be in flight and would reach the new caller, who would discard
them but count them against the path."""

SILENT_PORT_COOLDOWN_S = 600.0
"""Seconds before a port is reused for the same endpoint after its flow stopped
getting replies. A device on the way may have lost the state of this path and
may keep dropping its datagrams, so that the next flow would hang as well.
Firewalls drop the state of an unused UDP flow within some minutes."""

_Flow = TypeVar("_Flow")
"""The relay's state of a flow; a path stores it without using it."""


class Path(abc.ABC, Generic[_Flow]):
    """A local UDP port for traffic with upstreams.

    Attributes:
        flows: The flow on this port by the address of its upstream.
    """

    __slots__ = ("flows",)

    def __init__(self):
        self.flows: dict[tuple[str, int], _Flow] = {}

    @abc.abstractmethod
    def send(self, data: bytes, upstream: tuple[str, int]) -> None:
        """Sends a datagram; if it cannot be sent, it is lost."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the port."""


class PathPool:
    """The relay's paths, which are opened on demand."""

    def __init__(self, open_path):
        """Creates a pool without open paths.

        Args:
            open_path: Opens and returns a new path; raises OSError if the
                system has no more sockets.
        """
        self._open_path = open_path
        self._paths: list[Path] = []

    @property
    def paths(self) -> list[Path]:
        """All open paths."""
        return self._paths

    def path(self, index: int) -> Path | None:
        """Returns the path with this index, opening paths up to it.

        Args:
            index: Index of the path, from 0.

        Returns:
            The path, or None if no more paths can be opened.
        """
        while index >= len(self._paths):
            if len(self._paths) >= MAX_PATHS:
                return None
            try:
                self._paths.append(self._open_path())
            except OSError:
                # No more sockets: treated like the limit of paths.
                return None
        return self._paths[index]

    def close(self) -> None:
        """Closes all paths."""
        for path in self._paths:
            path.close()


class PathChooser:
    """Assigns paths to the flows of one endpoint."""

    __slots__ = ("_lost", "_next_index", "_pool", "_resting", "_upstream")

    def __init__(self, pool: PathPool, upstream: tuple[str, int]):
        self._pool = pool
        self._upstream = upstream
        self._next_index = 0
        self._resting: collections.deque[tuple[float, Path]] = (
            collections.deque()
        )
        self._lost: collections.deque[tuple[float, Path]] = collections.deque()

    def assign(self, flow: _Flow, now: float) -> Path | None:
        """Assigns a path to a new flow.

        If no other path is available, the one that was released longest ago is
        reused early, unless its flow had stopped getting replies.

        Args:
            flow: The relay's state of the flow.
            now: The runtime's clock, in seconds.

        Returns:
            A path that carries no other flow to this endpoint, or None if none
            is available.
        """
        path = self._take_cooled_down(now)
        if path is None:
            path = self._pool.path(self._next_index)
            self._next_index += path is not None
        if path is None and self._resting:
            _, path = self._resting.popleft()
        if path is not None:
            path.flows[self._upstream] = flow
        return path

    def release(self, path: Path, now: float, lost: bool = False) -> None:
        """Releases a path after its flow has ended or moved to another path.

        Args:
            path: The path to release.
            now: The runtime's clock, in seconds.
            lost: Whether the flow left the path because it stopped getting
                replies. The path is then kept out of use for longer.
        """
        del path.flows[self._upstream]
        resting = self._lost if lost else self._resting
        resting.append((now, path))

    def _take_cooled_down(self, now: float) -> Path | None:
        if self._resting and now - self._resting[0][0] >= PORT_COOLDOWN_S:
            return self._resting.popleft()[1]
        if self._lost and now - self._lost[0][0] >= SILENT_PORT_COOLDOWN_S:
            return self._lost.popleft()[1]
        return None
