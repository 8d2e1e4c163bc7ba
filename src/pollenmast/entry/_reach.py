"""Tries the paths to other zones while the own one is drained."""

import anyio

from pollenmast.counters import CHECKS, PROBES, CheckReason, Counters
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._ports import HealthProbe
from pollenmast.events import ZONES_REACHED, ZONES_UNREACHED, EventLog
from pollenmast.steering import Reach, Record

EVERY_S = 0.25
"""Between two looks."""


class ReachWatch:
    """Makes the connections that steering asks for."""

    def __init__(
        self,
        probe: HealthProbe,
        reach: Reach,
        pauses: PauseWatch,
        counters: Counters,
        log: EventLog,
    ):
        self._probe = probe
        self._reach = reach
        self._pauses = pauses
        self._counters = counters
        self._log = log

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await self.look()
            await anyio.sleep(EVERY_S)

    async def look(self) -> None:
        """Looks once."""
        before = self._reach.cut_off
        targets = self._reach.targets(anyio.current_time())
        if targets:
            pauses = self._pauses.count
            reached = await self._reaches_any(targets)
            self._pauses.look()
            # A VM that stood still meanwhile knows nothing of its paths.
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
                tasks.start_soon(self._connect, record, reached)
        return any(reached)

    async def _connect(self, record: Record, reached: list[bool]) -> None:
        self._counters.add(CHECKS, CheckReason.REACH)
        answered = await self._probe.reaches(
            record.endpoint, self._pauses.lag_s
        )
        self._counters.add(PROBES, "answered" if answered else "failed")
        reached.append(answered)
