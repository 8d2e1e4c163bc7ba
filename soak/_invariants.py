"""Invariants of the load balancer, checked against what a run observed."""

import collections
import itertools

import attrs

from soak._clients import BULK, REJECTED, SERVICES, Callers, RequestRecord
from soak._endpoints import WARMUP_PER_S, Endpoint, Endpoints
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

URGENT = SERVICES[0]
"""The urgent route to the service that the route `BULK` leads to as well."""

URGENT_WINDOW_S = 2.0
MIN_URGENT_SHARE = 0.9
"""The share of the urgent requests of a window that must be served.

The target of the whole system is 0.98; a window has a few dozen requests.
"""

MIN_REQUESTS = 10
"""The number of requests from which a share or a gap of them is judged."""

FREE_SLOTS_S = 2.0
"""How long slots may have been free when a SYN is refused, in seconds."""

MAX_MEMORY_MB = 60.0
"""Limit of a VM's resident memory, half of that of a small VM."""

SHUT_OUT_S = 10.0
"""The time within which each client address must be served, in seconds."""


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
        endpoint_faults: Start and end of each crash and hang of an endpoint.
    """

    callers: Callers
    endpoints: Endpoints
    vms: list[Vm]
    route_changes: list[RouteChange]
    disturbances: list[tuple[float, float]]
    recovery_deadline: float
    drains: list[Drain]
    endpoint_faults: list[tuple[float, float]] = attrs.field(factory=list)

    def is_undisturbed(self, at: float) -> bool:
        """Returns whether no unplanned disturbance affects a point in time."""
        return all(
            at < began or over + RECOVERY_S < at
            for began, over in self.disturbances
        )

    def is_calm(self, since: float, until: float) -> bool:
        """Returns whether no disturbance or endpoint fault affects a period."""
        return all(
            until < began or over + RECOVERY_S < since
            for began, over in self.disturbances + self.endpoint_faults
        )

    def sent(
        self, route: str, since: float, until: float
    ) -> list[RequestRecord]:
        """Returns the requests sent to a route in a period."""
        return [
            asked
            for asked in self.callers.requests
            if asked.route == route and since <= asked.at < until
        ]


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
        _contained_faults,
        _memory,
        _recovery,
        _urgent,
        _refusals,
        _shut_out,
    ):
        found += [f"{check.__name__[1:]}: {each}" for each in check(seen)]
    return found


def _allowed_services(route: str) -> tuple[str, ...]:
    if route == BULK:
        return (URGENT,)
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
    return endpoint in names and request in (asked.name, REJECTED)


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


def _contained_faults(seen: Observations) -> list[str]:
    """Checks that no message caused an unexpected error in a VM."""
    return [
        f"contained fault of {vm.host}: {line[:300]}"
        for vm in seen.vms
        for line in vm.contained_faults
    ]


def _memory(seen: Observations) -> list[str]:
    """Checks that a VM's resident memory stays within `MAX_MEMORY_MB`."""
    return [
        f"memory of {vm.host}: {peak:.0f} MB"
        for vm in seen.vms
        for peak in vm.peaks_mb
        if peak > MAX_MEMORY_MB
    ]


def _recovery(seen: Observations) -> list[str]:
    """Checks that requests are served again after the last fault."""
    last = [a for a in seen.callers.requests if a.at >= seen.recovery_deadline]
    answered = sum(asked.served for asked in last)
    if last and answered >= MIN_ANSWERED_SHARE * len(last):
        return []
    return [f"{answered} of the last {len(last)} requests were answered"]


def _urgent(seen: Observations) -> list[str]:
    """Checks that urgent requests are served while less urgent ones are."""
    found = []
    for since in sorted({float(int(a.at)) for a in seen.callers.requests}):
        until = since + URGENT_WINDOW_S
        # Requests of the window are answered or given up in the next one.
        if not seen.is_calm(since, until + URGENT_WINDOW_S):
            continue
        urgent = seen.sent(URGENT, since, until)
        served = sum(asked.served for asked in urgent)
        others = sum(asked.served for asked in seen.sent(BULK, since, until))
        if min(
            len(urgent), others
        ) >= MIN_REQUESTS and served < MIN_URGENT_SHARE * len(urgent):
            found.append(
                f"{served} of {len(urgent)} urgent requests and {others} less"
                f" urgent ones were served from {since:.0f} s on"
            )
    return found


def _refusals(seen: Observations) -> list[str]:
    """Checks that no SYN is refused while its service has had free slots."""
    return [
        f"{asked.name} at {at:.1f} while {URGENT} had free slots"
        for asked in seen.callers.requests
        for at in asked.refused_at
        if asked.route in (URGENT, BULK)
        and seen.is_calm(at - FREE_SLOTS_S, at)
        and _had_free_slots(seen, at - FREE_SLOTS_S, at)
    ]


def _had_free_slots(seen: Observations, since: float, until: float) -> bool:
    """Returns whether at each moment an endpoint of `URGENT` had one."""
    slots = [
        endpoint.slots
        for endpoint in seen.endpoints.all
        if endpoint.service == URGENT
        and endpoint.slots is not None
        and _is_usable(seen, endpoint, since, until)
    ]
    moments = [since, *(t for s in slots for t in s.filled_at(since, until))]
    return bool(slots) and not any(
        all(each.is_full(at) for each in slots) for at in moments
    )


def _is_usable(
    seen: Observations, endpoint: Endpoint, since: float, until: float
) -> bool:
    """Returns whether new flows could be placed on it during a period."""
    ends = [t for t in (endpoint.draining_at, endpoint.ended_at) if t]
    limited = endpoint.warmups + [
        (drain.since, drain.until + APPLY_S)
        for drain in seen.drains
        if drain.zone == endpoint.zone
    ]
    return (
        endpoint.started_at + APPLY_S <= since
        and all(until < end for end in ends)
        and all(until < a or b + CLOCK_SLACK_S < since for a, b in limited)
    )


def _shut_out(seen: Observations) -> list[str]:
    """Checks that no client address is left out while others are served."""
    found = []
    for route in (URGENT, BULK):
        sent = [a for a in seen.callers.requests if a.route == route]
        for client in sorted({asked.client for asked in sent}):
            own = [asked for asked in sent if asked.client == client]
            edges = [own[0].at, *(a.at for a in own if a.served), own[-1].at]
            for since, until in itertools.pairwise(edges):
                mine = sum(since < a.at <= until for a in own)
                others = sum(a.served and since < a.at < until for a in sent)
                if (
                    until - since >= SHUT_OUT_S
                    and min(mine, others) >= MIN_REQUESTS
                    and seen.is_calm(since, until)
                ):
                    found.append(
                        f"{client} on {route} for {until - since:.1f} s"
                    )
    return found
