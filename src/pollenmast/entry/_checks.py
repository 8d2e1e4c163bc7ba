"""Checks the health of suspect endpoints and resets flows of dead ones."""

import anyio
import anyio.abc

from pollenmast.counters import (
    CHECK_TIME,
    CHECKS,
    PROBES,
    CheckReason,
    Counters,
    FaultPlace,
    Histograms,
)
from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import (
    CHECKS_UNSURE,
    ENDPOINT_CHECKED,
    ENDPOINT_DOWN,
    ENDPOINT_GONE,
    ENDPOINT_UP,
    Event,
    EventLog,
)
from pollenmast.steering import CheckResult, Presence, Record, Steering

MIN_SCAN_INTERVAL_S = 0.03
"""Minimum number of seconds between two scans for due checks: less than the
time that a client's second packet may take. A VM does not scan while all its
endpoints show activity: at 30 scans per second, waking up was most of the work
of an idle VM."""

LAG_FACTOR = 4.0
"""Multiple of this VM's own lag by which the timeouts of a check are extended.
A connection takes several iterations of the event loop, each of which may be
late by the lag."""

MAX_EXTRA_S = 2.0
"""Limit on this extension, in seconds. A lag of half a second amounts to a
pause."""

TIMER_LATE_S = 0.02
"""Delay in seconds beyond which a late timeout shows that this VM itself has
just fallen behind, and says nothing of the endpoint."""

MAX_CONTROLS = 2
"""Limit on the control endpoints: endpoints known to be alive that are probed
along with one that may be down. One of them may have died a moment ago; that
both have died at once is less likely than a fault of this VM."""

MAX_CHECKS = 16
"""Limit on concurrent checks. All endpoints of a zone can become suspect at
once, and each check takes a file descriptor and some processor time."""


class HealthChecker:
    """Runs the health checks that steering requests.

    Args:
        probe: Makes the connections.
        steering: Decides which checks are due, and what their results mean.
        forwarder: Sends resets to clients of dead endpoints.
        pauses: Detects pauses and the lag of this VM.
        counters: Counts checks and their results.
        histograms: Records how long checks take.
        log: The event log.
        faults: Contains faults in a check.
    """

    def __init__(
        self,
        probe: HealthProbe,
        steering: Steering,
        forwarder: Forwarder,
        pauses: PauseDetector,
        counters: Counters,
        histograms: Histograms,
        log: EventLog,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._probe = probe
        self._steering = steering
        self._forwarder = forwarder
        self._pauses = pauses
        self._counters = counters
        self._histograms = histograms
        self._log = log
        self._in_progress: set[str] = set()
        self._logged_down: set[str] = set()
        self._woken = anyio.Event()
        self._watchlist = steering.catalog.watchlist
        self._watchlist.set_on_schedule(self._wake)

    async def run(self) -> None:
        """Starts due checks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now = anyio.current_time()
                for record in self._steering.due_checks(now):
                    self._start_check(record, tasks)
                await self._wait_until_due()

    def _wake(self) -> None:
        self._woken.set()

    async def _wait_until_due(self) -> None:
        """Waits until a check may be due, at least `MIN_SCAN_INTERVAL_S`."""
        next_at = self._watchlist.next_at(self._in_progress)
        await anyio.sleep(MIN_SCAN_INTERVAL_S)
        with anyio.move_on_after(next_at - anyio.current_time()):
            await self._woken.wait()
        self._woken = anyio.Event()

    def _start_check(self, record: Record, tasks: anyio.abc.TaskGroup) -> None:
        name = record.endpoint.name
        if name in self._in_progress or len(self._in_progress) >= MAX_CHECKS:
            return
        self._in_progress.add(name)
        tasks.start_soon(self._check, record)

    async def _check(self, record: Record) -> None:
        """Checks an endpoint until it is decided whether it is down.

        Its clients wait in the meantime, so an unanswered check is repeated at
        once rather than at the next scan.
        """
        name = record.endpoint.name
        try:
            while record.health.due(anyio.current_time()):
                if not await self._check_once(record):
                    return
        except Exception as error:
            if not self._faults.contains(FaultPlace.CHECK, error, name):
                raise
            record.health.postpone(anyio.current_time())
        finally:
            self._in_progress.discard(name)
            self._wake()

    async def _check_once(self, record: Record) -> bool:
        """Runs one check and applies its result if it is conclusive.

        A VM whose own link is saturated or cut reaches no endpoint. It would
        consider all of them down, reset the flows of its clients and report
        the endpoints to other VMs. So after the first timeout, another one
        counts only if a control endpoint, one that has just shown activity,
        was reached at the same moment. A control probe sent later does not
        suffice: a link that is saturated for some tenths of a second may let
        it through.

        Returns:
            Whether the result was conclusive.
        """
        extra_s = min(LAG_FACTOR * self._pauses.lag_s, MAX_EXTRA_S)
        controls = []
        if record.health.failing:
            controls = self._steering.check_policy.controls(
                record, MAX_CONTROLS
            )
        reached: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for other in controls:
                tasks.start_soon(self._probe_control, other, extra_s, reached)
            result = await self._probe_health(record, extra_s)
        if result is None:
            return False
        if result is CheckResult.TIMEOUT and controls and not any(reached):
            record.health.postpone(anyio.current_time())
            self._log.write(
                CHECKS_UNSURE,
                endpoint=record.endpoint.name,
                controls=[other.endpoint.name for other in controls],
                lag_ms=round(1000.0 * self._pauses.lag_s),
            )
            return False
        self._apply_result(record, result)
        return True

    async def _probe_health(
        self, record: Record, extra_s: float
    ) -> CheckResult | None:
        """Probes an endpoint; returns None if the result is inconclusive."""
        endpoint = record.endpoint
        table = self._steering.table
        paths = table.health_paths if table is not None else {}
        pauses = self._pauses.count
        reason = record.health.check_reason
        self._counters.add(CHECKS, reason)
        began = anyio.current_time()
        result = await self._probe.check(
            endpoint, paths.get(endpoint.service, "/"), extra_s
        )
        took_s = anyio.current_time() - began
        self._histograms.observe(CHECK_TIME, took_s)
        failed = result in (CheckResult.TIMEOUT, CheckResult.REFUSED)
        self._counters.add(PROBES, "failed" if failed else "answered")
        self._log.write(
            ENDPOINT_CHECKED,
            endpoint=endpoint.name,
            reason=reason,
            result=result,
            took_ms=round(1000.0 * took_s),
            flows=self._steering.flows.count(endpoint.name),
        )
        self._pauses.check()
        late = took_s > self._probe.timeout_s + extra_s + TIMER_LATE_S
        paused = self._pauses.count != pauses
        if result is CheckResult.TIMEOUT and (late or paused):
            # This VM was suspended or delayed during the check, so its own
            # timer expired, which says nothing of the endpoint.
            return None
        return result

    async def _probe_control(
        self, record: Record, extra_s: float, reached: list[bool]
    ) -> None:
        self._counters.add(CHECKS, CheckReason.CONTROL)
        answered = await self._probe.reaches(record.endpoint, extra_s)
        self._counters.add(PROBES, "answered" if answered else "failed")
        reached.append(answered)

    def _apply_result(self, record: Record, result: CheckResult) -> None:
        before = record.presence
        now = anyio.current_time()
        resets = self._steering.on_check(record, result, now)
        self._forwarder.send_resets(resets, now)
        event = self._state_event(record, before)
        if event is not None:
            self._log.write(
                event,
                endpoint=record.endpoint.name,
                service=record.endpoint.service,
                zone=record.endpoint.zone,
                check=result,
                presence=record.presence,
                revision=record.revision,
                flows=len(resets),
            )

    def _state_event(self, record: Record, before: Presence) -> Event | None:
        """Returns the event to log if the check changed the state, or None."""
        name = record.endpoint.name
        if record.presence is Presence.GONE and before is not Presence.GONE:
            self._logged_down.discard(name)
            return ENDPOINT_GONE
        if record.health.down and name not in self._logged_down:
            self._logged_down.add(name)
            return ENDPOINT_DOWN
        if not record.health.down and name in self._logged_down:
            self._logged_down.discard(name)
            return ENDPOINT_UP
        return None
