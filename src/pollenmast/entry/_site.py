"""HTTP responses of a VM: readiness, snapshots for peers, and metrics."""

import urllib.parse

import anyio

from pollenmast import http1
from pollenmast.counters import Counters, FaultPlace, Histograms
from pollenmast.entry import _gauges as gauges
from pollenmast.entry import _metrics as metrics
from pollenmast.entry import _peers as peers
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.http1 import Request, ServerResponse
from pollenmast.steering import START_POSITION, Position, Steering

METRICS_PATH = "/metrics"

MAX_CACHED_SNAPSHOTS = 8
"""Maximum number of cached snapshots. VMs that ask at the same time are at one
or two different revisions."""

MAX_CACHED_BYTES = 4 << 20
"""Maximum size of the cached snapshots in bytes; a single one may be larger."""

MAX_DIGITS = 19
"""Maximum number of digits of a number in a query string."""

_NOT_FOUND = ServerResponse(404, b"not found\n")
_NO_CONTENT = ServerResponse(204)
_FAILED = ServerResponse(500, b"internal error\n")


class HttpHandler:
    """Handles the HTTP requests to one VM."""

    def __init__(
        self,
        ready_path: str,
        steering: Steering,
        counters: Counters,
        histograms: Histograms,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._ready_path = ready_path
        self._steering = steering
        self._counters = counters
        self._histograms = histograms
        self._stopping = False
        self._snapshot_cache = (START_POSITION, dict[Position, bytes]())

    def stop(self) -> None:
        """Reports the VM as not ready from now on, as it shuts down."""
        self._stopping = True

    async def answer(self, request: Request) -> http1.ServerResponse:
        """Returns the response to a request."""
        with self._faults.guard(FaultPlace.REQUEST, request.target):
            return self._respond(request)
        return _FAILED

    def _respond(self, request: Request) -> ServerResponse:
        if request.path == self._ready_path:
            return self._readiness()
        if request.path == peers.SNAPSHOT_PATH:
            return self._snapshot(request.query)
        if request.path == METRICS_PATH:
            return self._metrics()
        return _NOT_FOUND

    def _readiness(self) -> ServerResponse:
        if self._steering.serves and not self._stopping:
            return ServerResponse(200, b"ready\n")
        return ServerResponse(503, b"not ready\n")

    def _snapshot(self, query: str) -> ServerResponse:
        fields = urllib.parse.parse_qs(query)
        known = Position(
            _parse_count(fields, "epoch"), _parse_count(fields, "after")
        )
        if not self._steering.ready or self._steering.position <= known:
            return _NO_CONTENT
        return ServerResponse(
            200, self._cached_snapshot(known), "application/zlib"
        )

    def _cached_snapshot(self, known: Position) -> bytes:
        """Returns a snapshot of what is newer than a position, from the cache.

        The VMs of an availability zone learn of a change at the same time and
        ask a reader together, so that each snapshot is encoded only once.
        """
        position, bodies = self._snapshot_cache
        if position != self._steering.position:
            position, bodies = self._steering.position, {}
            self._snapshot_cache = (position, bodies)
        if known in bodies:
            return bodies[known]
        body = snapshot.encode(self._steering, known)
        cached = sum(map(len, bodies.values()))
        if (
            len(bodies) >= MAX_CACHED_SNAPSHOTS
            or cached + len(body) > MAX_CACHED_BYTES
        ):
            bodies.clear()
        bodies[known] = body
        return body

    def _metrics(self) -> ServerResponse:
        samples = gauges.read(self._steering, anyio.current_time())
        body = metrics.text(self._counters, self._histograms, samples)
        return ServerResponse(200, body, metrics.CONTENT_TYPE)


def _parse_count(fields: dict[str, list[str]], name: str) -> int:
    """Returns a non-negative integer of a query, 0 if missing or invalid."""
    text = fields.get(name, [""])[0]
    usable = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if usable else 0
