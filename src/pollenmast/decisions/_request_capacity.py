"""A VM's part of an endpoint's slots, without coordination.

Load pattern: short requests at or beyond capacity from many VMs, seen only
through reports that are older than a request is long. If each VM placed what
the reports show as free, endpoints would swing between idle and queues that
no report shows yet; without any bound their queues grow until every answer
is late.

Each VM keeps a debt for each endpoint: a placed flow adds one, and the VM's
part of the finish rate drains it. A report replaces what was expected by
what was finished, so the debts of all VMs together follow the endpoint's
occupancy without a word between them. Each VM may place while its debt is
below its part of the wanted occupancy.
"""

import math
import random

from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._service_time import ServiceTime
from pollenmast.manifest import Endpoint
from pollenmast.peers._messages import EndpointReport

TARGET_QUEUE = 1.0
"""Part of the allowed queue that is aimed at.

An endpoint finishes its requests unevenly within the half second between two
reports; what waits keeps its slots busy meanwhile.
"""

BURST = 1.0
"""Flows beyond its part that a VM may place at once on an idle endpoint.

Callers reach the VMs unevenly. Without this a flow would wait for its VM's
part while the endpoint stands idle.
"""

CATCH_UP = 0.5
"""Part of a difference between expected and finished made up at a report.

Reports come unevenly late, so a single difference is half noise. The rest is
kept for the next report: over time every finished request counts once.
"""

PULL = 0.2
"""Part of the way that a report pulls the debt towards the VM's part.

Debts of VMs that callers reach unevenly would drift apart; this also bounds
what a lost report can do.
"""

MOST_DEBT = 8.0
"""Bound of the debt, so that one wrong report cannot close an endpoint."""

USE_MEMORY = 0.8
"""Part of the past kept at each report for how busy the slots are."""

RECENT_S = 0.5
"""Time constant of a VM's own recent flows, by which it spreads them."""


class RequestCapacity(Capacity):
    """Fullness by slots."""

    def __init__(
        self, endpoint: Endpoint, queue_per_slot: int, rng: random.Random
    ):
        self._rng = rng
        self._slots = endpoint.slots
        self._target = endpoint.slots * (1.0 + TARGET_QUEUE * queue_per_slot)
        self._time = ServiceTime()
        self._debt = 0.0
        self._floor = 0.0
        self._drained = 0.0
        self._missing = 0.0
        self._use = 0.0
        self._recent = 0.0
        self._relays = 1
        self._at = 0.0
        self._last: EndpointReport | None = None
        self._last_at = 0.0

    def on_placed(self, now: float) -> None:
        """Adds a flow of about one to the debt.

        The random part keeps the VMs out of step. With equal steps all that
        were idle when a burst came would place their next flows in the same
        moment, again and again.
        """
        self._advance(now)
        self._debt += self._rng.uniform(0.5, 1.5)
        self._recent += 1.0

    def on_report(
        self, report: EndpointReport, now: float, relays: int
    ) -> None:
        """Measures the service time and settles the debt."""
        self._relays = relays
        self._advance(now)
        last, self._last = self._last, report
        length = now - self._last_at
        self._last_at = now
        if last is None or report.finished < last.finished:
            self._drained = self._missing = 0.0
            return
        running = min(report.running, self._slots)
        done = report.finished - last.finished
        self._time.add(running, done, length)
        self._use += (1.0 - USE_MEMORY) * (running / self._slots - self._use)
        self._settle(report, done)

    def has_room(self, now: float, share: float, relays: int) -> bool:
        """Whether the debt is below this VM's part of the target."""
        self._relays = relays
        self._advance(now)
        limit = self._target * share / relays - 0.5
        self._floor = min(0.0, limit - BURST)
        return self._debt <= limit

    def load(self, now: float) -> float:
        """Returns this VM's own recent flows, by slots.

        Own flows only: what reports say of the others is older than a
        request is long, and all VMs would follow it at once.
        """
        self._advance(now)
        return self._recent / self._slots

    def rate(self, share: float, relays: int) -> float:
        """Returns this VM's part of the finish rate."""
        return self._slots / self._time.mean * share / relays

    def pace(self) -> float:
        """Returns the measured service time."""
        return self._time.mean

    def _settle(self, report: EndpointReport, done: int) -> None:
        """Replaces what was expected to finish by what did."""
        drained, self._drained = self._drained, 0.0
        occupancy = report.running + report.queued
        if report.running < self._slots:
            # A free slot: what did not finish was never sent, and counts
            # against nobody.
            self._missing = 0.0
        else:
            self._missing += drained - done / self._relays
            made_up = CATCH_UP * self._missing
            self._missing -= made_up
            self._debt += made_up
        self._debt += PULL * (occupancy / self._relays - self._debt)
        self._debt = min(self._debt, MOST_DEBT)

    def _advance(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        part = max(1.0 / self._relays, 1.0 - self._use)
        drain = self._slots / self._time.mean * part * passed
        drain = min(drain, max(self._debt - self._floor, 0.0))
        self._debt -= drain
        self._drained += drain
        self._recent *= math.exp(-passed / RECENT_S)
