"""Fetches endpoints and routes from other VMs during a directory outage.

The directory may be down, or refuse this VM, while many VMs are restarted.
Without peers, a VM that has just started has no endpoints or routes until the
directory is back, and a running VM falls behind the others.
"""

import anyio
from result import Err

from pollenmast import http1
from pollenmast.counters import FaultPlace
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._follow import Follower
from pollenmast.entry._ports import Address
from pollenmast.events import PEER_TOLD, EventLog
from pollenmast.steering import START_POSITION, Position, Steering

SNAPSHOT_PATH = "/snapshot"

OUTAGE_S = 0.7
"""Length of a directory outage, in seconds, from which on peers are asked. In
this time the directory normally answers a few times."""

POLL_INTERVAL_S = 1.0
"""Seconds between two rounds of requests to the seeds."""

TIMEOUTS = http1.Timeouts(first_s=0.4, idle_s=0.4, total_s=2.0)
"""Timeouts of a request to a peer. A peer in the region answers within
milliseconds unless it is down or cut off. The total is longer because the
peer's link may be slow while all VMs of a zone ask it at once."""

MAX_PEERS_AHEAD = 64
"""Maximum number of peers that wait to be asked. One answer mostly covers what
the others are ahead by."""

_OK = 200


class PeerReader:
    """Fetches directory data from the seeds and from peers that are ahead.

    Args:
        seeds: Control addresses of some VMs, which may be down.
        own: Control address of this VM, None if it has none.
        steering: Holds the position that this VM has reached.
        follower: Applies the updates, and knows of directory outages.
        log: The event log.
        identify: Returns the identity of the endpoint of a name, None if no
            endpoint can have it.
        faults: Contains faults in the handling of an answer.
    """

    def __init__(
        self,
        seeds: tuple[Address, ...],
        own: Address | None,
        steering: Steering,
        follower: Follower,
        log: EventLog,
        identify: snapshot.Identify,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._identify = identify
        self._seeds = [seed for seed in seeds if seed != own]
        self._port = own[1] if own is not None else 0
        self._positions_ahead: dict[str, Position] = {}
        self._peer_ahead = anyio.Event()
        self._needs_full_state = False
        self._steering = steering
        self._follower = follower
        self._log = log

    def on_peer_ahead(self, host: str, position: Position) -> None:
        """Schedules a request to a peer that has reached a later position."""
        if len(self._positions_ahead) < MAX_PEERS_AHEAD:
            self._positions_ahead[host] = position
        self._peer_ahead.set()

    async def run(self) -> None:
        """Asks the seeds during directory outages, until cancelled."""
        while True:
            unavailable_since = self._follower.unavailable_since
            now = anyio.current_time()
            if (
                unavailable_since is not None
                and now - unavailable_since >= OUTAGE_S
            ):
                await self._ask_all()
            await anyio.sleep(POLL_INTERVAL_S if self._steering.ready else 0.2)

    async def catch_up(self) -> None:
        """Asks the peers that are ahead, one at a time, until cancelled.

        One answer mostly covers what the other peers are ahead by as well.
        """
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead = anyio.Event()
            while self._positions_ahead:
                host, position = self._positions_ahead.popitem()
                if position > self._steering.position:
                    await self._ask((host, self._port))

    async def _ask_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for seed in self._seeds:
                tasks.start_soon(self._ask, seed)

    async def _ask(self, seed: Address) -> None:
        connection = http1.Connection(*seed)
        known = (
            START_POSITION
            if self._needs_full_state
            else self._steering.position
        )
        target = f"{SNAPSHOT_PATH}?epoch={known.epoch}&after={known.revision}"
        try:
            answer = await connection.get(target, TIMEOUTS)
        finally:
            await connection.aclose()
        if isinstance(answer, Err) or answer.ok_value.status != _OK:
            return
        body = answer.ok_value.body
        with self._faults.guard(FaultPlace.PEER, body):
            self.on_update(body, f"{seed[0]}:{seed[1]}")

    def on_update(self, body: bytes, source: str) -> None:
        """Applies an encoded update received from a peer.

        Args:
            body: The encoded update.
            source: The peer, for the log.
        """
        decoded = snapshot.decode(body, self._identify)
        if isinstance(decoded, Err):
            self._log.write(PEER_TOLD, peer=source, fault=decoded.err_value)
            return
        update = decoded.ok_value
        self._steering.catalog.owners.on_ages_told(update.ages)
        if update.position <= self._steering.position:
            return
        # If the changes start from a route table that this VM does not have,
        # the next request asks for the complete state.
        self._needs_full_state = not self._steering.can_apply(update)
        self._log.write(
            PEER_TOLD,
            peer=source,
            revision=update.revision,
            epoch=update.epoch,
        )
        self._follower.apply(update, source)
