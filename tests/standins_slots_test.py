"""Tests of standins._slots."""

from testtools import TestCase

from standins._slots import Job, Slots, Verdict


def _job(key: str, deadline: float = 100.0) -> Job:
    return Job(key, 1.0, deadline)


class SlotsTest(TestCase):
    """Tests of running, queueing and shedding jobs."""

    def test_jobs_run_then_queue_then_are_shed(self):
        """Jobs take slots, then queue places in order; the rest is shed."""
        slots = Slots(slots=2, queue=1)
        verdicts = [slots.offer(_job(key)) for key in "abcd"]
        self.assertEqual(
            [Verdict.RUN, Verdict.RUN, Verdict.QUEUED, Verdict.SHED], verdicts
        )
        self.assertEqual((2, 1), (slots.running, slots.queued))

    def test_expired_job_is_not_run(self):
        """A queued job's deadline passes while another job holds the slot.

        The job is returned as expired, and the next one gets the slot.
        """
        slots = Slots(slots=1, queue=2)
        for job in (_job("a"), _job("late", 5.0), _job("b")):
            slots.offer(job)
        following, late = slots.finish("a", 6.0)
        self.assertEqual("b", following.key)
        self.assertEqual(["late"], [job.key for job in late])

    def test_cancelled_job_leaves_the_queue(self):
        """A cancelled job never runs; a running job cannot be cancelled."""
        slots = Slots(slots=1, queue=2)
        for job in (_job("a"), _job("b")):
            slots.offer(job)
        self.assertEqual((True, False), (slots.cancel("b"), slots.cancel("a")))
        self.assertEqual((None, []), slots.finish("a", 1.0))
