"""State shared by the agent's loops."""

import random
import time

import anyio
import attrs

from pollenmast import events
from pollenmast.agent._relay_state import RelayState
from pollenmast.counters import Counters
from pollenmast.decisions._acceptance import Acceptance
from pollenmast.decisions._membership import Membership
from pollenmast.decisions._membership_times import Times
from pollenmast.decisions._probing import Reports
from pollenmast.fleet import Vm
from pollenmast.peers._envelope import Opener, Sealer, sender_id
from pollenmast.settings import Settings


@attrs.define
class Node:
    """State and collaborators of one VM's agent.

    Attributes:
        settings: The VM's settings.
        counters: Counters of this process.
        log: Event log of this process.
        rng: Random number generator shared by the loops.
        membership: This VM's view of the fleet.
        acceptance: Tracks the manifest in force.
        reports: Health and load reports of the upstream endpoints.
        relay: Last known state of this VM's relay.
        sealer: Seals every message that this process sends.
        started_s: Start time of this process on the event loop's clock, in
            seconds.
        stopping: Whether a graceful shutdown has begun.
        platform_up: Whether the last call to the platform succeeded.
        platform_answered_s: Time of the platform's last answer on the event
            loop's clock, in seconds, or None if it has not answered yet.
    """

    settings: Settings
    counters: Counters
    log: events.EventLog
    rng: random.Random
    membership: Membership
    acceptance: Acceptance
    reports: Reports
    relay: RelayState
    sealer: Sealer
    started_s: float
    stopping: bool = False
    platform_up: bool = True
    platform_answered_s: float | None = None
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _urgent: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    def new_opener(self) -> Opener:
        """Returns a new opener.

        Each port needs its own, because an opener keeps the state that
        detects replayed messages.
        """
        fleet = self.settings.fleet
        return Opener(fleet.key, fleet.previous_key)

    def notify_changed(self, at_once: bool = False) -> None:
        """Records that the view sent to the relay has changed.

        Args:
            at_once: Whether the change is urgent: flows are misrouted until
                the relay has it.
        """
        self._changed.set()
        if at_once:
            self._urgent.set()

    async def wait_for_change(
        self, gather_s: float, min_interval_s: float, max_interval_s: float
    ) -> None:
        """Waits until the next view should be sent to the relay.

        Args:
            gather_s: Delay after an urgent change, in seconds; changes within
                it are sent in the same view.
            min_interval_s: Minimum wait without an urgent change, in seconds.
            max_interval_s: Maximum wait, in seconds.
        """
        with anyio.move_on_after(min_interval_s):
            await self._urgent.wait()
            await anyio.sleep(gather_s)
        if not self._changed.is_set():
            with anyio.move_on_after(max_interval_s - min_interval_s):
                await self._changed.wait()
        self._changed = anyio.Event()
        self._urgent = anyio.Event()


def new_node(settings: Settings, log: events.EventLog, now: float) -> Node:
    """Returns the initial state of an agent.

    Args:
        settings: The VM's settings.
        log: Event log of this process.
        now: Current time on the event loop's clock, in seconds.
    """
    vm = settings.vm
    agent = settings.agent
    # The incarnation of a restarted VM must exceed the one that its peers
    # remember, and the VM keeps no state on disk. Wall-clock seconds work,
    # since they grow faster than the incarnation of a running VM.
    wall_s = int(time.time())
    own = Vm(
        name=vm.name,
        zone=vm.zone,
        address=vm.address,
        relay_port=settings.relay.peer_port,
        gossip_port=agent.gossip_port,
        fetch_port=agent.fetch_port,
        incarnation=wall_s,
        relay_up=False,
    )
    rng = random.Random()
    return Node(
        settings=settings,
        counters=Counters(),
        log=log,
        rng=rng,
        membership=Membership(
            own,
            now,
            rng,
            Times(agent.heartbeat_s),
            settings.fleet.seeds,
        ),
        acceptance=Acceptance(),
        reports=Reports(sender_id(vm.name), wall_s),
        relay=RelayState(now),
        sealer=Sealer(vm.name, settings.fleet.key),
        started_s=now,
    )
