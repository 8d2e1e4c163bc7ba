"""Follows the directory of endpoints and routes.

Load pattern: the directory is down, slow, loses answers, drops its history
or turns this VM away, for seconds, and the connection to it may fall silent
for good while new ones work. A VM that did not notice would go on placing
flows on endpoints that have left, and callers would wait for nobody.

So each watch is short and has a timeout of its own: an answer every second is
the proof that the beliefs are current. Some VMs of a zone watch; the others
hear that proof from them, and watch themselves when it fails to come.
"""

import random
from collections.abc import Callable

import anyio
from result import Err, Result

from pollenmast.counters import DIRECTORY_READ, Histograms
from pollenmast.entry._news import NewsLog
from pollenmast.events import (
    HISTORY_GONE,
    PLATFORM_BACK,
    PLATFORM_LOST,
    EventLog,
)
from pollenmast.steering import (
    NOTHING_KNOWN,
    Directory,
    DirectoryFault,
    RoutesPublished,
    Steering,
    Update,
)

WATCH_S = 1.0
"""Length of one watch: its answer is the proof, for this VM and those that it
tells, that nothing is newer. A connection that fell silent is noticed half a
second after that."""

GATHER_S = 0.3
"""Pause after an answer that told of changes, in seconds. While a service is
released they come by the dozen a second, and each would cost a call of each
reader. A change has seconds until it must be in force."""

STALE_PART = 0.55
"""Part of the time within which a change has to be in force, after which a VM
that has heard from nobody asks for itself: with a call and a timeout that
leaves a quarter."""

STALE_JITTER = 0.15
"""Added at random to it, so that one VM asks first and tells the others."""

IDLE_MOST_S = 0.4
"""The longest between two looks of a VM that does not watch at whether it
should: how late it may notice that it has become a reader."""

IDLE_LEAST_S = 0.02
"""The least between two such looks."""

JOIN_S = 0.3
"""How long a VM that knows everything from its first stage waits before it asks
on. It hears within this who its zone's readers are; until then it would take
itself for one, and each start would cost a second call."""

FIRST_RETRY_S = 0.1
"""Pause after the first failure; it doubles up to the next figure."""

MOST_RETRY_S = 0.8
"""The longest pause: the return of the directory is seen within it, and a
thousand VMs at this pace are within its rate of reads."""

_READ_ANEW = (DirectoryFault.HISTORY_GONE, DirectoryFault.RESTORED)
"""Faults after which only a list of everything leads on."""


class Follower:
    """Keeps the beliefs of one VM up to date."""

    def __init__(
        self,
        directory: Directory,
        steering: Steering,
        histograms: Histograms,
        log: EventLog,
        apply_s: float,
        rng: random.Random,
    ):
        """Takes what it works with.

        Args:
            directory: The directory to follow.
            steering: The beliefs to keep up to date.
            histograms: Takes the times of reads.
            log: Takes what changes.
            apply_s: Seconds within which a change has to be in force.
            rng: Spreads the VMs' questions.
        """
        self._directory = directory
        self._steering = steering
        self._histograms = histograms
        self._log = log
        self._news = NewsLog(log)
        self._apply_s = apply_s
        self._rng = rng
        self._is_reader: Callable[[], bool] = _always
        self._on_news: Callable[[], None] = _nothing
        self._patience_s = 0.0
        self._read = False
        self._behind = False
        self._pause_s = 0.0
        self._reread_pause_s = 0.0
        self._lost_at: float | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def lost_at(self) -> float | None:
        """Since when the directory does not answer, or None."""
        return self._lost_at

    def join(
        self, is_reader: Callable[[], bool], on_news: Callable[[], None]
    ) -> None:
        """Shares the watching with other VMs.

        Args:
            is_reader: Whether this VM is one of those that watch.
            on_news: Called when something has changed.
        """
        self._is_reader = is_reader
        self._on_news = on_news

    def refresh(self) -> None:
        """Asks again at once, over new connections."""
        self._pause_s = 0.0
        self._patience_s = 0.0
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, known: bool = False) -> None:
        """Follows the directory until cancelled.

        Args:
            known: Whether everything has just been read.
        """
        self._read = known
        if known:
            self._draw_patience()
            await anyio.sleep(JOIN_S)
        else:
            self._lost_at = anyio.current_time()
        while True:
            with anyio.CancelScope() as self._scope:
                await self._step()

    def take(self, update: Update, source: str) -> None:
        """Takes in what the directory or a peer has told."""
        now = anyio.current_time()
        before = self._steering.position
        applied = self._steering.apply(update, now)
        position = self._steering.position
        if position > before:
            self._on_news()
        if position.epoch > before.epoch and before != NOTHING_KNOWN:
            self._news.restored(before, update, source)
        self._news.refused(update, source)
        self._news.routes(applied, update.position, source)
        self._news.zones(applied, update.epoch, source)
        self._news.endpoints(applied, update.epoch, source)

    def settle(self) -> None:
        """Takes a restored directory's word once its writers had time."""
        applied = self._steering.settle(anyio.current_time())
        epoch = self._steering.position.epoch
        self._news.zones(applied, epoch, "settled")
        self._news.endpoints(applied, epoch, "settled")

    def _due(self) -> bool:
        """Whether this VM has to ask the directory itself."""
        if not self._read or self._lost_at is not None or self._is_reader():
            return True
        age_s = self._steering.age_s(anyio.current_time())
        return age_s >= self._patience_s

    def _idle_s(self) -> float:
        """Returns how long the beliefs stay young enough, within bounds."""
        age_s = self._steering.age_s(anyio.current_time())
        left_s = self._patience_s - age_s
        return min(max(left_s, IDLE_LEAST_S), IDLE_MOST_S)

    def _draw_patience(self) -> None:
        part = STALE_PART + STALE_JITTER * self._rng.random()
        self._patience_s = part * self._apply_s

    async def _step(self) -> None:
        if not self._due():
            await anyio.sleep(self._idle_s())
            return
        # The revision may be a peer's: a watch from there is complete too.
        asked_at = anyio.current_time()
        answer = self._in_order(await self._ask())
        if isinstance(answer, Err):
            await self._on_fault(answer.err_value)
            return
        self._reread_pause_s = 0.0
        self._read = True
        self._draw_patience()
        self._pace(answer.ok_value)
        self._on_answer(answer.ok_value, asked_at)
        if answer.ok_value.changes:
            await anyio.sleep(GATHER_S)

    async def _ask(self) -> Result[Update, DirectoryFault]:
        """Asks what is new, in the way that takes the fewest bytes."""
        position = self._steering.position
        if not self._read and not position.revision:
            return await self._read_all()
        if not self._behind:
            answer = await self._directory.watch(position, WATCH_S)
            if answer != Err(DirectoryFault.TOO_LONG):
                return answer
            self._behind = True
        answer = await self._directory.catch_up(position)
        if answer != Err(DirectoryFault.TOO_LONG):
            return answer
        return await self._read_all()

    def _pace(self, update: Update) -> None:
        """Notes whether configurations come faster than they are read."""
        known = self._steering.table.version if self._steering.table else 0
        newer = sum(
            isinstance(change, RoutesPublished) and change.table.version > known
            for change in update.changes
        )
        self._behind = newer > (0 if self._behind else 1)

    async def _read_all(self) -> Result[Update, DirectoryFault]:
        began = anyio.current_time()
        answer = await self._directory.read(self._steering.position)
        if not isinstance(answer, Err):
            took = anyio.current_time() - began
            self._histograms.observe(DIRECTORY_READ, took)
        return answer

    async def _read_anew(self) -> Result[Update, DirectoryFault]:
        """Reads everything, less often while that leads to no watch."""
        await anyio.sleep(self._reread_pause_s)
        self._reread_pause_s = _longer(self._reread_pause_s)
        asked_at = anyio.current_time()
        answer = self._in_order(await self._read_all())
        if not isinstance(answer, Err):
            self._on_answer(answer.ok_value, asked_at)
        return answer

    def _in_order(
        self, answer: Result[Update, DirectoryFault]
    ) -> Result[Update, DirectoryFault]:
        """Refuses what was overtaken by peers' news of a later epoch."""
        known = self._steering.position.epoch
        if isinstance(answer, Err) or answer.ok_value.epoch >= known:
            return answer
        return Err(DirectoryFault.STALE)

    def _on_answer(self, update: Update, asked_at: float) -> None:
        now = anyio.current_time()
        self._pause_s = 0.0
        if self._lost_at is not None:
            away = now - self._lost_at
            self._lost_at = None
            self._steering.on_return(now)
            self._log.write(
                PLATFORM_BACK,
                away_s=round(away, 3),
                revision=update.revision,
                epoch=update.epoch,
            )
        self.take(update, "directory")
        # A watch answers when something is new; a list may be as old as the
        # question.
        listed = update.whole or update.all_drains
        self._steering.on_confirmed(asked_at if listed else now)

    async def _on_fault(self, fault: DirectoryFault) -> None:
        if fault in _READ_ANEW:
            self._log.write(
                HISTORY_GONE,
                fault=fault,
                epoch=self._steering.position.epoch,
                revision=self._steering.revision,
            )
            answer = await self._read_anew()
            if not isinstance(answer, Err):
                return
            fault = answer.err_value
        if self._lost_at is None:
            self._lost_at = anyio.current_time()
            self._log.write(PLATFORM_LOST, fault=fault)
        self._pause_s = _longer(self._pause_s)
        await anyio.sleep(self._pause_s)


def _longer(pause_s: float) -> float:
    return min(max(2.0 * pause_s, FIRST_RETRY_S), MOST_RETRY_S)


def _always() -> bool:
    return True


def _nothing() -> None:
    pass
