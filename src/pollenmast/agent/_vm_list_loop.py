"""Reads the platform's list of VMs, to discover and remove members."""

import anyio
from result import Err

from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._node import Node
from pollenmast.configuration import Platform
from pollenmast.decisions import _readers

ALONE_INTERVAL_S = 2.0
"""Interval between reads while no other VM is known, in seconds."""

FIRST_READ_TIMEOUT_S = 2.0
"""Maximum wait for the first list of VMs, in seconds.

A starting VM asks its peers before it follows the platform, and the list names
the peers.
"""


class VmListLoop:
    """Passes the listed VMs to the membership protocol."""

    def __init__(self, node: Node, platform: Platform, gossip: GossipLoop):
        self._node = node
        self._platform = platform
        self._gossip = gossip

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await self._read()
            await anyio.sleep(self._interval())

    async def read_first(self) -> None:
        """Reads the list once, so that the first refresh knows the peers."""
        with anyio.move_on_after(FIRST_READ_TIMEOUT_S):
            await self._read()

    async def _read(self) -> None:
        answer = await self._platform.vms()
        if isinstance(answer, Err):
            return
        now = anyio.current_time()
        membership = self._node.membership
        self._gossip.send(membership.update_listed(answer.ok_value, now))

    def _interval(self) -> float:
        fleet = len(self._node.membership.vms())
        if fleet == 1:
            return ALONE_INTERVAL_S
        return _readers.fallback_interval(fleet, self._node.rng)
