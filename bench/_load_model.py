"""Discrete-event simulation of upstreams, callers and N dispatchers.

Uses a heap of timed events, an explicit clock and a seeded random generator
instead of sockets and threads, so that every run gives the same figures. Times
are in seconds.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from pollenmast.decisions import Dispatcher, FlowRequest, Held, Placed
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Manifest

ONE_WAY_DELAY_S = 0.001
"""One-way network delay of each hop between caller, VM and upstream."""

RELEASE_INTERVAL_S = 0.01
"""Interval at which a relay polls for flows released from the hold queue."""

PROBE_INTERVAL_S = 0.5
"""Probe interval of each endpoint."""

REPORT_DELAY_RANGE_S = (0.05, 0.55)
"""Range of the delay of a report to a VM: probe, gossip and link."""

ANSWER_TIMEOUT_S = 0.3
"""Time without an answer after which a relay retries a new flow."""

MAX_QUEUE_LENGTH = 64
"""Length of an upstream's own queue; it sheds requests beyond that."""

SESSION_IDLE_TIMEOUT_S = 30.0
"""Idle time after which a relay considers a session ended."""

DEADLINE_S = 1.0
"""Answers after this time are late and of no use to their callers."""


class Result:
    """Possible results of a request, as its caller sees them."""

    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    SHED = "shed"
    UNANSWERED = "unanswered"


@attrs.define(eq=False)
class Job:
    """One request or session of one caller.

    Attributes:
        ticket: Unique id.
        caller: IP address.
        group: The group of callers it belongs to, such as "hot".
        asked_at: When the caller first sent it.
        length_s: Time that it occupies a slot of a warm endpoint.
        tries: Retries left after a refusal.
        flow_hash: Hash of the current attempt's flow.
        tried: Endpoints that did not answer the current attempt.
        result: One of Result, or "" while open.
        ended_at: When the caller learned the result.
        retry_after_ms: Retry delay given by the last refusal.
        sent_at: When the current attempt was sent.
    """

    ticket: int
    caller: str
    group: str
    asked_at: float
    length_s: float
    tries: int = 0
    flow_hash: int = 0
    tried: tuple[str, ...] = ()
    result: str = ""
    ended_at: float = 0.0
    retry_after_ms: int = 0
    sent_at: float = 0.0


class EventLoop:
    """Event loop with a simulated clock."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._numbers = itertools.count()

    def at(self, time: float, call: Callable[..., None], *args) -> None:
        """Schedules a call at a time."""
        heapq.heappush(self._heap, (time, next(self._numbers), call, args))

    def after(self, delay: float, call: Callable[..., None], *args) -> None:
        """Schedules a call after a delay."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until


class Upstream:
    """Simulated endpoint with slots, a queue and possibly false reports.

    Attributes:
        name: The endpoint's name.
        slots: Requests that it runs concurrently.
        slowness: Factor applied to the length of each request.
        cold_until: Until this time it is COLD_FACTOR times slower.
        silent: Whether it answers no requests; it still sends reports.
        reports: Whether it sends load reports.
        lie: Function that falsifies a report before it is sent, or None.
        placed: Arrival times of requests and sessions.
        samples: (time, running + queued or connections) every 50 ms.
    """

    COLD_FACTOR = 4.0

    def __init__(self, name: str, slots: int, loop: EventLoop):
        self.name = name
        self.slots = slots
        self.slowness = 1.0
        self.cold_until = 0.0
        self.started_at = -1000.0
        self.silent = False
        self.reports = True
        self.lie: Callable[[EndpointReport], EndpointReport] | None = None
        self.placed: list[float] = []
        self.samples: list[tuple[float, int]] = []
        self._loop = loop
        self._running = 0
        self._queue: collections.deque = collections.deque()
        self._connections = 0
        self._finished = 0
        self._sequence = 0

    def offer(self, job: Job, done: Callable[[Job, str], None]) -> bool:
        """Accepts a request; returns False if the endpoint is silent."""
        if self.silent:
            return False
        self.placed.append(self._loop.now)
        if self._running < self.slots:
            self._start(job, done)
        elif len(self._queue) < MAX_QUEUE_LENGTH:
            self._queue.append((job, done))
        else:
            done(job, Result.SHED)
        return True

    def connect(self, job: Job, done: Callable[[Job, str], None]) -> bool:
        """Accepts a session; returns False if the endpoint is silent."""
        if self.silent:
            return False
        self.placed.append(self._loop.now)
        self._connections += 1
        self._loop.after(job.length_s, self._disconnect, job, done)
        return True

    def sample(self) -> None:
        """Records the current utilization."""
        used = self._running + len(self._queue) + self._connections
        self.samples.append((self._loop.now, used))

    def report(self, service: int) -> EndpointReport:
        """Returns the load report, falsified if `lie` is set."""
        self._sequence += 1
        report = EndpointReport(
            service,
            self.name,
            self._sequence,
            True,
            self._running,
            len(self._queue),
            self._connections,
            self._finished,
            self._loop.now - self.started_at,
        )
        return self.lie(report) if self.lie else report

    def _start(self, job: Job, done) -> None:
        self._running += 1
        length = job.length_s * self.slowness
        if self._loop.now < self.cold_until:
            length *= self.COLD_FACTOR
        self._loop.after(length, self._end, job, done)

    def _end(self, job: Job, done) -> None:
        self._running -= 1
        self._finished += 1
        done(job, Result.ANSWERED)
        if self._queue:
            self._start(*self._queue.popleft())

    def _disconnect(self, job: Job, done) -> None:
        self._connections -= 1
        self._finished += 1
        done(job, Result.ANSWERED)


class Fleet:
    """Simulated VMs with their upstreams and callers.

    Attributes:
        loop: The event loop.
        upstreams: Upstreams by name.
        jobs: All requests and sessions.
        refusal_delays: Seconds from sending to refusal, for each refusal.
        asked: Times of all attempts, including repeats.
        off_default: Flows placed at another endpoint than their default.
        favourite: Share of flows sent to the first VM; the others are sent to
            a random VM.
    """

    def __init__(
        self,
        manifest: Manifest,
        dispatchers: list[Dispatcher],
        seed: int,
        sessions: bool = False,
    ):
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        self.manifest = manifest
        self.service = manifest.services[0]
        self.dispatchers = dispatchers
        self.upstreams: dict[str, Upstream] = {}
        self.jobs: list[Job] = []
        self.refusal_delays: list[float] = []
        self.asked: list[float] = []
        self.off_default = 0
        self.favourite = 0.0
        self.retries = 0
        self._sessions = sessions
        self._held: list[dict[int, Job]] = [{} for _ in dispatchers]
        self._tickets = itertools.count()
        for endpoint in self.service.endpoints:
            self.add_upstream(endpoint.name, endpoint.slots)
        for number, dispatcher in enumerate(dispatchers):
            dispatcher.set_fleet(len(dispatchers))
            dispatcher.set_manifest(manifest, 0.0)
            phase = self.rng.random() * RELEASE_INTERVAL_S
            self.loop.at(phase, self._release, number)
        self.loop.at(0.0, self._sample)

    def add_upstream(self, name: str, slots: int) -> Upstream:
        """Adds an upstream and starts probing it."""
        upstream = Upstream(name, slots, self.loop)
        self.upstreams[name] = upstream
        phase = self.rng.random() * PROBE_INTERVAL_S
        self.loop.after(phase, self._probe, upstream)
        return upstream

    def publish(self, manifest: Manifest, within: float = 1.0) -> None:
        """Applies a manifest on each VM, each after a random delay.

        Args:
            manifest: The manifest.
            within: Upper bound of the delay, in seconds.
        """
        for dispatcher in self.dispatchers:
            self.loop.after(
                self.rng.random() * within,
                self._apply_manifest,
                dispatcher,
                manifest,
            )

    def ask(self, caller: str, group: str, length_s: float, tries: int = 0):
        """Sends a new request of a caller now."""
        job = Job(
            next(self._tickets), caller, group, self.loop.now, length_s, tries
        )
        self.jobs.append(job)
        self._send(job)

    def _send(self, job: Job) -> None:
        job.flow_hash = self.rng.getrandbits(64)
        job.sent_at = self.loop.now
        job.tried = ()
        self.asked.append(self.loop.now)
        vm = self.rng.randrange(len(self.dispatchers))
        if self.rng.random() < self.favourite:
            vm = 0
        self.loop.after(ONE_WAY_DELAY_S, self._on_arrival, vm, job)

    def _apply_manifest(self, dispatcher, manifest: Manifest) -> None:
        dispatcher.set_manifest(manifest, self.loop.now)

    def _request(self, job: Job) -> FlowRequest:
        return FlowRequest(
            job.ticket, self.service.number, job.caller, job.flow_hash
        )

    def _on_arrival(self, vm: int, job: Job) -> None:
        outcome = self.dispatchers[vm].on_new_flow(
            self._request(job), self.loop.now
        )
        self._apply_outcome(vm, job, outcome)

    def _apply_outcome(self, vm: int, job: Job, outcome) -> None:
        if isinstance(outcome, Placed):
            self.off_default += outcome.off_default
            self.loop.after(
                ONE_WAY_DELAY_S,
                self._deliver_to_upstream,
                vm,
                job,
                outcome.endpoint,
            )
        elif isinstance(outcome, Held):
            self._held[vm][job.ticket] = job
        else:
            job.retry_after_ms = outcome.retry_after_ms
            self.loop.after(ONE_WAY_DELAY_S, self._on_refusal, job)

    def _release(self, vm: int) -> None:
        self.loop.after(RELEASE_INTERVAL_S, self._release, vm)
        for released in self.dispatchers[vm].release(self.loop.now):
            job = self._held[vm].pop(released.ticket)
            self._apply_outcome(vm, job, released.outcome)

    def _deliver_to_upstream(self, vm: int, job: Job, endpoint: str) -> None:
        upstream = self.upstreams[endpoint]
        take = upstream.connect if self._sessions else upstream.offer
        if take(job, self._finish):
            self.loop.after(ONE_WAY_DELAY_S, self._on_answered, vm, endpoint)
            quiet = job.length_s + SESSION_IDLE_TIMEOUT_S
            self.loop.after(quiet, self._on_idle, vm, endpoint)
        else:
            self.loop.after(
                ANSWER_TIMEOUT_S, self._on_unanswered, vm, job, endpoint
            )

    def _on_answered(self, vm: int, endpoint: str) -> None:
        self.dispatchers[vm].on_answered(
            self.service.number, endpoint, self.loop.now
        )

    def _on_idle(self, vm: int, endpoint: str) -> None:
        self.dispatchers[vm].on_flow_ended(
            self.service.number, endpoint, self.loop.now
        )

    def _on_unanswered(self, vm: int, job: Job, endpoint: str) -> None:
        now = self.loop.now
        dispatcher = self.dispatchers[vm]
        dispatcher.on_unanswered(self.service.number, endpoint, now)
        job.tried += (endpoint,)
        self.retries += 1
        self._apply_outcome(
            vm, job, dispatcher.retry(self._request(job), job.tried, now)
        )

    def _finish(self, job: Job, result: str) -> None:
        late = self.loop.now + 2 * ONE_WAY_DELAY_S - job.asked_at > DEADLINE_S
        if result == Result.ANSWERED and late and not self._sessions:
            result = Result.LATE
        self._end(job, result, self.loop.now + 2 * ONE_WAY_DELAY_S)

    def _on_refusal(self, job: Job) -> None:
        self.refusal_delays.append(self.loop.now - job.sent_at)
        if job.tries > 0:
            job.tries -= 1
            self.loop.after(job.retry_after_ms / 1000.0, self._send, job)
        else:
            self._end(job, Result.REFUSED, self.loop.now)

    def _end(self, job: Job, result: str, now: float) -> None:
        job.result, job.ended_at = result, now

    def _probe(self, upstream: Upstream) -> None:
        if upstream.name not in self.upstreams:
            return
        self.loop.after(PROBE_INTERVAL_S, self._probe, upstream)
        if not upstream.reports:
            return
        report = upstream.report(self.service.number)
        for dispatcher in self.dispatchers:
            lag = self.rng.uniform(*REPORT_DELAY_RANGE_S)
            self.loop.after(lag, self._deliver_report, dispatcher, report)

    def _deliver_report(self, dispatcher, report: EndpointReport) -> None:
        dispatcher.on_report(report, self.loop.now)

    def _sample(self) -> None:
        self.loop.after(0.05, self._sample)
        for upstream in self.upstreams.values():
            upstream.sample()
