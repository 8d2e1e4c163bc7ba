"""Stateful property tests of decisions._dispatcher against a simple model."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from pollenmast.decisions import (
    Dispatcher,
    FlowRequest,
    Held,
    Placed,
    Refused,
)
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)

_LIMITS = Limits(hold_ms=400, held_flows=6, held_flows_per_caller=3)
_TICK_S = 0.011
_CALLERS = ("10.0.0.1", "10.0.0.2", "10.0.1.1", "2001:db8::1", "fe80::1%lo")
_NAMES = ("a", "b", "c")
_NUMBERS = st.sampled_from([1, 1, 1, 2, 2, 2, 9])
_STATES = st.sampled_from(
    [EndpointState.SERVING, EndpointState.SERVING, EndpointState.DRAINING]
)
_COUNTS = st.integers(0, 9) | st.sampled_from([-3, 10**15])


@st.composite
def _services(draw, number: int) -> Service:
    kind = draw(st.sampled_from(ServiceKind))
    names = draw(st.sets(st.sampled_from(_NAMES), min_size=1))
    endpoints = tuple(
        Endpoint(
            name,
            "127.0.2.1",
            5000,
            6000,
            draw(st.sampled_from(["z1", "z2"])),
            draw(st.integers(1, 3)),
            draw(st.integers(1, 5)),
            draw(_STATES),
        )
        for name in sorted(names)
    )
    return Service(f"s{number}", number, 4000, kind, True, endpoints, _LIMITS)


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Each flow gets exactly one valid outcome, whatever events arrive."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ticket = 0
        self.held: dict[int, tuple[int, float]] = {}
        self.manifest = Manifest(0, (), "")
        self.dispatcher = Dispatcher("z1", random.Random(1))

    @stateful.rule(one=_services(1), two=_services(2))
    def publish(self, one, two):
        """Publishes a new manifest, which may drop endpoints."""
        self._publish((one, two))

    @stateful.precondition(lambda self: len(self.manifest.services) == 2)
    @stateful.rule(gone=st.sampled_from([0, 1]), back=st.booleans())
    def withdraw(self, gone, back):
        """Removes a busy service by a manifest and perhaps adds it again."""
        services = self.manifest.services
        for caller in _CALLERS:
            self.flows(services[gone].number, caller, 4)
        self._publish((services[1 - gone],))
        if back:
            self._publish(services)

    def _publish(self, services):
        version = self.manifest.version + 1
        self.manifest = Manifest(version, services, "")
        self.dispatcher.set_manifest(self.manifest, self.now)

    @stateful.rule(relays=st.sampled_from([0, 1, 2, 3, 20]))
    def fleet(self, relays):
        """Changes the number of live relays."""
        self.dispatcher.set_fleet(relays)

    @stateful.rule(
        service=_NUMBERS,
        endpoint=st.sampled_from(_NAMES),
        sequence=st.integers(0, 50),
        healthy=st.booleans(),
        running=_COUNTS,
        queued=_COUNTS,
        connections=_COUNTS,
        finished=_COUNTS,
        uptime=st.floats(),
    )
    def report(self, service, endpoint, sequence, healthy, **fields):
        """Delivers a load report, which may be wrong, late or a duplicate."""
        uptime = fields.pop("uptime")
        report = EndpointReport(
            service, endpoint, sequence, healthy, uptime_s=uptime, **fields
        )
        self.dispatcher.on_report(report, self.now)

    @stateful.rule(
        service=_NUMBERS,
        caller=st.sampled_from(_CALLERS),
        count=st.integers(1, 12),
    )
    def flows(self, service, caller, count):
        """Opens new flows of one caller."""
        for _ in range(count):
            request = self._request(service, caller)
            outcome = self.dispatcher.on_new_flow(request, self.now)
            if isinstance(outcome, Held):
                limit = self.now + _LIMITS.hold_ms / 1000.0
                assert self.now < outcome.until <= limit
                self.held[request.ticket] = (service, outcome.until)
            else:
                self._check(service, outcome)

    @stateful.rule(
        service=_NUMBERS, tried=st.lists(st.sampled_from(_NAMES), max_size=3)
    )
    def retry(self, service, tried):
        """Retries a flow; it is never placed at an endpoint already tried."""
        request = self._request(service, _CALLERS[0])
        outcome = self.dispatcher.retry(request, tuple(tried), self.now)
        self._check(service, outcome)
        if isinstance(outcome, Placed):
            assert outcome.endpoint not in tried

    @stateful.rule(
        service=_NUMBERS,
        endpoint=st.sampled_from(_NAMES),
        what=st.sampled_from(["on_answered", "on_unanswered", "on_flow_ended"]),
        count=st.integers(1, 5),
    )
    def notice(self, service, endpoint, what, count):
        """Reports answers, silence or flow ends, also for unknown endpoints."""
        for _ in range(count):
            getattr(self.dispatcher, what)(service, endpoint, self.now)

    @stateful.rule(service=_NUMBERS, endpoint=st.sampled_from(_NAMES))
    def adopt(self, service, endpoint):
        """Takes over a flow from another relay."""
        self.dispatcher.on_taken_over(service, endpoint)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=st.data())
    def caller_gone(self, data):
        """Reports a held caller as gone; its flow is never released."""
        ticket = data.draw(st.sampled_from(sorted(self.held)))
        self.dispatcher.on_caller_gone(ticket)
        del self.held[ticket]

    @stateful.rule(ticks=st.sampled_from([1, 5, 45]))
    def time(self, ticks):
        """Advances the clock; held flows get one outcome before they expire."""
        for _ in range(ticks):
            self.now += _TICK_S
            for released in self.dispatcher.release(self.now):
                service, _ = self.held.pop(released.ticket)
                self._check(service, released.outcome)
            for _, until in self.held.values():
                assert until > self.now
            for number in (1, 2):
                assert self._held_flows_of(number) <= _LIMITS.held_flows

    @stateful.invariant()
    def shares(self):
        """Shares are between 0 and 1, and flow counts are never negative."""
        for load in self.dispatcher.loads(self.now):
            assert 0.0 <= load.weight <= 1.0
            assert load.flows >= 0

    def _held_flows_of(self, number: int) -> int:
        """Counts held flows, including dropped ones not yet released."""
        return sum(service == number for service, _ in self.held.values())

    def _request(self, service: int, caller: str) -> FlowRequest:
        self.ticket += 1
        flow_hash = random.Random(self.ticket).getrandbits(64)
        return FlowRequest(self.ticket, service, caller, flow_hash)

    def _check(self, number: int, outcome: Placed | Refused) -> None:
        if isinstance(outcome, Refused):
            assert 100 <= outcome.retry_after_ms <= 10_000
            return
        service = self.manifest.service(number)
        states = {e.name: e.state for e in service.endpoints}
        assert states[outcome.endpoint] is EndpointState.SERVING


DispatcherFuzzTest = DispatcherMachine.TestCase
DispatcherFuzzTest.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
)
