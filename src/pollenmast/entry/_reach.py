"""Probes the paths to other zones while this VM's own zone is drained."""

import anyio

from pollenmast.counters import (
    CHECKS,
    PROBES,
    CheckReason,
    Counters,
    FaultPlace,
)
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import ZONES_REACHED, ZONES_UNREACHED, EventLog
from pollenmast.steering import Reach, Record

PROBE_INTERVAL_S = 0.25
"""Seconds between two rounds of probes."""


class ZoneProber:
    """Connects to the endpoints that `steering.Reach` selects."""

    def __init__(
        self,
        probe: HealthProbe,
        reach: Reach,
        pauses: PauseDetector,
        counters: Counters,
        log: EventLog,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._probe = probe
        self._reach = reach
        self._pauses = pauses
        self._counters = counters
        self._log = log

    async def run(self) -> None:
        """Probes periodically until cancelled."""
        while True:
            with self._faults.guard(FaultPlace.CHECK):
                await self.probe_once()
            await anyio.sleep(PROBE_INTERVAL_S)

    async def probe_once(self) -> None:
        """Runs one round of probes and logs a change of the result."""
        before = self._reach.cut_off
        targets = self._reach.targets(anyio.current_time())
        if targets:
            pauses = self._pauses.count
            reached = await self._reaches_any(targets)
            self._pauses.check()
            # A failure says nothing of the paths if this VM was suspended
            # during the probe.
            if reached or self._pauses.count == pauses:
                self._reach.on_probed(reached)
        if self._reach.cut_off == before:
            return
        self._log.write(
            ZONES_UNREACHED if self._reach.cut_off else ZONES_REACHED,
            endpoints=[record.endpoint.name for record in targets],
        )

    async def _reaches_any(self, targets: list[Record]) -> bool:
        reached: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for record in targets:
                tasks.start_soon(self._probe_endpoint, record, reached)
        return any(reached)

    async def _probe_endpoint(
        self, record: Record, reached: list[bool]
    ) -> None:
        self._counters.add(CHECKS, CheckReason.REACH)
        answered = await self._probe.reaches(
            record.endpoint, self._pauses.lag_s
        )
        self._counters.add(PROBES, "answered" if answered else "failed")
        reached.append(answered)
