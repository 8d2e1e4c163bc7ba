"""Admission control of one upstream: slots with a bounded queue."""

import collections
import enum
from collections.abc import Hashable

import attrs

SLOTS = 2
"""Number of slots of an endpoint, as the brief sets it."""

QUEUE = 16
"""Length limit of the queue; further jobs are shed immediately."""


class Verdict(enum.Enum):
    """The decision on an offered job."""

    RUN = "run"
    QUEUED = "queued"
    SHED = "shed"


@attrs.frozen
class Job:
    """One request's work.

    Attributes:
        key: Identifies the job to the code that offered it.
        work_s: Time for which it holds a slot, in seconds.
        deadline: Time after which it is not started any more.
    """

    key: Hashable
    work_s: float
    deadline: float


class Slots:
    """Assigns slots to jobs in order of arrival.

    Attributes:
        finished: Number of finished jobs.
    """

    def __init__(self, slots: int = SLOTS, queue: int = QUEUE):
        self._slots = slots
        self._max_queued = queue
        self._running: set[Hashable] = set()
        self._queue: collections.deque[Job] = collections.deque()
        self.finished = 0

    @property
    def running(self) -> int:
        """Number of jobs that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued jobs."""
        return len(self._queue)

    def offer(self, job: Job) -> Verdict:
        """Decides whether this job runs, is queued or is shed."""
        if len(self._running) < self._slots:
            self._running.add(job.key)
            return Verdict.RUN
        if len(self._queue) >= self._max_queued:
            return Verdict.SHED
        self._queue.append(job)
        return Verdict.QUEUED

    def cancel(self, key: Hashable) -> bool:
        """Removes a job from the queue; returns whether it was queued.

        A running job continues.
        """
        for job in self._queue:
            if job.key == key:
                self._queue.remove(job)
                return True
        return False

    def finish(self, key: Hashable, now: float) -> tuple[Job | None, list[Job]]:
        """Frees a slot and assigns it to the next queued job.

        Returns:
            The job that gets the slot, or None, and the jobs removed from the
            queue because their deadline has passed, which are not run.
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
