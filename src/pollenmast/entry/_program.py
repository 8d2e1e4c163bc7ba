"""The program of a VM: packets, directory, peers, health checks and signals."""

import gc
import signal
from collections.abc import AsyncIterator

import anyio
import anyio.abc
from result import Err

from pollenmast import http1
from pollenmast.counters import EJECTIONS, FaultPlace
from pollenmast.entry._boot import Boot, BootComponents
from pollenmast.entry._checks import HealthChecker
from pollenmast.entry._follow import Follower
from pollenmast.entry._gossip import Gossip
from pollenmast.entry._overload_log import OverloadLog
from pollenmast.entry._packets import PacketLoop
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._ports import EXIT_FAILED, EXIT_OK, Ports
from pollenmast.entry._reach import ZoneProber
from pollenmast.entry._site import HttpHandler
from pollenmast.events import (
    ENDPOINT_EJECTED,
    PAUSED,
    SETTINGS_REFUSED,
    SETTINGS_RELOADED,
    START_FAILED,
    STOPPED,
    STOPPING,
)
from pollenmast.steering import Record

SHUTDOWN_DRAIN_S = 1.8
"""How long a VM that shuts down keeps forwarding packets, in seconds. Readiness
is polled twice a second and two negative responses take a VM out of rotation.
Packets in transit still arrive for some tenths of a second after that."""

MAX_SHUTDOWN_DRAIN_FRACTION = 0.5
"""Upper bound of that time, as a fraction of the time until the process is
killed."""

FIRST_READ_TIMEOUT_S = 1.0
"""How long to wait for the rest of the directory's first response, in seconds:
enough for 600 kB, which is two thousand routes, at 5 Mbit/s. Another VM of the
availability zone has usually sent the same data by then."""

FIRST_READ_POLL_S = 0.01
"""Interval at which that response is polled, in seconds."""

MAINTENANCE_INTERVAL_S = 0.5
"""Interval between two rounds of expiring old state and flushing the log, in
seconds."""


class _Program:
    """One running VM."""

    def __init__(self, components: BootComponents, ports: Ports, boot: Boot):
        self._boot = boot
        self._settings = components.settings
        self._ports = ports
        self._counters = components.counters
        self._histograms = components.histograms
        self._stream = components.stream
        self._log = components.log
        self._rng = components.rng
        self._steering = components.steering
        self._forwarder = components.forwarder
        self._faults = components.faults
        self._site = HttpHandler(
            components.settings.ready_path,
            components.steering,
            components.counters,
            components.histograms,
            components.faults,
        )
        self._overload_log = OverloadLog(components.log)
        self._pauses = PauseDetector()
        self._packets = PacketLoop(
            components.forwarder, components.steering, self._pauses
        )
        self._checker = HealthChecker(
            ports.probe,
            self._steering,
            self._forwarder,
            self._pauses,
            self._counters,
            self._histograms,
            self._log,
            self._faults,
        )
        self._zone_prober = ZoneProber(
            ports.probe,
            self._steering.reach,
            self._pauses,
            self._counters,
            self._log,
            self._faults,
        )
        self._create_update_sources()
        self._pauses.notify(self._on_pause)

    def _create_update_sources(self) -> None:
        """Creates the components that follow the directory and other VMs."""
        settings = self._settings
        self._follower = Follower(
            self._ports.directory,
            self._steering,
            self._histograms,
            self._log,
            settings.apply_s,
            self._rng,
            self._faults,
        )
        self._peers = PeerReader(
            settings.seeds,
            settings.control,
            self._steering,
            self._follower,
            self._log,
            self._ports.packets.identify,
            self._faults,
        )
        self._gossip = Gossip(
            settings.vm,
            settings.zone,
            settings.gossip,
            settings.seeds,
            self._steering,
            self._peers,
            self._counters,
            self._rng,
            settings.link_mbps,
            self._pauses,
            self._faults,
        )
        self._follower.divide_watching(
            self._gossip.is_reader, self._gossip.schedule_broadcast
        )
        self._steering.check_policy.set_is_reader(self._gossip.is_reader)
        self._steering.outliers.set_on_ejected(self._on_ejected)
        self._steering.cold_limit.set_sharers(self._gossip.allowance_peers)
        self._steering.admission_control.set_sharers(
            self._gossip.credit_peers_at
        )

    async def run(self) -> int:
        """Runs until it is stopped; returns the exit code."""
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*signals) as received:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow_directory)
                await self._start_http_servers(tasks)
                tasks.start_soon(self._packets.run)
                tasks.start_soon(self._peers.run)
                tasks.start_soon(self._peers.catch_up)
                tasks.start_soon(self._gossip.send)
                tasks.start_soon(self._gossip.run_broadcasts)
                tasks.start_soon(self._gossip.receive)
                tasks.start_soon(self._checker.run)
                tasks.start_soon(self._zone_prober.run)
                tasks.start_soon(self._pauses.run)
                tasks.start_soon(self._run_maintenance)
                await self._handle_signals(received)
                tasks.cancel_scope.cancel()
        self._forwarder.refuse_held(anyio.current_time())
        self._forwarder.close()
        self._gossip.close()
        self._log.write(STOPPED, flows=len(self._steering.flows))
        self._log.flush()
        self._stream.flush()
        return EXIT_OK

    async def _follow_directory(self) -> None:
        """Waits for the directory's first response, then follows it."""
        with anyio.move_on_after(FIRST_READ_TIMEOUT_S):
            while self._boot.pending and not self._steering.ready:
                self._boot.step()
                await anyio.sleep(FIRST_READ_POLL_S)
        self._boot.cancel_request()
        await self._follower.run(known=self._steering.ready)

    async def _start_http_servers(self, tasks: anyio.abc.TaskGroup) -> None:
        addresses = {self._settings.ready, self._settings.metrics}
        if self._settings.control is not None:
            addresses.add(self._settings.control)
        for host, port in addresses:
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port, backlog=64
            )
            tasks.start_soon(http1.serve, listener, self._site.answer)

    async def _handle_signals(self, received: AsyncIterator[int]) -> None:
        """Handles signals; returns when the process has to exit."""
        async for number in received:
            if number != signal.SIGHUP:
                break
            self._reload()
        drain_s = min(
            SHUTDOWN_DRAIN_S,
            MAX_SHUTDOWN_DRAIN_FRACTION * self._settings.grace_s,
        )
        self._site.stop()
        self._log.write(STOPPING, leave_s=drain_s)
        with anyio.move_on_after(drain_s):
            async for number in received:
                if number != signal.SIGHUP:
                    return

    def _reload(self) -> None:
        """Validates the settings file; changes apply only at the next start.

        The addresses and the availability zone of a running VM do not change,
        so the signal only triggers a check that the file is still valid.
        """
        loaded = self._ports.load()
        if isinstance(loaded, Err):
            self._log.write(SETTINGS_REFUSED, fault=loaded.err_value)
            return
        self._log.write(
            SETTINGS_RELOADED, changed=loaded.ok_value != self._settings
        )

    def _on_ejected(self, record: Record, failed: int) -> None:
        self._counters.add(EJECTIONS)
        self._log.write(
            ENDPOINT_EJECTED,
            endpoint=record.endpoint.name,
            service=record.endpoint.service,
            zone=record.endpoint.zone,
            failed=failed,
        )

    def _on_pause(self, gap_s: float) -> None:
        self._log.write(PAUSED, gap_s=round(gap_s, 3))
        self._steering.on_pause(gap_s)
        self._forwarder.drop_queued_syns()
        # Its clock may not have advanced, so their holds have not expired.
        self._forwarder.refuse_held(anyio.current_time())
        self._gossip.discard_queued()
        self._follower.refresh()

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            with self._faults.guard(FaultPlace.MAINTENANCE):
                self._maintain(anyio.current_time())
            self._stream.flush()

    def _maintain(self, now: float) -> None:
        self._steering.tick(now)
        self._overload_log.update(self._steering.admission.status(now), now)
        self._follower.adopt_restored_state()


def run(components: BootComponents, ports: Ports, boot: Boot) -> int:
    """Runs the program of a VM until it is stopped.

    Args:
        components: The components that the first stage created.
        ports: Interfaces to the platform that the program runs on.
        boot: The first stage, whose response from the directory may still be
            arriving.

    Returns:
        The exit code: 0 after a graceful shutdown, 1 if it could not start.
    """
    # Objects created at start-up live as long as the process; scanning them in
    # each garbage collection would only delay packets.
    gc.freeze()
    gc.enable()
    return anyio.run(_run, components, ports, boot)


async def _run(components: BootComponents, ports: Ports, boot: Boot) -> int:
    try:
        return await _Program(components, ports, boot).run()
    except* OSError as group:
        for error in group.exceptions:
            components.log.write(START_FAILED, error=str(error))
    return EXIT_FAILED
