"""Latency histograms with fixed buckets and integer counts."""

import bisect

import attrs

BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0),
)
"""Upper bounds of the buckets, in seconds.

They range from a network path within a zone to the longest deadlines of
requests, and are densest around the latency targets of 0.1 to 0.2 seconds."""


@attrs.frozen
class HistogramDefinition:
    """A histogram of the catalogue.

    Attributes:
        name: In lower case with underscores; the unit is seconds.
        description: What it measures, for an operator.
    """

    name: str
    description: str


ANSWER_WAIT = HistogramDefinition(
    "answer_wait",
    "From a request's first packet until its client has received something"
    " new, as far as both packets pass this VM.",
)
OPEN_WAIT = HistogramDefinition(
    "open_wait", "From a flow's SYN until the client's next packet."
)
DIRECTORY_READ = HistogramDefinition(
    "directory_read", "Reads of the whole directory that were answered."
)
CHECK_TIME = HistogramDefinition(
    "check_time", "Health checks, answered or not."
)

HISTOGRAMS = (ANSWER_WAIT, OPEN_WAIT, DIRECTORY_READ, CHECK_TIME)


class Histogram:
    """The counts and the sum of one histogram."""

    def __init__(self):
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self._sum = 0.0

    @property
    def sum_s(self) -> float:
        """The sum of all observations, in seconds."""
        return self._sum

    def observe(self, seconds: float) -> None:
        """Adds one observation."""
        self._counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self._sum += seconds

    def cumulative(self) -> list[int]:
        """Returns the cumulative count up to each bound, then the total."""
        total, counts = 0, []
        for count in self._counts:
            total += count
            counts.append(total)
        return counts


class Histograms:
    """The histograms of one process."""

    def __init__(self):
        self._by_name = {
            definition.name: Histogram() for definition in HISTOGRAMS
        }

    def observe(self, definition: HistogramDefinition, seconds: float) -> None:
        """Adds one observation to a histogram."""
        self._by_name[definition.name].observe(seconds)

    def get(self, definition: HistogramDefinition) -> Histogram:
        """Returns the histogram of a definition."""
        return self._by_name[definition.name]
