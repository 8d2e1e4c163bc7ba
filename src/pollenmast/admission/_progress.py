"""Tells a backlog that is worked off from an overload that lasts.

After a loss of power the clients' backlog arrives at one instant, and endpoints
work it off within a second; a flow that waits longer than it should is still
served, late. During a lasting overload it would only take the place of a newer
flow that could be served in time.
"""

import collections

import attrs

SAMPLE_INTERVAL_S = 0.02
"""Minimum time between two samples of the counts, in seconds."""

MAX_SAMPLES = 64
"""Maximum number of samples, which cover more than a second."""


@attrs.frozen
class _Sample:
    at: float
    arrived: collections.Counter[int]
    admitted: collections.Counter[int]


class Progress:
    """Counts of arrived and admitted flows of one service, by priority."""

    def __init__(self):
        self._arrived: collections.Counter[int] = collections.Counter()
        self._admitted: collections.Counter[int] = collections.Counter()
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def on_arrived(self, priority: int, now: float) -> None:
        """Counts a flow that arrived."""
        self._arrived[priority] += 1
        self._sample(now)

    def on_admitted(self, priority: int, now: float) -> None:
        """Counts a flow that was admitted."""
        self._admitted[priority] += 1
        self._sample(now)

    def is_draining(self, priority: int, since: float) -> bool:
        """Whether more flows were admitted than arrived since a time.

        Args:
            priority: Only flows of this priority or a more urgent one count.
            since: The time by the runtime's clock in seconds.
        """
        sample = None
        for each in reversed(self._samples):
            sample = each
            if each.at <= since:
                break
        if sample is None:
            return False
        admitted = _up_to(self._admitted, priority) - _up_to(
            sample.admitted, priority
        )
        arrived = _up_to(self._arrived, priority) - _up_to(
            sample.arrived, priority
        )
        return admitted > arrived

    def _sample(self, now: float) -> None:
        if self._samples and now - self._samples[-1].at < SAMPLE_INTERVAL_S:
            return
        self._samples.append(
            _Sample(now, self._arrived.copy(), self._admitted.copy())
        )


def _up_to(counts: collections.Counter[int], priority: int) -> int:
    return sum(n for other, n in counts.items() if other <= priority)
