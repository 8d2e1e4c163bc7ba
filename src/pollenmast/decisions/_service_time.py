"""How long an endpoint takes for a request, from its load reports alone.

Load pattern: one endpoint is slow, and requests of uneven length. Flows are
not decrypted, so a VM cannot time a request itself. By Little's law the mean
service time is the mean number of busy slots divided by the finish rate, at
any load.

Single long requests make a short memory jump, and a long memory sees a slow
endpoint late. So there are two: the long one counts unless the short one
differs from it by more than chance explains.
"""

SHORT_MEMORY = 0.8
"""Part of the past kept at each report: five reports, 2.5 s."""

LONG_MEMORY = 0.95
"""Twenty reports, 10 s: at 30 requests a second, a tenth of error."""

CLEAR_CHANGE = 2.5
"""Factor between the memories at which the short one counts.

With one request in fifty that takes thirty times longer, the short memory's
standard error is about a third; 2.5 times is far outside it.
"""

USUAL_S = 0.1
"""Service time assumed until one is measured: tens to hundreds of ms."""

PRIOR_REQUESTS = 2.0
"""Weight of that assumption, and of the last known value when idle."""


class _Memory:
    """Busy time and finished requests, both fading."""

    def __init__(self, keep: float):
        self._keep = keep
        self._busy = PRIOR_REQUESTS * USUAL_S
        self._finished = PRIOR_REQUESTS

    @property
    def mean(self) -> float:
        return self._busy / self._finished

    def add(self, busy: float, finished: int) -> None:
        mean = self.mean
        self._busy = self._keep * self._busy + busy
        self._finished = self._keep * self._finished + finished
        # In an idle stretch both would fade to nothing and their ratio to
        # noise; then the last known value is kept.
        missing = PRIOR_REQUESTS - self._finished
        if missing > 0.0 and busy == 0.0:
            self._busy += missing * mean
            self._finished = PRIOR_REQUESTS


class ServiceTime:
    """The service time of one endpoint."""

    def __init__(self):
        self._short = _Memory(SHORT_MEMORY)
        self._long = _Memory(LONG_MEMORY)

    @property
    def mean(self) -> float:
        """Returns the mean in seconds, at least a millisecond."""
        short, usual = self._short.mean, self._long.mean
        clear = short > CLEAR_CHANGE * usual or usual > CLEAR_CHANGE * short
        return max(short if clear else usual, 0.001)

    def add(self, running: int, finished: int, length_s: float) -> None:
        """Takes in what happened between two reports."""
        busy = running * length_s
        self._short.add(busy, finished)
        self._long.add(busy, finished)
