"""Requests load reports from one endpoint."""

import enum

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PROBES, Counters

MAX_REPORT_BYTES = 4096
"""Limit of a load report, in bytes. A report has six fields; anything longer is
something else, such as a page of another service."""

COUNT_LIMIT = 1 << 40
"""Counts from this value on are invalid; they would overflow the sums."""


class ProbeFault(str, enum.Enum):
    """The reason why a probe has no load report."""

    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@attrs.frozen
class Load:
    """A load report of an endpoint.

    Attributes:
        accepting: Whether the endpoint accepts new work.
        running: Requests that occupy a slot.
        queued: Requests that are waiting for a slot.
        connections: Open connections.
        finished: Requests finished since the endpoint started.
        uptime_s: Seconds since the endpoint started.
    """

    accepting: bool
    running: int
    queued: int
    connections: int
    finished: int
    uptime_s: float


_CONVERTER = make_converter()


class Probe:
    """Probes one endpoint over a persistent connection."""

    def __init__(self, address: str, port: int, counters: Counters):
        self._connection = http1.Connection(address, port, MAX_REPORT_BYTES)
        self._counters = counters

    async def load(self, timeout_s: float) -> Result[Load, ProbeFault]:
        """Requests the endpoint's load report and counts the outcome.

        Args:
            timeout_s: Seconds for the whole response.

        Returns:
            The load, or the reason why there is none.
        """
        before = self._connection.sent_bytes
        response = await self._connection.get("/load", timeout_s)
        sent = self._connection.sent_bytes - before
        self._counters.add(CONTROL_BYTES, "probe", sent)
        if isinstance(response, Err) or response.ok_value.status != 200:
            self._counters.add(PROBES, "failed")
            return Err(ProbeFault.UNREACHABLE)
        parsed = parse_load(response.ok_value.body)
        outcome = "answered" if parsed.is_ok() else "malformed"
        self._counters.add(PROBES, outcome)
        return parsed

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._connection.aclose()


def parse_load(body: bytes) -> Result[Load, ProbeFault]:
    """Parses a load report; one with impossible values is malformed."""
    try:
        load = _CONVERTER.loads(body, Load)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return Err(ProbeFault.MALFORMED)
    counts = (load.running, load.queued, load.connections, load.finished)
    counts_valid = all(0 <= count < COUNT_LIMIT for count in counts)
    if not counts_valid or not 0 <= load.uptime_s < COUNT_LIMIT:
        return Err(ProbeFault.MALFORMED)
    return Ok(load)
