"""A VM's admission control with endpoints whose state a test sets."""

from pollenmast.admission import (
    Admission,
    AdmissionSettings,
    Admit,
    EndpointView,
    FlowArrival,
)

TARGET_S = 0.4


class View(EndpointView):
    """Endpoints whose state the test sets."""

    def __init__(self, credits=None, guest=None):
        self.own = credits
        self.down = set()
        self.other_zone = guest

    def credits(self, service, now):
        """Returns the credits that the test gave."""
        return self.own

    def is_usable(self, endpoint, now):
        """Returns whether the test has left the endpoint up."""
        return endpoint not in self.down

    def guest(self, service, now):
        """Returns the test's endpoint of another zone."""
        return self.other_zone


class Vm:
    """An `Admission` whose admitted flows begin a request each."""

    def __init__(self, view, **settings):
        self.view = view
        self.admission = Admission(view, AdmissionSettings(**settings))
        self._ticket = 0

    def arrive(self, now=0.0, priority=0, caller="10.0.1.1", **fields):
        """Returns the outcome of a new flow and its key."""
        self._ticket += 1
        key = fields.pop("key", self._ticket)
        service = fields.pop("service", "s")
        target_s = fields.pop("target_s", TARGET_S)
        fields.setdefault("route", self._ticket)  # Not a retry of another flow.
        arrival = FlowArrival(
            key, self._ticket, service, caller, priority, target_s, **fields
        )
        outcome = self.admission.on_arrival(arrival, now)
        self._begin(key, service, outcome, now)
        return outcome, key

    def fill(self, count, now=0.0, **fields):
        """Lets `count` flows arrive; returns their keys."""
        return [self.arrive(now, **fields)[1] for _ in range(count)]

    def release(self, now):
        """Returns all keys and outcomes that are decided now."""
        decided = []
        while released := self.admission.release(now):
            for each in released:
                key, outcome = each.arrival.key, each.outcome
                self._begin(key, each.arrival.service, outcome, now)
                decided.append((key, outcome))
        return decided

    def end(self, key, now):
        """Ends a flow's request."""
        self.admission.in_progress.end(key, now)

    def _begin(self, key, service, outcome, now):
        if isinstance(outcome, Admit):
            endpoint = outcome.endpoint or "any"
            self.admission.in_progress.begin(key, service, endpoint, now)
