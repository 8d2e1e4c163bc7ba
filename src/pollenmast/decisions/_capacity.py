"""How full an endpoint is, as far as one VM can tell, and its own share.

Load pattern: many VMs send to the same few slots and hear of each other only
through load reports that are half a second old, while a request takes a
tenth of that. If each VM took the reported headroom for itself, all of them
would fill it at once, endpoints would swing between idle and far too long
queues, and callers would wait for queues that no report shows yet.

Here each VM takes only its part. It keeps a debt for each endpoint: a placed
flow adds one, and the VM's part of the endpoint's measured finish rate
drains it. A report corrects the debt by the VM's part of the difference
between reported and wanted occupancy. So nothing has to be agreed, and the
sum over the fleet follows what the endpoints finish.
"""

import abc
import math
import random

from pollenmast.manifest import Endpoint
from pollenmast.peers._messages import EndpointReport

USUAL_REQUEST_S = 0.1
"""Service time assumed until one is measured: tens to hundreds of ms."""

PRIOR_REQUESTS = 2.0
"""Weight of that assumption, in finished requests."""

MEMORY = 0.8
"""Part of the past kept at each report: a memory of five, 2.5 s.

Much shorter follows single long requests, much longer follows a cold start
too late.
"""

TARGET_QUEUE = 0.5
"""Part of the allowed queue that is aimed at.

Enough waits at the endpoint that a slot finds work while the fleet's debts
drain unevenly; more would only move the wait to where it is not fair.
"""

BURST = 1.0
"""Flows beyond its part that a VM may place at once on an idle endpoint.

Callers reach the VMs unevenly. Without this a flow would wait for its VM's
part while the endpoint stands idle.
"""

REPORT_GAIN = 0.5
"""Part of a reported difference that is corrected at once.

A report is older than what was placed since, so a whole correction would
answer the same difference twice and swing.
"""

MOST_DEBT = 8.0
"""Bound of the debt, so that one wrong report cannot close an endpoint."""


class Capacity(abc.ABC):
    """One endpoint's fullness as one VM sees it."""

    @abc.abstractmethod
    def on_placed(self, now: float) -> None:
        """A flow was placed here by this VM."""

    @abc.abstractmethod
    def on_report(
        self, report: EndpointReport, now: float, relays: int
    ) -> None:
        """Takes in a newer report."""

    @abc.abstractmethod
    def has_room(self, now: float, share: float, relays: int) -> bool:
        """Whether this VM may place one more, given the endpoint's share."""

    @abc.abstractmethod
    def load(self, now: float) -> float:
        """Returns the part of the endpoint that is in use, about 0 to 1."""

    @abc.abstractmethod
    def one_flow(self) -> float:
        """Returns what one more flow adds to `load`."""

    @abc.abstractmethod
    def rate(self, share: float, relays: int) -> float:
        """Returns flows a second that this VM may place here when full."""


class RequestCapacity(Capacity):
    """Fullness by slots: short requests, seen only through the reports."""

    def __init__(self, endpoint: Endpoint, queue_per_slot: int, rng):
        self._rng: random.Random = rng
        self._slots = endpoint.slots
        self._target = endpoint.slots * (1.0 + TARGET_QUEUE * queue_per_slot)
        self._debt = 0.0
        self._floor = 0.0
        self._drain = 0.0
        self._own = 0.0
        self._others = 0.0
        self._at = 0.0
        self._finished_sum = PRIOR_REQUESTS
        self._busy_sum = PRIOR_REQUESTS * USUAL_REQUEST_S
        self._time_sum = 0.0
        self._placed = 0
        self._placed_sum = 0.0
        self._last: EndpointReport | None = None
        self._last_at = 0.0

    @property
    def service_s(self) -> float:
        """The measured service time (Little's law: busy slots by rate)."""
        return self._busy_sum / self._finished_sum

    @property
    def finish_rate(self) -> float:
        """Requests a second that the endpoint finishes when busy."""
        return self._slots / self.service_s

    def on_placed(self, now: float) -> None:
        """Adds a flow of about one to the debt.

        The random part keeps the VMs out of step. With equal steps all that
        were idle when a burst came would place their next flows in the same
        moment, again and again.
        """
        self._advance(now)
        self._debt += self._rng.uniform(0.5, 1.5)
        self._own += 1.0
        self._placed += 1

    def on_report(
        self, report: EndpointReport, now: float, relays: int
    ) -> None:
        """Measures the service time and corrects the debt."""
        self._advance(now)
        last = self._last
        if last is not None and report.finished >= last.finished:
            self._measure(report, report.finished - last.finished, now)
        self._last, self._last_at = report, now
        self._placed = 0
        occupancy = report.running + report.queued
        seen = max(occupancy - self._own, 0.0)
        self._others += REPORT_GAIN * (seen - self._others)
        error = (occupancy - self._target) / relays
        self._debt = min(self._debt + REPORT_GAIN * error, MOST_DEBT)
        self._drain = self._drain_rate(relays)

    def has_room(self, now: float, share: float, relays: int) -> bool:
        """Whether the debt is below this VM's part of the target."""
        self._advance(now)
        limit = self._target * share / relays - 0.5
        self._floor = min(0.0, limit - BURST)
        if self._last is None:
            self._drain = self.finish_rate / relays
        self._debt = max(self._debt, self._floor)
        return self._debt <= limit

    def load(self, now: float) -> float:
        """Returns the estimated occupancy by slots; above 1 some wait."""
        self._advance(now)
        return (self._others + self._own) / self._slots

    def one_flow(self) -> float:
        """Returns one slot's part."""
        return 1.0 / self._slots

    def rate(self, share: float, relays: int) -> float:
        """Returns this VM's part of the finish rate."""
        return max(self._drain, self.finish_rate / relays) * share

    def _measure(self, report: EndpointReport, done: int, now: float) -> None:
        length = max(now - self._last_at, 1e-3)
        self._finished_sum = MEMORY * self._finished_sum + done
        busy = min(report.running, self._slots) * length
        self._busy_sum = MEMORY * self._busy_sum + busy
        self._time_sum = MEMORY * self._time_sum + length
        self._placed_sum = MEMORY * self._placed_sum + self._placed
        # An idle stretch would let both sums fade to nothing and their ratio
        # to noise; the prior keeps a last known value alive.
        if self._finished_sum < PRIOR_REQUESTS:
            missing = PRIOR_REQUESTS - self._finished_sum
            self._busy_sum += missing * self.service_s
            self._finished_sum = PRIOR_REQUESTS

    def _drain_rate(self, relays: int) -> float:
        """What the others leave of the finish rate, at least the own part."""
        full = self.finish_rate
        if not self._time_sum:
            return full / relays
        others = (self._finished_sum - self._placed_sum) / self._time_sum
        return min(full, max(full / relays, full - max(others, 0.0)))

    def _advance(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        self._debt = max(self._floor, self._debt - self._drain * passed)
        stay = self.service_s * max(1.0, self._others / self._slots)
        self._own *= math.exp(-passed / stay)


class SessionCapacity(Capacity):
    """Fullness by connections: long sessions, which this VM can count."""

    def __init__(self, endpoint: Endpoint):
        self._connections = endpoint.connections
        self._reported: int | None = None
        self._since = 0.0
        self._relays = 1

    def on_placed(self, now: float) -> None:
        """Counts a flow that the reports do not show yet."""
        self._since += 1.0

    def on_report(
        self, report: EndpointReport, now: float, relays: int
    ) -> None:
        """Takes the reported count; half of what was placed is in it yet."""
        self._reported = report.connections
        self._since *= REPORT_GAIN
        self._relays = relays

    def has_room(self, now: float, share: float, relays: int) -> bool:
        """Whether this VM's part of the free connections is not used up."""
        self._relays = relays
        free = self._connections - (self._reported or 0)
        return self._since < free / relays

    def load(self, now: float) -> float:
        """Returns the connections in use.

        What this VM placed since the report stands for what each VM placed:
        otherwise every VM would mend the whole of a reported difference.
        """
        used = (self._reported or 0) + self._since * self._relays
        return used / self._connections

    def one_flow(self) -> float:
        """Returns one connection's part."""
        return 1.0 / self._connections

    def rate(self, share: float, relays: int) -> float:
        """Returns a rate that keeps holds short: connections free slowly."""
        return 1.0
