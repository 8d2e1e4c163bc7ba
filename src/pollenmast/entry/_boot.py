"""The first start-up stage of a VM: forwards packets while the program loads.

All VMs may lose power or be killed at once and come back within a second.
Until one of them forwards packets, nobody serves its clients. Loading the
whole program takes a quarter of a second on a VM with half a core; placing a
flow needs less than half of that.

The program is therefore loaded in this order:

1. the packet socket, which queues clients' packets from then on;
2. the request to the directory, which answers while the next part loads;
3. steering, the packet format and the log: from here on packets are forwarded;
4. one module at a time, the event loop, HTTP and the exchange with other VMs.
   After each module the packets received meanwhile are forwarded.

Then the event loop takes over with the same state. If the directory's response
is still arriving by then, the event loop waits for the rest: a second request
would take as long, and other VMs may send the same data sooner. If the
directory does not answer, the first stage has no endpoints to forward packets
to, and the program asks the directory and other VMs.
"""

import abc
import importlib
import os
import random
import select
import socket
import sys
import time
from collections.abc import Iterable

import attrs
from result import Err, Result

from pollenmast.counters import Counters, FaultPlace, Histograms
from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._faults import (
    OPEN_BARRIER,
    FaultBarrier,
    LoggingBarrier,
)
from pollenmast.entry._ports import EntrySettings, PacketFormat
from pollenmast.entry._update_log import UpdateLog
from pollenmast.events import (
    LOAD_FAILED,
    STARTED,
    BoundedStream,
    EventLog,
    JsonSink,
)
from pollenmast.steering import DirectoryFault, Steering, Update

PROGRAM = "entry"
"""Program name in log lines."""

INITIAL_POLL_WAIT_S = 0.03
"""How long the first poll waits for the rest of the directory's response, in
seconds. A response of 100 kB arrives in parts a few milliseconds apart, and
loading a module between them would take longer. Over a narrow link the response
takes longer than this, and loading continues."""

LOAD_RETRY_DELAY_S = 0.1
"""Delay before loading a module is retried after a failure, in seconds."""

LOAD_TIMEOUT_S = 2.0
"""How long a VM retries to load a module while it forwards packets without the
rest of its program, in seconds. It learns of no changes meanwhile, so this is
less than the time limit for applying a change."""

DEFERRED_MODULES = (
    *("ssl", "concurrent.futures", "subprocess", "asyncio.events"),
    *("asyncio", "anyio", "anyio._backends._asyncio"),
    *("msgpack", "pollenmast.http1", "pollenmast.entry._program"),
)
"""Modules that are loaded while packets are forwarded. Each takes at most 16 ms
on an idle machine (python -X importtime)."""


class InitialRead(abc.ABC):
    """The directory's response to a VM's first request."""

    @property
    @abc.abstractmethod
    def is_arriving(self) -> bool:
        """Whether part of the response has arrived."""

    @abc.abstractmethod
    def poll(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
        """Returns the response, or None if it is incomplete after the wait.

        Args:
            wait_s: How long to wait for it, in seconds.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Abandons the request."""


@attrs.frozen
class BootComponents:
    """The components that exist from the first start-up stage on.

    Attributes:
        settings: The VM's settings.
        counters: Its counters.
        histograms: Its latency histograms.
        stream: The output that log lines are written to.
        log: Its event log.
        rng: Its random number generator.
        steering: Its endpoints, routes and flows.
        forwarder: Forwards its packets.
        faults: Contains faults in the handling of one message.
    """

    settings: EntrySettings
    counters: Counters
    histograms: Histograms
    stream: BoundedStream
    log: EventLog
    rng: random.Random
    steering: Steering
    forwarder: Forwarder
    faults: FaultBarrier = OPEN_BARRIER


def build_components(
    settings: EntrySettings,
    packets: PacketFormat,
    counters: Counters,
    sock: socket.socket,
) -> BootComponents:
    """Creates the components of the first stage and logs the start."""
    histograms = Histograms()
    stream = BoundedStream(sys.stdout.fileno())
    log = EventLog(PROGRAM, settings.vm, sink=JsonSink(stream))
    rng = random.Random(f"{settings.vm} {os.getpid()}")
    steering = Steering(
        settings.zone,
        counters,
        rng,
        histograms,
        settings.allowance,
        settings.admission,
    )
    faults = LoggingBarrier(counters, log)
    forwarder = Forwarder(sock, packets, steering, counters, log, faults)
    log.write(STARTED, zone=settings.zone, pid=os.getpid())
    return BootComponents(
        settings,
        counters,
        histograms,
        stream,
        log,
        rng,
        steering,
        forwarder,
        faults,
    )


class Boot:
    """Loads the program and forwards packets after each module."""

    def __init__(
        self, components: BootComponents, first_read: InitialRead | None
    ):
        self._components = components
        self._first_read = first_read

    @property
    def pending(self) -> bool:
        """Whether the directory's response is still expected."""
        return self._first_read is not None

    def load(self, modules: Iterable[str] = DEFERRED_MODULES) -> None:
        """Loads modules and forwards the waiting packets after each.

        Args:
            modules: Full names of the modules, in the order of loading.

        Raises:
            Exception: Whatever the last attempt to load a module raised.
        """
        self.step(INITIAL_POLL_WAIT_S)
        for name in modules:
            self._load(name)
            self.step()
        if self._first_read is not None and not self._first_read.is_arriving:
            self.cancel_request()

    def step(self, wait_s: float = 0.0) -> None:
        """Applies the response if it is complete; forwards waiting packets.

        Args:
            wait_s: How long to wait for the response, in seconds.
        """
        if self._first_read is not None:
            response = self._poll(self._first_read, wait_s)
            if response is not None:
                self.cancel_request()
                with self._components.faults.guard(FaultPlace.DIRECTORY):
                    self._apply_response(response)
        if self._components.steering.ready:
            self._components.forwarder.forward_queued(_now())

    def cancel_request(self) -> None:
        """Stops waiting for the directory's response."""
        if self._first_read is not None:
            self._first_read.close()
            self._first_read = None

    def _poll(
        self, first_read: InitialRead, wait_s: float
    ) -> Result[Update, DirectoryFault] | None:
        try:
            return first_read.poll(wait_s)
        except Exception as error:
            place = FaultPlace.DIRECTORY
            if not self._components.faults.contains(place, error):
                raise
            return Err(DirectoryFault.MALFORMED)

    def _load(self, name: str) -> None:
        """Loads a module; forwards packets between failed attempts."""
        deadline = _now() + LOAD_TIMEOUT_S
        while True:
            try:
                importlib.import_module(name)
                return
            # Code at module level may raise any exception.
            except Exception as error:
                self._components.log.write(
                    LOAD_FAILED, module=name, error=repr(error)
                )
                if not self._components.steering.ready or _now() >= deadline:
                    self._components.stream.flush()
                    raise
            self._forward_until(_now() + LOAD_RETRY_DELAY_S)

    def _forward_until(self, deadline: float) -> None:
        sock = self._components.forwarder.sock
        while (left_s := deadline - _now()) > 0.0:
            select.select([sock], [], [], left_s)
            self.step()

    def _apply_response(self, response: Result[Update, DirectoryFault]) -> None:
        if isinstance(response, Err):
            # The program repeats the request and logs a fault.
            return
        now = _now()
        steering = self._components.steering
        applied = steering.apply(response.ok_value, now)
        steering.on_confirmed(now)
        update, update_log = response.ok_value, UpdateLog(self._components.log)
        update_log.log_refused(update, applied, "directory")
        update_log.log_zones(applied, update.epoch, "directory")
        update_log.log_routes(applied, update.position, "directory")


def _now() -> float:
    # The same clock as that of the event loop that takes over.
    return time.monotonic()
