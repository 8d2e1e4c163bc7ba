"""Estimates an endpoint's service time from its load reports alone.

The estimate is used to find a slow endpoint although single requests take
uneven times. Flows are not decrypted, so a VM cannot time a request itself. By
Little's law the mean service time is the mean number of busy slots divided by
the finish rate, at any load.

A short averaging window reacts too strongly to single long requests, and a
long one detects a slow endpoint late. So there are two averages. The long one
is used unless the short one differs from it by more than chance explains.
"""

SHORT_DECAY = 0.8
"""Decay factor per report of the short average.

It averages over about five reports, 2.5 s.
"""

LONG_DECAY = 0.95
"""Decay factor per report of the long average.

It averages over about twenty reports, 10 s. At 30 requests per second the
error is a tenth.
"""

CHANGE_RATIO = 2.5
"""Ratio between the averages above which the short one is used.

If one request in fifty takes thirty times longer, the standard error of the
short average is about a third. A ratio of 2.5 is far outside of it.
"""

DEFAULT_SERVICE_TIME_S = 0.1
"""Service time, in seconds, that is assumed until one is measured.

Requests usually take tens to hundreds of milliseconds.
"""

PRIOR_REQUESTS = 2.0
"""Weight, in requests, of that assumption and of the last value when idle."""


class _DecayingMean:
    """Busy time divided by finished requests, both decaying exponentially."""

    def __init__(self, decay: float):
        self._decay = decay
        self._busy = PRIOR_REQUESTS * DEFAULT_SERVICE_TIME_S
        self._finished = PRIOR_REQUESTS

    @property
    def mean(self) -> float:
        return self._busy / self._finished

    def add(self, busy: float, finished: int) -> None:
        mean = self.mean
        self._busy = self._decay * self._busy + busy
        self._finished = self._decay * self._finished + finished
        # In an idle period both would decay to zero and their ratio would
        # become noise. So the last value is kept.
        missing = PRIOR_REQUESTS - self._finished
        if missing > 0.0 and busy == 0.0:
            self._busy += missing * mean
            self._finished = PRIOR_REQUESTS


class ServiceTime:
    """Estimate of the service time of one endpoint."""

    def __init__(self):
        self._short = _DecayingMean(SHORT_DECAY)
        self._long = _DecayingMean(LONG_DECAY)

    @property
    def mean(self) -> float:
        """The mean service time in seconds, at least a millisecond."""
        short_mean, long_mean = self._short.mean, self._long.mean
        clear = (
            short_mean > CHANGE_RATIO * long_mean
            or long_mean > CHANGE_RATIO * short_mean
        )
        return max(short_mean if clear else long_mean, 0.001)

    def add(self, running: int, finished: int, length_s: float) -> None:
        """Adds the period between two reports.

        Args:
            running: Busy slots in that period.
            finished: Requests finished in it.
            length_s: Its length in seconds.
        """
        busy = running * length_s
        self._short.add(busy, finished)
        self._long.add(busy, finished)
