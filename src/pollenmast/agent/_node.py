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
from pollenmast.peers._envelope import Opener, Sealer, sender_id
from pollenmast.peers._messages import Vm
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

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    def opener(self) -> Opener:
        """Returns a new opener; each port has its own, as replays are by it."""
        fleet = self.settings.fleet
        return Opener(fleet.key, fleet.previous_key)

    def notify(self) -> None:
        """Wakes whoever waits for a change of the view."""
        self._changed.set()

    async def changed(self) -> None:
        """Returns after the next change of the view."""
        await self._changed.wait()
        self._changed = anyio.Event()


def new_node(settings: Settings, now: float) -> Node:
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
        log=events.EventLog("agent", vm.name),
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
        relay=RelayState(),
        sealer=Sealer(vm.name, settings.fleet.key),
        started_s=now,
    )
