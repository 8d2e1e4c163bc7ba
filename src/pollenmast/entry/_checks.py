"""Asks doubted endpoints for their health, and ends the flows of dead ones."""

import anyio
import anyio.abc

from pollenmast.counters import (
    CHECK_TIME,
    CHECKS,
    PROBES,
    CheckReason,
    Counters,
    Histograms,
)
from pollenmast.entry._carrier import Carrier
from pollenmast.entry._pause import PauseWatch
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

TICK_S = 0.03
"""The least between two looks at which checks are due: below the time that a
client's second packet may take. A VM whose endpoints all show life does not
look: at 30 looks a second, waking up was most of a quiet VM's work."""

LAG_FACTOR = 4.0
"""A check's timeouts grow by so many times this VM's own lag: its connection
takes some turns of the loop, each of which may be as late."""

MOST_EXTRA_S = 2.0
"""The most that they grow by; a lag of half a second is as good as a pause."""

LATE_S = 0.02
"""A timeout that fires later than this says that the VM has just become late,
and nothing of the endpoint."""

MOST_CONTROLS = 2
"""Living endpoints that are asked beside one that may be down. The first may
have died a moment ago; both at once is less likely than a fault here."""

MOST_CHECKS = 16
"""Checks under way at the same time; a whole zone of endpoints can become
doubtful at once, and each check takes a descriptor and a little time."""


class Checker:
    """Makes the checks that steering asks for."""

    def __init__(
        self,
        probe: HealthProbe,
        steering: Steering,
        carrier: Carrier,
        pauses: PauseWatch,
        counters: Counters,
        histograms: Histograms,
        log: EventLog,
    ):
        self._probe = probe
        self._steering = steering
        self._carrier = carrier
        self._pauses = pauses
        self._counters = counters
        self._histograms = histograms
        self._log = log
        self._under_way: set[str] = set()
        self._told_down: set[str] = set()
        self._woken = anyio.Event()
        self._watchlist = steering.catalog.watchlist
        self._watchlist.notify(self._wake)

    async def run(self) -> None:
        """Checks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now = anyio.current_time()
                for record in self._steering.due_checks(now):
                    self._begin(record, tasks)
                await self._until_due()

    def _wake(self) -> None:
        self._woken.set()

    async def _until_due(self) -> None:
        """Waits until an endpoint has to be looked at."""
        next_at = self._watchlist.next_at(self._under_way)
        await anyio.sleep(TICK_S)
        with anyio.move_on_after(next_at - anyio.current_time()):
            await self._woken.wait()
        self._woken = anyio.Event()

    def _begin(self, record: Record, tasks: anyio.abc.TaskGroup) -> None:
        name = record.endpoint.name
        if name in self._under_way or len(self._under_way) >= MOST_CHECKS:
            return
        self._under_way.add(name)
        tasks.start_soon(self._check, record)

    async def _check(self, record: Record) -> None:
        """Checks until it is decided whether an endpoint is down.

        Its clients wait meanwhile, so a check that was not answered is
        repeated at once and not at the next look.
        """
        name = record.endpoint.name
        try:
            while record.health.due(anyio.current_time()):
                if not await self._check_once(record):
                    return
        finally:
            self._under_way.discard(name)
            self._wake()

    async def _check_once(self, record: Record) -> bool:
        """Makes one check; returns whether it says anything.

        A VM whose link is full, or cut, reaches nobody. It would find every
        endpoint down, end its clients' flows, and tell the others. So after
        the first timeout, one counts only if an endpoint that has just shown
        life was reached at the same moment: a link that is full for some
        tenths of a second may let a later question through.
        """
        extra_s = min(LAG_FACTOR * self._pauses.lag_s, MOST_EXTRA_S)
        controls = []
        if record.health.failing:
            controls = self._steering.doubts.controls(record, MOST_CONTROLS)
        reached: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for other in controls:
                tasks.start_soon(self._reach, other, extra_s, reached)
            result = await self._ask(record, extra_s)
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
        self._take(record, result)
        return True

    async def _ask(self, record: Record, extra_s: float) -> CheckResult | None:
        """Asks an endpoint; returns None if the answer says nothing."""
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
        self._pauses.look()
        late = took_s > self._probe.timeout_s + extra_s + LATE_S
        stood = self._pauses.count != pauses
        if result is CheckResult.TIMEOUT and (late or stood):
            # This VM stood still or was held up meanwhile: its own clock ran
            # out, which says nothing of the endpoint.
            return None
        return result

    async def _reach(
        self, record: Record, extra_s: float, reached: list[bool]
    ) -> None:
        self._counters.add(CHECKS, CheckReason.CONTROL)
        answered = await self._probe.reaches(record.endpoint, extra_s)
        self._counters.add(PROBES, "answered" if answered else "failed")
        reached.append(answered)

    def _take(self, record: Record, result: CheckResult) -> None:
        before = record.presence
        now = anyio.current_time()
        resets = self._steering.on_check(record, result, now)
        self._carrier.end(resets, now)
        event = self._event(record, before)
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

    def _event(self, record: Record, before: Presence) -> Event | None:
        """Returns what a check has changed, if anything."""
        name = record.endpoint.name
        if record.presence is Presence.GONE and before is not Presence.GONE:
            self._told_down.discard(name)
            return ENDPOINT_GONE
        if record.health.down and name not in self._told_down:
            self._told_down.add(name)
            return ENDPOINT_DOWN
        if not record.health.down and name in self._told_down:
            self._told_down.discard(name)
            return ENDPOINT_UP
        return None
