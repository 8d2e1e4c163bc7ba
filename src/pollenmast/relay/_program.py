"""The relay program: runs the core on sockets, link, signals and clock."""

import gc
import random
import resource
import signal
from collections.abc import AsyncIterator

import anyio
import pynng

from pollenmast.events import (
    CUT,
    START_FAILED,
    STARTED,
    STOPPED,
    STOPPING,
    EventLog,
)
from pollenmast.peers import _messages as messages
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._link import Link
from pollenmast.relay._core import RelayCore
from pollenmast.relay._sockets import SocketTransport
from pollenmast.settings import Settings

TICK_S = 0.02
"""Interval between ticks of the core, in seconds.

A twentieth of the usual hold, so that holds end on time.
"""

REPORT_S = 0.5
"""Interval between reports to the agent, in seconds.

The same as the interval at which agents probe endpoints.
"""

EXIT_DELAY_S = 1.0
"""Time for which a drained relay still runs before it exits, in seconds.

The fabric's list of VMs lags; packets that it still sends here are forwarded
in the meantime.
"""

EXIT_OK = 0
"""Exit code after a graceful shutdown."""

EXIT_FAILED = 1
"""Exit code if the relay cannot bind its ports."""

EXIT_FORCED = 3
"""Exit code if a second signal cuts the shutdown short."""

_GC_THRESHOLDS = (50_000, 50, 1000)
"""Thresholds of the garbage collector.

Flows are numerous and form no cycles. With the default thresholds the
collector would traverse all of them several times a second and delay packets.
"""


class _Program:
    """A running relay."""

    def __init__(self, settings: Settings, log: EventLog):
        self._settings = settings
        self._log = log
        relay = settings.relay
        address = settings.vm.address
        self._transport = SocketTransport(address, relay.peer_port, log)
        rng = random.Random(settings.vm.name)
        self._core = RelayCore(
            settings, self._transport, rng, anyio.current_time()
        )
        fleet = settings.fleet
        self._link = Link(
            Sealer(settings.vm.name, fleet.key),
            Opener(fleet.key, fleet.previous_key),
            self._core.counters,
        )
        self._link.listen(address, relay.link_port)
        self._grace_s = relay.grace_s
        self._drain_deadline: float | None = None
        self._exit = EXIT_OK

    async def run(self) -> int:
        """Runs the relay until it is stopped; returns the exit code."""
        signals = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*signals) as received:
            self._log.write(STARTED, address=self._settings.vm.address)
            async with anyio.create_task_group() as tasks:
                for task in (self._tick, self._report, self._listen):
                    tasks.start_soon(task)
                tasks.start_soon(self._transport.run, self._core)
                scope = tasks.cancel_scope
                tasks.start_soon(self._watch_signals, received, scope)
                tasks.start_soon(self._watch_drain, scope)
        self._close()
        return self._exit

    def _close(self) -> None:
        flows = self._core.table.flows
        event = CUT if self._exit == EXIT_FORCED else STOPPED
        self._log.write(event, flows=flows)
        self._log.flush()
        self._link.close()
        self._core.table.close()
        self._transport.close()

    async def _tick(self) -> None:
        while True:
            self._core.tick(anyio.current_time())
            await anyio.sleep(TICK_S)

    async def _report(self) -> None:
        while True:
            report = self._core.report(anyio.current_time())
            await self._link.send(report)
            await anyio.sleep(REPORT_S)

    async def _listen(self) -> None:
        while True:
            message = await self._link.receive()
            now = anyio.current_time()
            if isinstance(message, messages.FleetView):
                self._core.on_view(message, now)
            elif isinstance(message, messages.DrainOrder):
                self._start_drain(message.grace_s)
            elif isinstance(message, messages.ExplainQuery):
                await self._link.send(self._core.explain(message, now))

    def _start_drain(self, grace_s: float) -> None:
        if self._drain_deadline is None:
            self._drain_deadline = anyio.current_time() + grace_s
            self._log.write(STOPPING, grace_s=grace_s)
            self._core.drain()

    async def _watch_signals(
        self, received: AsyncIterator[int], scope: anyio.CancelScope
    ) -> None:
        await anext(received)
        self._start_drain(self._grace_s)
        # Only a second signal ends the drain early: the first one may follow
        # the agent's drain order, if both programs are told to stop at once.
        await anext(received)
        self._exit = EXIT_FORCED
        scope.cancel()

    async def _watch_drain(self, scope: anyio.CancelScope) -> None:
        while not self._drain_finished():
            await anyio.sleep(TICK_S)
        await self._link.send(self._core.report(anyio.current_time()))
        await anyio.sleep(EXIT_DELAY_S)
        scope.cancel()

    def _drain_finished(self) -> bool:
        if self._drain_deadline is None:
            return False
        late = anyio.current_time() >= self._drain_deadline
        return late or self._core.drained()


def run(settings: Settings) -> int:
    """Runs a relay until it is stopped.

    Args:
        settings: The VM's checked settings.

    Returns:
        The exit code: 0 after a graceful shutdown, 1 if the relay could not
        start, 3 if a second signal cut the shutdown short.
    """
    gc.set_threshold(*_GC_THRESHOLDS)
    _, max_files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, max_files))
    log = EventLog("relay", settings.vm.name)
    return anyio.run(_run, settings, log)


async def _run(settings: Settings, log: EventLog) -> int:
    try:
        program = _Program(settings, log)
    except (OSError, pynng.NNGException) as error:
        # Another program uses the relay's ports, or the address does not
        # belong to this VM. Nothing was started; the last log line says so.
        log.write(START_FAILED, error=str(error))
        return EXIT_FAILED
    return await program.run()
