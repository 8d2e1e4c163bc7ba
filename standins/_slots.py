"""Slots and a bounded queue: what one upstream runs and what it sheds."""

import collections
import enum
from collections.abc import Hashable

import attrs

SLOTS = 2
"""The brief's size of an endpoint."""

QUEUE = 16
"""Jobs that wait; what comes beyond is shed at once."""


class Verdict(enum.Enum):
    """What became of a job that was offered."""

    RUN = "run"
    QUEUED = "queued"
    SHED = "shed"


@attrs.frozen
class Job:
    """One request's work.

    Attributes:
        key: Identifies the job to whoever offered it.
        work_s: How long it holds a slot, in seconds.
        deadline: Time after which it is not worth starting.
    """

    key: Hashable
    work_s: float
    deadline: float


class Slots:
    """Hands slots to jobs in the order in which they came."""

    def __init__(self, slots: int = SLOTS, queue: int = QUEUE):
        self._slots = slots
        self._most_queued = queue
        self._running: set[Hashable] = set()
        self._queue: collections.deque[Job] = collections.deque()
        self.finished = 0

    @property
    def running(self) -> int:
        """How many jobs hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """How many jobs wait."""
        return len(self._queue)

    def offer(self, job: Job) -> Verdict:
        """Runs, queues or sheds this job."""
        if len(self._running) < self._slots:
            self._running.add(job.key)
            return Verdict.RUN
        if len(self._queue) >= self._most_queued:
            return Verdict.SHED
        self._queue.append(job)
        return Verdict.QUEUED

    def cancel(self, key: Hashable) -> bool:
        """Takes a job out of the queue; a running one goes on."""
        for job in self._queue:
            if job.key == key:
                self._queue.remove(job)
                return True
        return False

    def finish(self, key: Hashable, now: float) -> tuple[Job | None, list[Job]]:
        """Frees a slot.

        Returns:
            The job that gets it, if one waits, and those whose deadline has
            passed while they waited, which are not run.
        """
        self._running.discard(key)
        self.finished += 1
        late = []
        while self._queue:
            job = self._queue.popleft()
            if job.deadline > now:
                self._running.add(job.key)
                return job, late
            late.append(job)
        return None, late
