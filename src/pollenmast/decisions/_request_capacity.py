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
from pollenmast.decisions._fleet_part import FleetPart
from pollenmast.decisions._service_time import ServiceTime
from pollenmast.decisions._trust import Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

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

PULL = 0.4
"""Part of the way that a report pulls the debt towards the VM's part.

Debts of VMs that callers reach unevenly would drift apart; this also bounds
what a lost report can do.
"""

MOST_BACKLOG = 4.0
"""Bound of the debt, by the VM's part of the wanted occupancy, and one flow.

A wrong report must not close an endpoint for longer than such a backlog
takes; an honest one says more at the next report.
"""

ROOMY = 2.0
"""Occupancy, by the slots, below which an endpoint leaves credit for bursts.

At the number of slots exactly, a VM among many held flows beside endpoints
that were free every other moment.
"""

RECENT_S = 1.0
"""Time constant of a VM's own recent flows, by which it spreads them."""

TRIAL_RATE = 1.0
"""Flows a second of the fleet to an endpoint whose report hides work.

How much waits there is not known; this lets it work that off, and what it
does with the few that it gets shows whether its report is true again.
"""

ALIKE = 1.5
"""Service time, by the service's median, up to which the median counts.

The time is measured from few samples of busy slots. Taken as it is, by
chance one endpoint would seem twice as fast and get twice the flows.
"""


class RequestCapacity(Capacity):
    """Fullness by slots."""

    def __init__(
        self,
        endpoint: Endpoint,
        queue_per_slot: int,
        part: FleetPart,
        rng: random.Random,
    ):
        self._name = endpoint.name
        self._part = part
        self._rng = rng
        self._slots = endpoint.slots
        self._target = endpoint.slots * (1.0 + TARGET_QUEUE * queue_per_slot)
        self._time = ServiceTime()
        self._offset = self._draw_offset()
        self._debt = 0.0
        self._floor = 0.0
        self._drained = 0.0
        self._recent = 0.0
        self._doubted = False
        self._mean = self._time.mean
        self._at = 0.0
        self._last: EndpointReport | None = None
        self._last_at = 0.0

    def on_placed(self, now: float) -> None:
        """Adds the flow to the debt."""
        self._advance(now)
        self._debt += 1.0
        self._recent += 1.0
        self._offset = self._draw_offset()

    def on_open(self, change: int) -> None:
        """Has no use for it: the end of a request shows too late."""

    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Measures the service time and settles the debt."""
        self._advance(now)
        last, self._last = self._last, report
        length, self._last_at = now - self._last_at, now
        drained, self._drained = self._drained, 0.0
        if last is None or report.finished < last.finished:
            return
        done = report.finished - last.finished
        running = min(report.running, self._slots)
        self._time.add(running, done, length)
        self._doubted = verdict is Verdict.HIDES
        occupancy = report.running + report.queued
        self._part.on_report(self._name, occupancy / self._target, done, now)
        if verdict is Verdict.BELIEVED:
            self._settle(drained - done * self._part.value, occupancy)

    def has_room(self, now: float, share: float) -> bool:
        """Whether the debt is below this VM's part of the target."""
        self._advance(now)
        limit = self._target * share * self._part.value - 0.5
        self._floor = min(0.0, limit - BURST)
        return self._debt <= limit + self._offset

    def load(self, now: float) -> float:
        """Returns this VM's own recent flows, by slots.

        Own flows only: what reports say of the others is older than a
        request is long, and all VMs would follow it at once.
        """
        self._advance(now)
        return self._recent / self._slots

    def rate(self, share: float) -> float:
        """Returns this VM's part of the finish rate."""
        return self._drain_rate() * share

    def pace(self) -> float:
        """Returns the measured service time."""
        return self._time.mean

    def compare(self, median_s: float) -> None:
        """Takes the service's median time unless it differs clearly."""
        own = self._time.mean
        alike = median_s / ALIKE <= own <= median_s * ALIKE
        self._mean = median_s if alike else own

    def _settle(self, missing: float, occupancy: int) -> None:
        """Replaces what was expected to finish by what did.

        Args:
            missing: What was expected beyond what finished, this VM's part.
            occupancy: Requests reported as running and queued.
        """
        self._debt += missing
        self._debt += PULL * (self._wanted(occupancy) - self._debt)
        most = MOST_BACKLOG * self._target * self._part.value + 1.0
        self._debt = min(self._debt, most)

    def _wanted(self, occupancy: int) -> float:
        """Returns the debt that an occupancy stands for.

        A busy endpoint's is the VM's part of it. One with room leaves the VM
        up to its whole burst: pulled towards nothing instead, the few flows
        of one VM among many would wait beside idle slots.
        """
        part = occupancy * self._part.value
        free = max(1.0 - occupancy / (ROOMY * self._slots), 0.0)
        return part + free * self._floor

    def _draw_offset(self) -> float:
        """Draws by how much the next flow comes early or late.

        It keeps the VMs out of step. Without it all that were idle when a
        burst came would place their next flows in the same moment, again and
        again. It moves the limit and not the debt, where it would add up.
        """
        return self._rng.uniform(-0.5, 0.5)

    def _drain_rate(self) -> float:
        """Returns this VM's part of the finish rate."""
        full = self._slots / self._mean
        return (TRIAL_RATE if self._doubted else full) * self._part.value

    def _advance(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        drain = min(
            self._drain_rate() * passed, max(self._debt - self._floor, 0.0)
        )
        self._debt -= drain
        self._drained += drain
        self._recent *= math.exp(-passed / RECENT_S)
