"""A discrete-event model of VMs, endpoints and clients without a network."""

import collections
import heapq
import itertools
import math
import random

import attrs

from pollenmast import admission

SERVICE = "tickets"
ZONES = 3

WORK_S = 0.044
WORK_SIGMA = 0.5
"""Mean of the log-normal service times in seconds and their spread."""

SLOTS, QUEUE = 2, 8
"""Requests that an endpoint processes at once and that it queues."""

ATTEMPTS = 3
RETRY_DELAY_S = 0.02

CHECK_S = 0.5
"""Time until all VMs have found out that an endpoint is gone, in seconds."""

TARGETS_S = (0.552, 1.0)
"""Target latency by priority in seconds."""


@attrs.define(eq=False)
class Endpoint:
    """An endpoint that processes `SLOTS` requests and queues `QUEUE`."""

    name: str
    slowness: float = 1.0
    gone_at: float = math.inf
    busy: int = 0
    queue: collections.deque = attrs.Factory(collections.deque)


@attrs.define(eq=False)
class Flow:
    """A client's request.

    `begun_at`, when its endpoint begins to process it, and `answered_at` stay
    infinite if all attempts fail.
    """

    at: float
    priority: int
    caller: str
    work_s: float = 0.0
    attempts: int = 0
    refused: int = 0
    begun_at: float = math.inf
    answered_at: float = math.inf

    @property
    def in_time(self) -> bool:
        """Whether the answer came within the target latency."""
        return self.answered_at - self.at <= TARGETS_S[self.priority]


@attrs.define(eq=False)
class Vm(admission.EndpointView):
    """A VM's admission control and its view of its zone's endpoints."""

    name: str
    peers: list[str]
    zone: list[Endpoint]
    members_at: float
    control: admission.Admission = None

    def credits(self, service, now):
        """Allocates the endpoints that health checks have not found gone."""
        if now < self.members_at:
            return None
        slots = {e.name: SLOTS for e in self.zone if self._up(e, now)}
        return admission.allocate(slots, self.peers, self.name)

    def is_usable(self, endpoint, now):
        """Whether the endpoint has not been found gone."""
        return any(e.name == endpoint and self._up(e, now) for e in self.zone)

    def guest(self, service, now):
        """Returns no endpoint: the zones have equal load here."""
        return

    def choose(self, rng, now):
        """Returns the one of two random endpoints with fewer requests here.

        It stands for the placement without admission control.
        """
        up = [e for e in self.zone if self._up(e, now)]
        count = self.control.in_progress.count_at
        return min(rng.choices(up, k=2), key=lambda e: count(e.name))

    def _up(self, endpoint, now):
        return now < endpoint.gone_at + CHECK_S


class Model:
    """Plays arrivals.

    A refused client makes its next attempt at a random VM. Endpoints that are
    gone reset the attempts that reach them.

    Attributes:
        endpoints: The endpoints, in turn of the three zones.
        vms: The VMs.
        rejected: The attempts that full endpoints have rejected.
        now: The time in seconds.
    """

    def __init__(self, vms, endpoints, settings, members_at=0.0):
        self._rng = random.Random(7)
        self.endpoints = [Endpoint(f"e{n}") for n in range(endpoints)]
        self._by_name = {e.name: e for e in self.endpoints}
        names = [f"vm{n}" for n in range(vms)]
        self.vms = [
            Vm(n, names[z::ZONES], self.endpoints[z::ZONES], members_at)
            for z in range(ZONES)
            for n in names[z::ZONES]
        ]
        for vm in self.vms:
            vm.control = admission.Admission(vm, settings)
        self._keys = itertools.count()
        self._events, self._flows = [], {}
        self.rejected = 0
        self.now = 0.0

    def play(self, flows):
        """Runs until no event is left."""
        mean = math.log(WORK_S) - WORK_SIGMA**2 / 2
        for flow in flows:
            flow.work_s = self._rng.lognormvariate(mean, WORK_SIGMA)
            self._at(flow.at, self._attempt, flow)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def _at(self, time, action, *args):
        event = time, next(self._keys), action, args
        heapq.heappush(self._events, event)

    def _attempt(self, flow):
        flow.attempts += 1
        vm, key = self._rng.choice(self.vms), next(self._keys)
        target_s = TARGETS_S[flow.priority]
        arrival = admission.FlowArrival(
            key, key, SERVICE, flow.caller, flow.priority, target_s, target_s
        )
        outcome = vm.control.on_arrival(arrival, self.now)
        self._flows[key] = flow
        if isinstance(outcome, admission.Hold):
            self._at(outcome.until, self._release, vm)
        else:
            self._decided(vm, key, outcome)
        self._release(vm)

    def _release(self, vm):
        while released := vm.control.release(self.now):
            for each in released:
                self._decided(vm, each.arrival.key, each.outcome)

    def _decided(self, vm, key, outcome):
        flow = self._flows.pop(key)
        if isinstance(outcome, admission.Refuse):
            flow.refused += 1
            self._retry(flow)
            return
        endpoint = self._by_name.get(outcome.endpoint)
        endpoint = endpoint or vm.choose(self._rng, self.now)
        vm.control.in_progress.begin(key, SERVICE, endpoint.name, self.now)
        if self.now >= endpoint.gone_at or len(endpoint.queue) >= QUEUE:
            self.rejected += self.now < endpoint.gone_at
            vm.control.in_progress.end(key, self.now)
            self._retry(flow)
            return
        endpoint.queue.append((vm, key, flow))
        self._start(endpoint)

    def _retry(self, flow):
        if flow.attempts < ATTEMPTS:
            self._at(self.now + RETRY_DELAY_S, self._attempt, flow)

    def _start(self, endpoint):
        if endpoint.queue and endpoint.busy < SLOTS:
            endpoint.busy += 1
            vm, key, flow = endpoint.queue.popleft()
            flow.begun_at = self.now
            done_at = self.now + flow.work_s * endpoint.slowness
            self._at(done_at, self._finish, endpoint, vm, key, flow)

    def _finish(self, endpoint, vm, key, flow):
        endpoint.busy -= 1
        vm.control.in_progress.end(key, self.now, learn=True)
        if self.now < endpoint.gone_at:
            flow.answered_at = self.now
        self._start(endpoint)
        self._release(vm)


def arrivals(phases, backlog=0, seed=3, accounts=40):
    """Returns flows of which a third is urgent, in order of arrival.

    Args:
        phases: Begin and end in seconds and flows a second of each phase.
        backlog: The number of flows at the begin of the first phase.
        seed: Of the random numbers.
        accounts: The number of accounts, in a network each.
    """
    rng = random.Random(seed)
    times = [phases[0][0]] * backlog
    for begin, end, rate in phases:
        at = begin + rng.expovariate(rate)
        while at < end:
            times.append(at)
            at += rng.expovariate(rate)
    return [
        Flow(
            at,
            priority=int(rng.random() >= 1 / 3),
            caller=f"10.0.{rng.randrange(accounts)}.1",
        )
        for at in times
    ]
