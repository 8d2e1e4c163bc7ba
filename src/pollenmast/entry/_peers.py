"""Asks other VMs for endpoints and routes while the directory is away.

Load pattern: the directory is down, or turns this VM away, and many VMs are
restarted meanwhile. Without peers a VM that has just started knows nothing
until the directory is back, and a VM that runs falls behind the others.
"""

import anyio
from result import Err

from pollenmast import http1
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._follow import Follower
from pollenmast.entry._ports import Address
from pollenmast.events import PEER_TOLD, EventLog
from pollenmast.steering import NOTHING_KNOWN, Position, Steering

PATH = "/snapshot"

PATIENCE_S = 0.7
"""The directory's outage from which peers are asked: a few of its answers."""

EVERY_S = 1.0
"""Between two rounds of questions."""

PATIENCE = http1.Patience(first_s=0.4, idle_s=0.4, total_s=2.0)
"""A peer in the region answers within milliseconds, or is down or cut off. Its
link may be narrow, and all VMs of a zone ask it at once."""

_OK = 200


class PeerReader:
    """Asks the seeds, one after the other."""

    def __init__(
        self,
        seeds: tuple[Address, ...],
        own: Address | None,
        steering: Steering,
        follower: Follower,
        log: EventLog,
    ):
        self._seeds = [seed for seed in seeds if seed != own]
        self._port = own[1] if own is not None else 0
        self._ahead: dict[str, Position] = {}
        self._woken = anyio.Event()
        self._lost_track = False
        self._steering = steering
        self._follower = follower
        self._log = log

    def behind(self, host: str, position: Position) -> None:
        """A peer knows more: it is asked for what is missing."""
        self._ahead[host] = position
        self._woken.set()

    async def run(self) -> None:
        """Asks whenever the directory is away, until cancelled."""
        while True:
            lost_at = self._follower.lost_at
            now = anyio.current_time()
            if lost_at is not None and now - lost_at >= PATIENCE_S:
                await self._ask_all()
            await anyio.sleep(EVERY_S if self._steering.ready else 0.2)

    async def catch_up(self) -> None:
        """Asks peers that know more, one at a time, until cancelled.

        One answer mostly makes the other peers' news known too.
        """
        while True:
            await self._woken.wait()
            self._woken = anyio.Event()
            while self._ahead:
                host, position = self._ahead.popitem()
                if position > self._steering.position:
                    await self._ask((host, self._port))

    async def _ask_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for seed in self._seeds:
                tasks.start_soon(self._ask, seed)

    async def _ask(self, seed: Address) -> None:
        connection = http1.Connection(*seed)
        known = NOTHING_KNOWN if self._lost_track else self._steering.position
        target = f"{PATH}?epoch={known.epoch}&after={known.revision}"
        try:
            answer = await connection.get(target, PATIENCE)
        finally:
            await connection.aclose()
        if isinstance(answer, Err) or answer.ok_value.status != _OK:
            return
        self.told(answer.ok_value.body, f"{seed[0]}:{seed[1]}")

    def told(self, body: bytes, source: str) -> None:
        """Takes in what a peer has told."""
        told = snapshot.decode(body)
        if isinstance(told, Err):
            self._log.write(PEER_TOLD, peer=source, fault=told.err_value)
            return
        update = told.ok_value
        if update.position <= self._steering.position:
            return
        # Changes of a table that this VM does not have: it asks for it all.
        self._lost_track = not self._steering.fits(update)
        self._log.write(
            PEER_TOLD,
            peer=source,
            revision=update.revision,
            epoch=update.epoch,
        )
        self._follower.take(update, source)
