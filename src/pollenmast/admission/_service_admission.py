"""Admission control of one service on one VM.

While the VM's requests of the service stay below its credits, every flow is
admitted as if there were no admission control. Beyond them, flows are placed by
credit, held, or refused. What a VM does that does not know the others is in
`LONE_CREDITS`.
"""

import math
from collections.abc import Mapping

from pollenmast.admission._hold_queue import HoldQueue
from pollenmast.admission._in_progress import RequestsInProgress
from pollenmast.admission._model import (
    AdmissionSettings,
    Admit,
    AdmitReason,
    EndpointView,
    FlowArrival,
    Hold,
    Refuse,
    RefuseReason,
    Release,
    ServiceStatus,
)
from pollenmast.admission._progress import Progress
from pollenmast.admission._retries import Retries

LONE_CREDITS = 6
"""Requests of a service that a VM may have in progress while it does not know
the VMs that share the endpoints. The backlog of all clients after a loss of
power is then forwarded at about the rate at which endpoints work it off."""

MIN_CREDITS = 2
"""Requests of a service that any VM may have in progress. A small service has
fewer credits than there are VMs."""

BURST_FACTOR = 1.5
"""Multiple of its credits that a VM may have in progress while credits of its
own are free. Some requests were placed on other endpoints before the service
became short of capacity."""

GUEST_SHARE = 0.5
"""Flows that a VM may place in other zones beyond its credits, as a fraction of
its credits."""

SCARCITY_HOLD_S = 1.0
"""How long a service has to be free of holds, with at most half of the credits
in use, until its flows are placed freely again, in seconds."""

FREE_USE = 0.5
"""The fraction of the credits that counts as little use."""

MAX_HOLD_FRACTION = 0.25
"""The fraction of the target latency that a flow is held unless the backlog is
being worked off. It leaves time for the endpoint's queue, and a refused client
time for another attempt."""

MIN_EXTENSION_S = 0.02
"""Minimum time by which a hold is extended, in seconds. A route with a target
of a millisecond would otherwise occupy the VM with decisions."""

SUSTAINED_S = 0.5
"""How long capacity has to be short, in seconds, until flows that cannot be
placed within their hold are refused at once. Before, a backlog of one instant
cannot be told from a lasting overload."""

LEVELS = 3
"""Levels of each priority in the order in which they are placed: first
attempts, retries, and flows whose hold was extended, which are late already."""

_FIRST, _RETRY, _LATE = range(LEVELS)
_EXPIRED = RefuseReason.HOLD_EXPIRED

CREDITS_MAX_AGE_S = 0.25
"""How long computed credits are used, in seconds."""

MAX_HELD = 4096
"""Maximum number of held flows of a service and priority. Clients that forge
early answers lower the estimated wait, which alone would allow any number."""


class ServiceAdmission:
    """Admission control of one service."""

    def __init__(
        self,
        name: str,
        endpoints: EndpointView,
        settings: AdmissionSettings,
        in_progress: RequestsInProgress,
    ):
        self._name = name
        self._endpoints = endpoints
        self._settings = settings
        self._in_progress = in_progress
        self._queue = HoldQueue()
        self._retries = Retries()
        self._overloaded = False
        self._busy_at = self._held_at = -math.inf
        self._computed_at = -math.inf
        self._credits: Mapping[str, int] | None = None
        self._last_use: dict[str, int] = {}
        self._uses = 0
        self._overloaded_since = -math.inf
        self._progress = Progress()

    def on_arrival(
        self, arrival: FlowArrival, now: float
    ) -> Admit | Hold | Refuse:
        """Decides on a new flow."""
        self._update(now)
        self._progress.on_arrived(arrival.priority, now)
        level = LEVELS * arrival.priority + _FIRST
        if not self._overloaded:
            return self._admitted(arrival, self._admit_freely(now), now)
        retry = self._settings.repeats and self._retries.is_retry(
            arrival.caller, arrival.route, now
        )
        if retry:
            level += _RETRY
        else:
            self._retries.on_first_attempt()
        if not self._queue.count(level):
            admit = self._find_room(now)
            if admit is not None:
                return self._admitted(arrival, admit, now)
        if retry and not self._retries.spend():
            return self._refused(arrival, RefuseReason.REPEAT_LIMIT, now)
        return self._hold(arrival, level, now)

    def release(self, now: float) -> list[Release]:
        """Returns the flows whose hold expired, and one that is admitted."""
        if not len(self._queue):
            return []
        self._update(now)
        self._busy_at = now
        released = [
            Release(each, self._refused(each, _EXPIRED, now, now - since))
            for each, since in self._queue.pop_expired(now)
            if not self._extend(each, since, now)
        ]
        admit = self._find_room(now) if len(self._queue) else None
        if admit is not None:
            arrival, since = self._queue.pop(now)
            admit = Admit(admit.endpoint, admit.reason, now - since)
            admit = self._admitted(arrival, admit, now)
            released.append(Release(arrival, admit))
        return released

    def refuse_all(self, now: float) -> list[Release]:
        """Refuses all held flows."""
        return [
            Release(each, self._refused(each, _EXPIRED, now, now - since))
            for each, since in self._queue.pop_expired(math.inf)
        ]

    def cancel(self, arrival: FlowArrival) -> None:
        """Removes a held flow."""
        self._queue.remove(arrival.ticket)

    def _extend(self, arrival: FlowArrival, since: float, now: float) -> bool:
        """Holds a flow longer if the backlog is worked off meanwhile.

        A VM that does not know the others has usually just started with all of
        them: it assumes that its flows are the backlog of the clients.
        """
        limit, hold_s = since + arrival.max_wait_s, _hold_s(arrival)
        # The first half is left out: it may contain the instant at which the
        # backlog arrived.
        draining = self._credits is None or self._progress.is_draining(
            arrival.priority, now - hold_s / 2
        )
        if now >= limit or not draining:
            return False
        until = min(now + max(hold_s, MIN_EXTENSION_S), limit)
        self._queue.push(arrival, _late_level(arrival), until, since)
        return True

    def next_expiry(self) -> float | None:
        """Returns when the next hold expires, None if nothing is held."""
        return self._queue.next_expiry()

    def is_overloaded(self, now: float, without: str) -> bool:
        """Whether capacity is short, see `Admission.is_overloaded`."""
        self._update(now)
        if not self._overloaded or not without or len(self._queue):
            return self._overloaded
        others = self._in_progress.count(
            self._name
        ) - self._in_progress.count_at(without)
        return others > FREE_USE * self._limit()

    def is_saturated(self, now: float) -> bool:
        """Whether flows had to wait or were refused recently."""
        return len(self._queue) > 0 or now - self._held_at < SCARCITY_HOLD_S

    def status(self, now: float) -> ServiceStatus:
        """Returns the state of the service."""
        self._update(now)
        return ServiceStatus(
            self._name,
            self._in_progress.count(self._name),
            self._limit(),
            len(self._queue),
            self._overloaded,
            self._in_progress.service_time_s(self._name),
        )

    def _update(self, now: float) -> None:
        """Computes the credits and whether capacity is short."""
        if now - self._computed_at >= CREDITS_MAX_AGE_S:
            self._computed_at = now
            self._credits = self._endpoints.credits(self._name, now)
            self._forget_unused()
        in_use, limit = self._in_progress.count(self._name), self._limit()
        if len(self._queue) or in_use > FREE_USE * limit:
            self._busy_at = now
        if in_use >= limit:
            if not self._overloaded:
                self._overloaded_since = now
            self._overloaded = True
        elif now - self._busy_at >= SCARCITY_HOLD_S:
            self._overloaded = False

    def _forget_unused(self) -> None:
        """Forgets endpoints for which this VM has no credits any more."""
        known = self._credits or {}
        self._last_use = {e: n for e, n in self._last_use.items() if e in known}

    def _limit(self) -> int:
        """Returns how many requests may be in progress before holds begin."""
        if self._credits is None:
            return LONE_CREDITS
        return max(sum(self._credits.values()), MIN_CREDITS)

    def _admit_freely(self, now: float) -> Admit:
        """Returns how a flow is placed while capacity is not short.

        From `FREE_USE` of the credits on, endpoints with a credit go first:
        slow endpoints then get no more than the requests that they can handle
        even before the VM is overloaded.
        """
        in_use = self._in_progress.count(self._name)
        if self._credits is not None and in_use > FREE_USE * self._limit():
            endpoint = self._free_credit(now)
            if endpoint is not None:
                return Admit(endpoint, AdmitReason.CREDIT)
        return Admit(None, AdmitReason.FREE)

    def _find_room(self, now: float) -> Admit | None:
        """Returns how a flow can be placed while capacity is short."""
        in_use, limit = self._in_progress.count(self._name), self._limit()
        if self._credits is None:
            free = in_use < limit
            return Admit(None, AdmitReason.FREE) if free else None
        if in_use < BURST_FACTOR * limit:
            endpoint = self._free_credit(now)
            if endpoint is not None:
                return Admit(endpoint, AdmitReason.CREDIT)
        # If all endpoints with a credit are down, one request at a time is
        # placed elsewhere. The VM would otherwise refuse all flows for as long
        # as new ones arrive.
        if in_use < (1 if self._credits else MIN_CREDITS):
            return Admit(None, AdmitReason.FREE)
        guests = max(1, int(GUEST_SHARE * limit))
        if self._settings.guests and in_use < limit + guests:
            endpoint = self._endpoints.guest(self._name, now)
            if endpoint is not None:
                return Admit(endpoint, AdmitReason.GUEST)
        return None

    def _free_credit(self, now: float) -> str | None:
        """Returns the usable endpoint with the most free credits.

        Slow ones come last. Among several, it is the one that was returned
        least recently, so that the load is even.
        """
        best, most = None, None
        for endpoint, credits in self._credits.items():
            free = credits - self._in_progress.count_at(endpoint)
            if free <= 0 or not self._endpoints.is_usable(endpoint, now):
                continue
            slow = self._in_progress.is_slow(endpoint, self._name, now)
            rank = not slow, free, -self._last_use.get(endpoint, 0)
            if most is None or rank > most:
                best, most = endpoint, rank
        if best is not None:
            self._uses += 1
            self._last_use[best] = self._uses
        return best

    def _hold(
        self, arrival: FlowArrival, level: int, now: float
    ) -> Hold | Refuse:
        """Holds a flow that can be placed in time, else refuses it."""
        if not self._settings.hold:
            return self._refused(arrival, RefuseReason.NO_ROOM, now)
        wait_s = (
            (self._queue.ahead(level, arrival.caller, now) + 1)
            * self._in_progress.service_time_s(self._name)
            / self._limit()
        )
        sustained = (
            self._credits is not None
            and now - self._overloaded_since >= SUSTAINED_S
        )
        hold_s = _hold_s(arrival)
        longest_s = hold_s if sustained else arrival.max_wait_s
        if wait_s > longest_s or self._queue.count(level) >= MAX_HELD:
            return self._refused(arrival, RefuseReason.NO_ROOM, now)
        self._busy_at = self._held_at = now
        self._queue.push(arrival, level, now + hold_s, now)
        return Hold(now + hold_s)

    def _admitted(
        self, arrival: FlowArrival, admit: Admit, now: float
    ) -> Admit:
        self._queue.on_admitted(arrival, now)
        self._progress.on_admitted(arrival.priority, now)
        return admit

    def _refused(
        self,
        arrival: FlowArrival,
        reason: RefuseReason,
        now: float,
        held_s: float = 0.0,
    ) -> Refuse:
        self._busy_at = self._held_at = now
        self._retries.on_refused(arrival.caller, arrival.route, now)
        return Refuse(reason, held_s)


def _hold_s(arrival: FlowArrival) -> float:
    """Returns how long a flow is held until it is decided again."""
    return min(MAX_HOLD_FRACTION * arrival.target_latency_s, arrival.max_wait_s)


def _late_level(arrival: FlowArrival) -> int:
    return LEVELS * arrival.priority + _LATE
