"""Asks one endpoint for its load report."""

import enum

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PROBES, Counters

MOST_REPORT_BYTES = 4096
"""A load report has six fields; a page of another service is no report."""

LARGEST_COUNT = 1 << 40
"""Counts above this are no counts; they would overflow what sums them."""


class ProbeFault(str, enum.Enum):
    """Why a probe gave no load."""

    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@attrs.frozen
class Load:
    """An endpoint's own report.

    Attributes:
        accepting: Whether it takes new work.
        running: Requests that hold a slot.
        queued: Requests that wait for a slot.
        connections: Open connections.
        finished: Requests finished since its start.
        uptime_s: Seconds since its start.
    """

    accepting: bool
    running: int
    queued: int
    connections: int
    finished: int
    uptime_s: float


_CONVERTER = make_converter()


class Probe:
    """Probes one endpoint over a kept connection."""

    def __init__(self, address: str, port: int, counters: Counters):
        self._connection = http1.Connection(address, port, MOST_REPORT_BYTES)
        self._counters = counters

    async def load(self, timeout_s: float) -> Result[Load, ProbeFault]:
        """Returns the endpoint's load, or why there is none."""
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
    """Returns the report that a body holds, if it holds a possible one."""
    try:
        load = _CONVERTER.loads(body, Load)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return Err(ProbeFault.MALFORMED)
    counts = (load.running, load.queued, load.connections, load.finished)
    possible = all(0 <= count < LARGEST_COUNT for count in counts)
    if not possible or not 0 <= load.uptime_s < LARGEST_COUNT:
        return Err(ProbeFault.MALFORMED)
    return Ok(load)
