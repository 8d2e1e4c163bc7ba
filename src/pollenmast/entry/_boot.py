"""The first stage of a VM: packets are carried while the program loads.

Load pattern: all VMs lose power or are killed at once, and are back within a
second. Until one carries packets its clients are served by nobody. Loading
the whole program takes a VM with half a core a quarter of a second; less than
half of that is needed to place a flow.

So the program is loaded in this order:

1. the packet socket, where clients' packets wait from now on;
2. the question to the directory, whose answer comes while the next is loaded;
3. steering, the packets' format and the log: now packets are carried;
4. in slices, the event loop, HTTP and what learns from other VMs. Between two
   slices the packets that have arrived are carried.

Then the event loop takes over with the same beliefs. An answer that has begun
to arrive by then is awaited there: asked for again it would come as slowly, and
other VMs may tell the same sooner. Where the directory does not answer, nothing
is known to carry packets by until then, and the program asks it and other VMs.
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

from pollenmast.counters import Counters, Histograms
from pollenmast.entry._carrier import Carrier
from pollenmast.entry._news import NewsLog
from pollenmast.entry._ports import EntrySettings, PacketFormat
from pollenmast.events import (
    LOAD_FAILED,
    STARTED,
    BoundedStream,
    EventLog,
    JsonSink,
)
from pollenmast.steering import DirectoryFault, Steering, Update

PROGRAM = "entry"
"""The program's name in its log lines."""

FIRST_WAIT_S = 0.03
"""How long the first look waits for the rest of the directory's answer. One of
100 kB comes in parts some milliseconds apart; loading a module in between would
take longer. Over a narrow link it takes longer still, and loading goes on."""

LOAD_RETRY_S = 0.1
"""Between two tries to load a module that failed, in seconds."""

LOAD_PATIENCE_S = 2.0
"""How long a VM carries packets without the rest of its program, in seconds.
It learns of no change meanwhile, so this is less than the time within which
one has to be in force."""

LATE_MODULES = (
    *("ssl", "concurrent.futures", "subprocess", "asyncio.events"),
    *("asyncio", "anyio", "anyio._backends._asyncio"),
    *("msgpack", "pollenmast.http1", "pollenmast.entry._program"),
)
"""What is loaded while packets are carried, in slices of at most 16 ms on an
idle machine (python -X importtime)."""


class FirstRead(abc.ABC):
    """The directory's answer to a VM's first question."""

    @property
    @abc.abstractmethod
    def begun(self) -> bool:
        """Whether some of the answer has arrived."""

    @abc.abstractmethod
    def poll(self, wait_s: float) -> Result[Update, DirectoryFault] | None:
        """Returns the answer, or None if it is not there within the wait."""

    @abc.abstractmethod
    def close(self) -> None:
        """Gives the question up."""


@attrs.frozen
class Early:
    """What exists from the first stage on.

    Attributes:
        settings: The VM's settings.
        counters: Its counters.
        histograms: Its latencies.
        stream: Where log lines go.
        log: Its log.
        rng: Its source of randomness.
        steering: Its beliefs.
        carrier: Carries its packets.
    """

    settings: EntrySettings
    counters: Counters
    histograms: Histograms
    stream: BoundedStream
    log: EventLog
    rng: random.Random
    steering: Steering
    carrier: Carrier


def early(
    settings: EntrySettings,
    packets: PacketFormat,
    counters: Counters,
    sock: socket.socket,
) -> Early:
    """Returns what the first stage needs, and logs the start."""
    histograms = Histograms()
    stream = BoundedStream(sys.stdout.fileno())
    log = EventLog(PROGRAM, settings.vm, sink=JsonSink(stream))
    rng = random.Random(f"{settings.vm} {os.getpid()}")
    steering = Steering(
        settings.zone, counters, rng, histograms, settings.allowance
    )
    carrier = Carrier(sock, packets, steering, counters, log)
    log.write(STARTED, zone=settings.zone, pid=os.getpid())
    return Early(
        settings, counters, histograms, stream, log, rng, steering, carrier
    )


class Boot:
    """Carries packets between the slices in which the program is loaded."""

    def __init__(self, parts: Early, first_read: FirstRead | None):
        self._parts = parts
        self._first_read = first_read

    @property
    def pending(self) -> bool:
        """Whether an answer is still expected."""
        return self._first_read is not None

    def load(self, modules: Iterable[str] = LATE_MODULES) -> None:
        """Loads modules, and looks at the socket after each.

        Raises:
            Exception: Whatever the last try to load a module has raised.
        """
        self.step(FIRST_WAIT_S)
        for name in modules:
            self._load(name)
            self.step()
        if self._first_read is not None and not self._first_read.begun:
            self.give_up()

    def step(self, wait_s: float = 0.0) -> None:
        """Takes the answer if it is there, and carries what waits."""
        if self._first_read is not None:
            answer = self._first_read.poll(wait_s)
            if answer is not None:
                self.give_up()
                self._take(answer)
        if self._parts.steering.ready:
            self._parts.carrier.carry_waiting(_now())

    def give_up(self) -> None:
        """Takes no answer any more."""
        if self._first_read is not None:
            self._first_read.close()
            self._first_read = None

    def _load(self, name: str) -> None:
        """Loads a module; carries packets between tries that fail."""
        give_up_at = _now() + LOAD_PATIENCE_S
        while True:
            try:
                importlib.import_module(name)
                return
            # A module's own statements may raise anything.
            except Exception as error:
                self._parts.log.write(
                    LOAD_FAILED, module=name, error=repr(error)
                )
                if not self._parts.steering.ready or _now() >= give_up_at:
                    self._parts.stream.flush()
                    raise
            self._carry_until(_now() + LOAD_RETRY_S)

    def _carry_until(self, until: float) -> None:
        sock = self._parts.carrier.sock
        while (left_s := until - _now()) > 0.0:
            select.select([sock], [], [], left_s)
            self.step()

    def _take(self, answer: Result[Update, DirectoryFault]) -> None:
        if isinstance(answer, Err):
            # The program asks again, and logs what it then finds.
            return
        now = _now()
        steering = self._parts.steering
        applied = steering.apply(answer.ok_value, now)
        steering.on_confirmed(now)
        update, news = answer.ok_value, NewsLog(self._parts.log)
        news.refused(update, "directory")
        news.zones(applied, update.epoch, "directory")
        news.routes(applied, update.position, "directory")


def _now() -> float:
    # The clock of the event loop that takes over.
    return time.monotonic()
