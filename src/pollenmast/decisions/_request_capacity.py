"""Divides an endpoint's slots among VMs without coordination.

Many VMs send short requests at or beyond capacity, and the load reports are
older than a request takes. If each VM filled the slots that the reports show as
free, endpoints would oscillate between idle and queues that no report shows
yet. Without any bound the queues grow until every answer is late.

Each VM keeps a debt for each endpoint, which works like a leaky bucket: a
placed flow adds one, and the VM's share of the finish rate drains it. Each
report replaces the number of requests expected to finish by the actual one,
so the debts of all VMs together follow the endpoint's occupancy without
communication between the VMs. A VM may place a flow while its debt is below
its share of the target occupancy.

Occupancy is the number of requests that are running or queued.
"""

import math
import random

from pollenmast.decisions._capacity import Capacity
from pollenmast.decisions._fleet_part import CapacityShare
from pollenmast.decisions._service_time import ServiceTime
from pollenmast.decisions._trust import Verdict
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint

TARGET_QUEUE_FRACTION = 1.0
"""Target queue length as a fraction of the allowed queue.

An endpoint finishes requests unevenly in the half second between two reports.
The queued requests keep its slots busy in that time.
"""

BURST_FLOWS = 1.0
"""Flows beyond its share that a VM may place at once at an idle endpoint.

Callers are distributed unevenly over the VMs. Without the burst a flow would
wait for its VM's share while the endpoint is idle.
"""

CORRECTION_GAIN = 0.4
"""Fraction by which a report corrects the debt towards its target.

Without the correction the debts of VMs that get uneven numbers of callers
would drift apart. It also limits the effect of a lost report.
"""

MAX_DEBT_FACTOR = 4.0
"""Maximum debt, as a multiple of the VM's share of the target occupancy.

One flow is added to it. A wrong report must not close an endpoint for longer
than it takes to work off such a backlog. If the backlog really is longer, the
next report shows it again.
"""

BURST_CREDIT_OCCUPANCY = 2.0
"""Occupancy per slot below which an endpoint grants credit for bursts.

With 1.0, a VM among many held flows although endpoints had free slots every
other moment.
"""

RECENT_FLOWS_TIME_CONSTANT_S = 1.0
"""Time constant, in seconds, of the count of a VM's recent flows."""

TRIAL_RATE = 1.0
"""Flows per second, from all VMs, to an endpoint whose report hides work.

The length of its queue is not known. A low rate lets the endpoint work it
off, and the flows that it still gets show whether its report is right again.
"""

SIMILAR_RATIO = 1.5
"""Ratio between service time and median up to which the median is used.

The service time is estimated from few samples of busy slots. If the estimate
were always used, an endpoint could by chance seem twice as fast and get twice
the flows.
"""


class RequestCapacity(Capacity):
    """Capacity for short requests, counted in slots."""

    def __init__(
        self,
        endpoint: Endpoint,
        queue_per_slot: int,
        capacity_share: CapacityShare,
        rng: random.Random,
    ):
        self._name = endpoint.name
        self._capacity_share = capacity_share
        self._rng = rng
        self._slots = endpoint.slots
        self._target_occupancy = endpoint.slots * (
            1.0 + TARGET_QUEUE_FRACTION * queue_per_slot
        )
        self._service_time = ServiceTime()
        self._limit_jitter = self._draw_limit_jitter()
        self._debt = 0.0
        self._min_debt = 0.0
        self._drained_since_report = 0.0
        self._recent_flows = 0.0
        self._report_is_doubted = False
        self._assumed_service_time_s = self._service_time.mean
        self._updated_at = 0.0
        self._last_report: EndpointReport | None = None
        self._last_report_at = 0.0

    def on_placed(self, now: float) -> None:
        """Adds the flow to the debt."""
        self._update(now)
        self._debt += 1.0
        self._recent_flows += 1.0
        self._limit_jitter = self._draw_limit_jitter()

    def on_open(self, change: int) -> None:
        """Does nothing, as the end of a request is noticed too late."""

    def on_report(
        self, report: EndpointReport, now: float, verdict: Verdict
    ) -> None:
        """Updates the service time and corrects the debt."""
        self._update(now)
        last, self._last_report = self._last_report, report
        length, self._last_report_at = now - self._last_report_at, now
        drained, self._drained_since_report = self._drained_since_report, 0.0
        if last is None or report.finished < last.finished:
            return
        done = report.finished - last.finished
        running = min(report.running, self._slots)
        self._service_time.add(running, done, length)
        self._report_is_doubted = verdict is Verdict.HIDES
        occupancy = report.running + report.queued
        self._capacity_share.on_report(
            self._name, occupancy / self._target_occupancy, done, now
        )
        if verdict is Verdict.TRUSTED:
            self._correct_debt(
                drained - done * self._capacity_share.value, occupancy
            )

    def has_room(self, now: float, share: float) -> bool:
        """Whether the debt is below this VM's share of the target occupancy."""
        self._update(now)
        limit = (
            self._target_occupancy * share * self._capacity_share.value - 0.5
        )
        self._min_debt = min(0.0, limit - BURST_FLOWS)
        return self._debt <= limit + self._limit_jitter

    def load(self, now: float) -> float:
        """Returns this VM's recent flows per slot.

        The flows of other VMs are left out. Reports about them are older than
        a request takes, and all VMs would react to them at the same time.
        """
        self._update(now)
        return self._recent_flows / self._slots

    def rate(self, share: float) -> float:
        """Returns this VM's share of the finish rate, in flows per second."""
        return self._drain_rate() * share

    def service_time_s(self) -> float:
        """Returns the estimated service time in seconds."""
        return self._service_time.mean

    def compare(self, median_s: float) -> None:
        """Uses the service's median time unless its own differs clearly."""
        own = self._service_time.mean
        alike = median_s / SIMILAR_RATIO <= own <= median_s * SIMILAR_RATIO
        self._assumed_service_time_s = median_s if alike else own

    def _correct_debt(self, missing: float, occupancy: int) -> None:
        """Corrects the debt by the requests that actually finished.

        Args:
            missing: This VM's share of the requests that were expected to
                finish and did not.
            occupancy: Requests reported as running or queued.
        """
        self._debt += missing
        self._debt += CORRECTION_GAIN * (
            self._target_debt(occupancy) - self._debt
        )
        max_debt = (
            MAX_DEBT_FACTOR
            * self._target_occupancy
            * self._capacity_share.value
            + 1.0
        )
        self._debt = min(self._debt, max_debt)

    def _target_debt(self, occupancy: int) -> float:
        """Returns the debt that corresponds to an occupancy.

        At a busy endpoint it is the VM's share of the occupancy. At one with
        free slots it goes down to the minimum, which leaves the VM its whole
        burst. If the debt were corrected towards zero instead, the few flows
        of one VM among many would wait while slots are idle.
        """
        own_occupancy = occupancy * self._capacity_share.value
        free = max(
            1.0 - occupancy / (BURST_CREDIT_OCCUPANCY * self._slots), 0.0
        )
        return own_occupancy + free * self._min_debt

    def _draw_limit_jitter(self) -> float:
        """Draws the jitter of the debt limit for the next flow.

        It desynchronises the VMs. Without it all VMs that were idle when a
        burst came would keep placing their next flows at the same moment. It
        is applied to the limit because it would accumulate in the debt.
        """
        return self._rng.uniform(-0.5, 0.5)

    def _drain_rate(self) -> float:
        """Returns this VM's share of the finish rate, in flows per second."""
        full = self._slots / self._assumed_service_time_s
        return (
            TRIAL_RATE if self._report_is_doubted else full
        ) * self._capacity_share.value

    def _update(self, now: float) -> None:
        passed = now - self._updated_at
        if passed <= 0.0:
            return
        self._updated_at = now
        drain = min(
            self._drain_rate() * passed, max(self._debt - self._min_debt, 0.0)
        )
        self._debt -= drain
        self._drained_since_report += drain
        self._recent_flows *= math.exp(-passed / RECENT_FLOWS_TIME_CONSTANT_S)
