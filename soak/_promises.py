"""Whether what callers and endpoints saw is what was promised."""

import collections

import attrs

from soak._clients import SERVICES, Asked, Callers
from soak._endpoints import WARMUP_PER_S, Endpoints
from soak._vm import WARMUP_OVERRUN, WARMUP_SLACK, Vm

STABLE_S = 4.0
"""How long after a disturbance rules with a bound do not hold."""

APPLY_S = 3.0
"""Within which a change has to be in force, as the settings say."""

SLACK_S = 0.5
"""For the soak's own clock: packets under way, a busy machine."""

RECOVERED = 0.75
"""The part of the last requests that must be answered."""


@attrs.define
class Flip:
    """The route `moving` was given to a service."""

    at: float
    service: str


@attrs.define
class Drain:
    """A zone was drained; `until` is infinite while it still is."""

    zone: str
    since: float
    until: float = float("inf")


@attrs.define
class Seen:
    """Everything that a run has shown.

    Attributes:
        callers: What was asked and answered.
        endpoints: What was run where.
        vms: The processes.
        flips: Changes of the route `moving`, from the first on.
        troubles: Start and end of each unplanned disturbance.
        judged_from: When everything must be served again.
        drains: Zones that were drained.
    """

    callers: Callers
    endpoints: Endpoints
    vms: list[Vm]
    flips: list[Flip]
    troubles: list[tuple[float, float]]
    judged_from: float
    drains: list[Drain]

    def calm(self, at: float) -> bool:
        """Whether nothing unplanned touched a moment or the seconds before."""
        return all(
            at < began or over + STABLE_S < at for began, over in self.troubles
        )


def broken(seen: Seen) -> list[str]:
    """Returns every broken promise in words."""
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


def _allowed(route: str) -> tuple[str, ...]:
    return (route,) if route in SERVICES else SERVICES


def _route(seen: Seen) -> list[str]:
    """No request reaches a service that it was never allowed to."""
    return [
        f"{ran.name} was run by {endpoint.name} of {endpoint.service}"
        for endpoint in seen.endpoints.all
        for ran in endpoint.requests
        if endpoint.service not in _allowed(ran.name.partition("/")[0])
    ]


def _doubled(seen: Seen) -> list[str]:
    """No request runs twice."""
    times = collections.Counter(
        ran.name for endpoint in seen.endpoints.all for ran in endpoint.requests
    )
    return [f"{name} ran {n} times" for name, n in times.items() if n > 1]


def _mixed(seen: Seen) -> list[str]:
    """Each answer is whole and belongs to its request."""
    names = {endpoint.name for endpoint in seen.endpoints.all}
    return [
        f"{asked.name} was answered {asked.answer!r}"
        for asked in seen.callers.asked
        if asked.answer and not _fits(asked, names)
    ]


def _fits(asked: Asked, names: set[str]) -> bool:
    endpoint, _, request = asked.answer.partition(" ")
    return endpoint in names and request == asked.name


def _drain(seen: Seen) -> list[str]:
    """A leaving endpoint gets no new flows for long."""
    found = []
    for endpoint in seen.endpoints.all:
        since = endpoint.draining_at
        if since is None:
            continue
        late = [
            at - since
            for at in endpoint.opened_at
            if at > since + APPLY_S + SLACK_S
            and seen.calm(since)
            and seen.calm(at)
        ]
        found += [f"{endpoint.name} got a flow after {s:.1f} s" for s in late]
    return found


def _drained_zones(seen: Seen) -> list[str]:
    """A drained zone gets no new flows for long."""
    return [
        f"{endpoint.name} of {drain.zone} got a flow after {at - drain.since} s"
        for drain in seen.drains
        for endpoint in seen.endpoints.all
        for at in endpoint.opened_at
        if endpoint.zone == drain.zone
        and drain.since + APPLY_S + SLACK_S < at < drain.until
        and seen.calm(drain.since)
        and seen.calm(at)
    ]


def _cold(seen: Seen) -> list[str]:
    """A cold endpoint gets no more flows than it bears, from all VMs."""
    bound = WARMUP_OVERRUN * WARMUP_PER_S + WARMUP_SLACK
    found = []
    for endpoint in seen.endpoints.all:
        for since, until in endpoint.cold:
            times = [t for t in endpoint.opened_at if since <= t <= until]
            most = max(
                (sum(0.0 <= t - at <= 1.0 for t in times) for at in times),
                default=0,
            )
            if most > bound:
                found.append(f"{endpoint.name} got {most} flows in a second")
    return found


def _configuration(seen: Seen) -> list[str]:
    """A change of a route is in force within its time."""
    served = {
        ran.name: endpoint.service
        for endpoint in seen.endpoints.all
        for ran in endpoint.requests
    }
    found = []
    for asked in seen.callers.asked:
        service = served.get(asked.name)
        if asked.route != "moving" or service is None:
            continue
        past = [f for f in seen.flips if f.at <= asked.opened_at]
        settled = APPLY_S + SLACK_S
        new = [f for f in past if f.at < asked.opened_at - settled]
        allowed = {f.service for f in past if f not in new[:-1]}
        late = new and service not in allowed
        if late and seen.calm(asked.opened_at):
            found.append(f"{asked.name} went to {service}, not {allowed}")
    return found


def _resets(seen: Seen) -> list[str]:
    """No open flow of a living endpoint is reset."""
    by_name = {endpoint.name: endpoint for endpoint in seen.endpoints.all}
    found = []
    for reset in seen.callers.resets:
        endpoint = by_name[reset.endpoint]
        ended = endpoint.ended_at is not None and endpoint.ended_at <= reset.at
        hurt = reset.at - endpoint.disturbed_at < STABLE_S
        if not ended and not hurt and seen.calm(reset.at):
            found.append(f"a flow of {endpoint.name} at {reset.at:.1f}")
    return found


def _exits(seen: Seen) -> list[str]:
    """A VM that is stopped in order ends in time and without a fault."""
    return [
        f"{vm.host} ended with {code}"
        for vm in seen.vms
        for code in vm.exit_codes
        if code
    ]


def _recovery(seen: Seen) -> list[str]:
    """After the last fault everything is served again."""
    last = [a for a in seen.callers.asked if a.at >= seen.judged_from]
    answered = sum(bool(asked.answer) for asked in last)
    if last and answered >= RECOVERED * len(last):
        return []
    return [f"{answered} of the last {len(last)} requests were answered"]
