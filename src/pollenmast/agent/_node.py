"""What the agent's loops share: one VM's knowledge and its tools."""

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
    """One VM's agent.

    Attributes:
        settings: The VM's settings.
        counters: This process's counters.
        log: This process's events.
        rng: Randomness.
        membership: What is believed of the other VMs.
        acceptance: The manifest in force.
        reports: The endpoints' load.
        relay: What the relay of this VM last said.
        sealer: Seals all that this process sends.
        started_s: When this process started, by the runtime's clock.
        stopping: Whether a graceful shutdown has begun.
        platform_up: Whether the platform's last answer came.
        platform_heard_s: When the platform last answered, or None.
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
    platform_heard_s: float | None = None
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _urgent: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    def opener(self) -> Opener:
        """Returns a new opener; each port has its own, as replays are by it."""
        fleet = self.settings.fleet
        return Opener(fleet.key, fleet.previous_key)

    def notify(self, at_once: bool = False) -> None:
        """Notes a change of the view.

        Args:
            at_once: Whether flows go wrong until the relay knows.
        """
        self._changed.set()
        if at_once:
            self._urgent.set()

    async def changed(
        self, least_s: float, spacing_s: float, most_s: float
    ) -> None:
        """Waits until the relay should be told.

        Args:
            least_s: Changes that come so soon after an urgent one are told
                with it.
            spacing_s: Wait at least so long, unless a change is urgent.
            most_s: Wait so long at the most.
        """
        with anyio.move_on_after(spacing_s):
            await self._urgent.wait()
            await anyio.sleep(least_s)
        if not self._changed.is_set():
            with anyio.move_on_after(most_s - spacing_s):
                await self._changed.wait()
        self._changed = anyio.Event()
        self._urgent = anyio.Event()


def new_node(settings: Settings, log: events.EventLog, now: float) -> Node:
    """Returns the node of a starting agent."""
    vm = settings.vm
    agent = settings.agent
    # A restarted VM must be believed over its life before, and has no disk
    # to remember it: seconds of the wall clock grow faster than a VM's
    # incarnation does.
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
