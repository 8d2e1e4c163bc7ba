"""Keeps a VM's endpoints and routes in step with the directory.

For seconds at a time the directory may be down, slow, lose responses, discard
its history or refuse this VM. An established connection may also stop
delivering data for good while new connections work. A VM that did not detect
this would keep placing flows on endpoints that are gone, and callers would
wait without an answer.

Each watch request is therefore short and has its own timeout: a response every
second confirms that the VM's state is current. Only some VMs of an
availability zone, its readers, watch the directory. They pass the confirmation
on to the others, which watch the directory themselves if none arrives.
"""

import random
from collections.abc import Callable

import anyio
from result import Err, Result

from pollenmast.counters import DIRECTORY_READ, FaultPlace, Histograms
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._update_log import UpdateLog
from pollenmast.events import (
    HISTORY_GONE,
    PLATFORM_BACK,
    PLATFORM_LOST,
    EventLog,
)
from pollenmast.steering import (
    START_POSITION,
    Directory,
    DirectoryFault,
    RoutesPublished,
    Steering,
    Update,
)

WATCH_TIMEOUT_S = 1.0
"""Duration of one watch request, in seconds. Its response confirms, for this VM
and the VMs it reports to, that nothing newer exists. A connection that stopped
delivering data is detected half a second after this time."""

BATCH_DELAY_S = 0.3
"""Pause after a response with changes, in seconds, to receive the next ones
together. During the release of a service there are dozens of changes a second,
and each would cost every reader one call. A change may take seconds to come
into force."""

STALE_FRACTION = 0.55
"""Fraction of the time limit for applying a change after which a VM without a
confirmation asks the directory itself."""

STALE_JITTER = 0.15
"""Upper bound of the random addition to `STALE_FRACTION`. It makes one VM ask
first and tell the others."""

RETRY_RESERVE_S = 1.0
"""What a watch leaves of the time limit for applying a change, in seconds: half
a second until a connection is known to be silent, the delay before the retry,
the answer to it, and some lag of the VM."""

MAX_IDLE_S = 0.4
"""Longest interval, in seconds, at which a VM that does not watch the directory
checks whether it should. It bounds how late a VM notices that it has become a
reader."""

MIN_IDLE_S = 0.02
"""Shortest interval between two such checks, in seconds."""

READER_DISCOVERY_S = 0.3
"""Delay, in seconds, before the first request of a VM that has already read
everything in its first start-up stage. Within this time the VM learns which VMs
are its availability zone's readers. Before that it would consider itself one,
and each start would cost a second call."""

MIN_RETRY_DELAY_S = 0.1
"""Delay before the first retry, in seconds. It doubles with each failure, up to
the maximum below."""

MAX_RETRY_DELAY_S = 0.8
"""Longest delay between retries, in seconds. The directory's recovery is
detected within this time, and a thousand VMs that retry at this rate stay
within the directory's limit for reads."""

_FULL_READ_FAULTS = (DirectoryFault.HISTORY_GONE, DirectoryFault.RESTORED)
"""Faults from which only a full read recovers."""


class Follower:
    """Keeps the endpoints and routes of one VM up to date."""

    def __init__(
        self,
        directory: Directory,
        steering: Steering,
        histograms: Histograms,
        log: EventLog,
        apply_s: float,
        rng: random.Random,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        """Initializes the follower.

        Args:
            directory: The directory to follow.
            steering: Holds the endpoints and routes to keep up to date.
            histograms: Records the duration of full reads.
            log: Receives a line for each change.
            apply_s: Time limit for applying a change, in seconds.
            rng: Spreads the requests of the VMs over time.
            faults: Contains faults in the handling of an answer.
        """
        self._faults = faults
        self._directory = directory
        self._steering = steering
        self._histograms = histograms
        self._log = log
        self._update_log = UpdateLog(log)
        self._apply_s = apply_s
        self._rng = rng
        self._is_reader: Callable[[], bool] = _always
        self._on_change: Callable[[], None] = _no_op
        self._stale_after_s = 0.0
        self._has_read = False
        self._lagging = False
        self._retry_delay_s = 0.0
        self._reread_delay_s = 0.0
        self._lost_at: float | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def unavailable_since(self) -> float | None:
        """Time at which the directory stopped answering, or None."""
        return self._lost_at

    def divide_watching(
        self, is_reader: Callable[[], bool], on_change: Callable[[], None]
    ) -> None:
        """Divides the watching of the directory among several VMs.

        Args:
            is_reader: Returns whether this VM is one of its availability zone's
                readers.
            on_change: Called after the VM's state has advanced.
        """
        self._is_reader = is_reader
        self._on_change = on_change

    def refresh(self) -> None:
        """Cancels a running request; asks again at once on new connections."""
        self._retry_delay_s = 0.0
        self._stale_after_s = 0.0
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, known: bool = False) -> None:
        """Follows the directory until cancelled.

        Args:
            known: Whether a full read has just been completed.
        """
        self._has_read = known
        if known:
            self._randomize_stale_after()
            await anyio.sleep(READER_DISCOVERY_S)
        else:
            self._lost_at = anyio.current_time()
        while True:
            with anyio.CancelScope() as self._scope:
                await self._guarded_step()

    def apply(self, update: Update, source: str) -> None:
        """Applies and logs an update from the directory or a peer.

        Args:
            update: The update.
            source: Where it came from, for the log.
        """
        now = anyio.current_time()
        before = self._steering.position
        applied = self._steering.apply(update, now)
        position = self._steering.position
        if position > before:
            self._on_change()
        if position.epoch > before.epoch and before != START_POSITION:
            self._update_log.log_restore(before, update, source)
        self._update_log.log_refused(update, applied, source)
        self._update_log.log_routes(applied, update.position, source)
        self._update_log.log_zones(applied, update.epoch, source)
        self._update_log.log_endpoints(applied, update.epoch, source)

    def adopt_restored_state(self) -> None:
        """Accepts what a restored directory lists, replacing earlier state.

        This happens only once its writers have had time to write again.
        """
        applied = self._steering.adopt_restored_state(anyio.current_time())
        epoch = self._steering.position.epoch
        self._update_log.log_zones(applied, epoch, "settled")
        self._update_log.log_endpoints(applied, epoch, "settled")

    def _should_ask(self) -> bool:
        """Returns whether this VM has to ask the directory itself."""
        if not self._has_read or self._lost_at is not None or self._is_reader():
            return True
        if self._steering.catalog.lacks_entries:
            return True
        age_s = self._steering.age_s(anyio.current_time())
        return age_s >= self._stale_after_s

    def _idle_s(self) -> float:
        """Returns the seconds until the state is stale, within bounds."""
        age_s = self._steering.age_s(anyio.current_time())
        left_s = self._stale_after_s - age_s
        return min(max(left_s, MIN_IDLE_S), MAX_IDLE_S)

    def _randomize_stale_after(self) -> None:
        fraction = STALE_FRACTION + STALE_JITTER * self._rng.random()
        self._stale_after_s = fraction * self._apply_s

    async def _guarded_step(self) -> None:
        """Takes an answer that causes a fault for no answer."""
        try:
            await self._step()
        except Exception as error:
            if not self._faults.contains(FaultPlace.DIRECTORY, error):
                raise
            await self._on_fault(DirectoryFault.MALFORMED)

    async def _step(self) -> None:
        if not self._should_ask():
            await anyio.sleep(self._idle_s())
            return
        # The revision may come from a peer; a watch from there misses nothing.
        asked_at = anyio.current_time()
        answer = self._reject_earlier_epoch(await self._ask())
        if isinstance(answer, Err):
            await self._on_fault(answer.err_value)
            return
        self._reread_delay_s = 0.0
        self._has_read = True
        self._randomize_stale_after()
        self._update_lagging(answer.ok_value)
        self._on_answer(answer.ok_value, asked_at)
        if answer.ok_value.changes:
            await anyio.sleep(BATCH_DELAY_S)

    async def _ask(self) -> Result[Update, DirectoryFault]:
        """Requests what is new by the call that transfers the fewest bytes."""
        position = self._steering.position
        if not self._has_read and not position.revision:
            return await self._read_all()
        if self._steering.catalog.lacks_entries:
            return await self._read_all()
        if not self._lagging:
            answer = await self._directory.watch(position, self._watch_s())
            if answer != Err(DirectoryFault.TOO_LONG):
                return answer
            self._lagging = True
        answer = await self._directory.catch_up(position)
        if answer != Err(DirectoryFault.TOO_LONG):
            return answer
        return await self._read_all()

    def _watch_s(self) -> float:
        """Returns how long a watch may wait for a change, in seconds.

        The older the state, the less: if the connection turns out to be silent,
        the time limit still has to cover another request. After a fault the
        store may be slow, and an early timeout would miss each answer.
        """
        if self._lost_at is not None:
            return WATCH_TIMEOUT_S
        age_s = self._steering.age_s(anyio.current_time())
        left_s = self._apply_s - age_s - RETRY_RESERVE_S
        return min(max(left_s, 0.0), WATCH_TIMEOUT_S)

    def _update_lagging(self, update: Update) -> None:
        """Records whether configurations arrive faster than they are read."""
        known = self._steering.table.version if self._steering.table else 0
        newer = sum(
            isinstance(change, RoutesPublished) and change.table.version > known
            for change in update.changes
        )
        self._lagging = newer > (0 if self._lagging else 1)

    async def _read_all(self) -> Result[Update, DirectoryFault]:
        started_at = anyio.current_time()
        answer = await self._directory.read(self._steering.position)
        if not isinstance(answer, Err):
            duration_s = anyio.current_time() - started_at
            self._histograms.observe(DIRECTORY_READ, duration_s)
        return answer

    async def _reread_all(self) -> Result[Update, DirectoryFault]:
        """Reads everything, with backoff until a watch succeeds again."""
        await anyio.sleep(self._reread_delay_s)
        self._reread_delay_s = _next_delay_s(self._reread_delay_s)
        asked_at = anyio.current_time()
        answer = self._reject_earlier_epoch(await self._read_all())
        if not isinstance(answer, Err):
            self._on_answer(answer.ok_value, asked_at)
        return answer

    def _reject_earlier_epoch(
        self, answer: Result[Update, DirectoryFault]
    ) -> Result[Update, DirectoryFault]:
        """Rejects a response if peers have since reported a later epoch."""
        known = self._steering.position.epoch
        if isinstance(answer, Err) or answer.ok_value.epoch >= known:
            return answer
        return Err(DirectoryFault.STALE)

    def _on_answer(self, update: Update, asked_at: float) -> None:
        now = anyio.current_time()
        self._retry_delay_s = 0.0
        if self._lost_at is not None:
            outage_s = now - self._lost_at
            self._lost_at = None
            self._steering.on_directory_return(now)
            self._log.write(
                PLATFORM_BACK,
                away_s=round(outage_s, 3),
                revision=update.revision,
                epoch=update.epoch,
            )
        self.apply(update, "directory")
        # A watch responds when something is new; a list may be as old as the
        # request.
        listed = update.complete or update.all_drains
        self._steering.on_confirmed(asked_at if listed else now)

    async def _on_fault(self, fault: DirectoryFault) -> None:
        if fault in _FULL_READ_FAULTS:
            self._log.write(
                HISTORY_GONE,
                fault=fault,
                epoch=self._steering.position.epoch,
                revision=self._steering.revision,
            )
            answer = await self._reread_all()
            if not isinstance(answer, Err):
                return
            fault = answer.err_value
        if self._lost_at is None:
            self._lost_at = anyio.current_time()
            self._log.write(PLATFORM_LOST, fault=fault)
        self._retry_delay_s = _next_delay_s(self._retry_delay_s)
        await anyio.sleep(self._retry_delay_s)


def _next_delay_s(delay_s: float) -> float:
    return min(max(2.0 * delay_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)


def _always() -> bool:
    return True


def _no_op() -> None:
    pass
