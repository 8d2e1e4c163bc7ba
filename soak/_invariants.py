"""Invariants of the load balancer, checked against what a run observed."""

import collections

import attrs

from soak._clients import SERVICES, Callers, RequestRecord
from soak._endpoints import WARMUP_PER_S, Endpoints
from soak._vm import WARMUP_OVERRUN, WARMUP_SLACK, Vm

RECOVERY_S = 4.0
"""How long after a disturbance time bounds are not checked, in seconds."""

APPLY_S = 3.0
"""The time within which a change must take effect, in seconds.

The settings of the VMs state the same bound.
"""

CLOCK_SLACK_S = 0.5
"""Tolerance in seconds for the soak's own timestamps.

It allows for packets in flight and a busy machine.
"""

MIN_ANSWERED_SHARE = 0.75
"""The share of the last requests of a run that must be answered."""


@attrs.define
class RouteChange:
    """An assignment of the route `moving` to a service."""

    at: float
    service: str


@attrs.define
class Drain:
    """A drain of a zone; `until` is infinite while it lasts."""

    zone: str
    since: float
    until: float = float("inf")


@attrs.define
class Observations:
    """Everything that was observed in a run.

    Attributes:
        callers: The callers, with the requests that they sent.
        endpoints: The endpoints, with the requests that they executed.
        vms: The VMs, with their exit codes.
        route_changes: All assignments of the route `moving`, in order.
        disturbances: Start and end of each unplanned disturbance.
        recovery_deadline: The time from which requests must be served again.
        drains: The drains of zones.
    """

    callers: Callers
    endpoints: Endpoints
    vms: list[Vm]
    route_changes: list[RouteChange]
    disturbances: list[tuple[float, float]]
    recovery_deadline: float
    drains: list[Drain]

    def is_undisturbed(self, at: float) -> bool:
        """Returns whether no unplanned disturbance affects a point in time."""
        return all(
            at < began or over + RECOVERY_S < at
            for began, over in self.disturbances
        )


def find_violations(seen: Observations) -> list[str]:
    """Returns a description of each violation of an invariant."""
    found = []
    for check in (
        _route,
        _doubled,
        _mixed,
        _drain,
        _drained_zones,
        _cold,
        _configuration,
        _resets,
        _exits,
        _recovery,
    ):
        found += [f"{check.__name__[1:]}: {each}" for each in check(seen)]
    return found


def _allowed_services(route: str) -> tuple[str, ...]:
    return (route,) if route in SERVICES else SERVICES


def _route(seen: Observations) -> list[str]:
    """Checks that requests reach only services that their route allows."""
    return [
        f"{ran.name} was run by {endpoint.name} of {endpoint.service}"
        for endpoint in seen.endpoints.all
        for ran in endpoint.requests
        if endpoint.service not in _allowed_services(ran.name.partition("/")[0])
    ]


def _doubled(seen: Observations) -> list[str]:
    """Checks that no request is executed twice."""
    times = collections.Counter(
        ran.name for endpoint in seen.endpoints.all for ran in endpoint.requests
    )
    return [f"{name} ran {n} times" for name, n in times.items() if n > 1]


def _mixed(seen: Observations) -> list[str]:
    """Checks that each response is complete and belongs to its request."""
    names = {endpoint.name for endpoint in seen.endpoints.all}
    return [
        f"{asked.name} was answered {asked.answer!r}"
        for asked in seen.callers.requests
        if asked.answer and not _is_valid_answer(asked, names)
    ]


def _is_valid_answer(asked: RequestRecord, names: set[str]) -> bool:
    endpoint, _, request = asked.answer.partition(" ")
    return endpoint in names and request == asked.name


def _drain(seen: Observations) -> list[str]:
    """Checks that a draining endpoint soon gets no more new flows."""
    found = []
    for endpoint in seen.endpoints.all:
        since = endpoint.draining_at
        if since is None:
            continue
        late = [
            at - since
            for at in endpoint.opened_at
            if at > since + APPLY_S + CLOCK_SLACK_S
            and seen.is_undisturbed(since)
            and seen.is_undisturbed(at)
        ]
        found += [f"{endpoint.name} got a flow after {s:.1f} s" for s in late]
    return found


def _drained_zones(seen: Observations) -> list[str]:
    """Checks that a drained zone soon gets no more new flows."""
    return [
        f"{endpoint.name} of {drain.zone} got a flow after {at - drain.since} s"
        for drain in seen.drains
        for endpoint in seen.endpoints.all
        for at in endpoint.opened_at
        if endpoint.zone == drain.zone
        and drain.since + APPLY_S + CLOCK_SLACK_S < at < drain.until
        and seen.is_undisturbed(drain.since)
        and seen.is_undisturbed(at)
    ]


def _cold(seen: Observations) -> list[str]:
    """Checks the rate of new flows from all VMs to endpoints that warm up."""
    bound = WARMUP_OVERRUN * WARMUP_PER_S + WARMUP_SLACK
    found = []
    for endpoint in seen.endpoints.all:
        for since, until in endpoint.warmups:
            times = [t for t in endpoint.opened_at if since <= t <= until]
            most = max(
                (sum(0.0 <= t - at <= 1.0 for t in times) for at in times),
                default=0,
            )
            if most > bound:
                found.append(f"{endpoint.name} got {most} flows in a second")
    return found


def _configuration(seen: Observations) -> list[str]:
    """Checks that a change of a route takes effect in time."""
    served = {
        ran.name: endpoint.service
        for endpoint in seen.endpoints.all
        for ran in endpoint.requests
    }
    found = []
    for asked in seen.callers.requests:
        service = served.get(asked.name)
        if asked.route != "moving" or service is None:
            continue
        past = [f for f in seen.route_changes if f.at <= asked.opened_at]
        settled = APPLY_S + CLOCK_SLACK_S
        new = [f for f in past if f.at < asked.opened_at - settled]
        allowed = {f.service for f in past if f not in new[:-1]}
        is_late = new and service not in allowed
        if is_late and seen.is_undisturbed(asked.opened_at):
            found.append(f"{asked.name} went to {service}, not {allowed}")
    return found


def _resets(seen: Observations) -> list[str]:
    """Checks that no open flow of a running endpoint is reset."""
    by_name = {endpoint.name: endpoint for endpoint in seen.endpoints.all}
    found = []
    for reset in seen.callers.resets:
        endpoint = by_name[reset.endpoint]
        ended = endpoint.ended_at is not None and endpoint.ended_at <= reset.at
        disturbed = reset.at - endpoint.disturbed_at < RECOVERY_S
        if not ended and not disturbed and seen.is_undisturbed(reset.at):
            found.append(f"a flow of {endpoint.name} at {reset.at:.1f}")
    return found


def _exits(seen: Observations) -> list[str]:
    """Checks that VMs that are stopped exit in time and with code 0."""
    return [
        f"{vm.host} ended with {code}"
        for vm in seen.vms
        for code in vm.exit_codes
        if code
    ]


def _recovery(seen: Observations) -> list[str]:
    """Checks that requests are served again after the last fault."""
    last = [a for a in seen.callers.requests if a.at >= seen.recovery_deadline]
    answered = sum(bool(asked.answer) for asked in last)
    if last and answered >= MIN_ANSWERED_SHARE * len(last):
        return []
    return [f"{answered} of the last {len(last)} requests were answered"]
