"""Test harness: an agent with an in-memory link and relay."""

import math

import attrs
import trio
import trio.testing

from pollenmast.agent import _link_loop
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._node import new_node
from pollenmast.agent._standby import Standby
from pollenmast.counters import Counters
from pollenmast.manifest import parse
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._gossip_socket import GossipSocket
from pollenmast.peers._messages import (
    DrainOrder,
    ExplainAnswer,
    ExplainQuery,
    FleetView,
    RelayReport,
)
from tests.agent_manifest_test import LOG, SETTINGS

REPORT = RelayReport(0, "", True, False, False, 5, 0, 0, (), ())


class DiscardingSocket:
    """A UDP socket that discards every datagram."""

    def sendto(self, data, to):
        """Discards a datagram."""
        return len(data)


class FakeRelay:
    """An in-memory link with a relay at its other end.

    Attributes:
        report: Report sent twice a second, or None to send none.
        received: Messages received from the agent, with their times.
        explains: Whether the relay answers explanation queries.
        connected: Whether the link is connected.
    """

    def __init__(self):
        self.report = REPORT
        self.received = []
        self.explains = True
        self.connected = True
        self._changed = trio.Event()
        self._out, self._in = trio.open_memory_channel(math.inf)

    async def send(self, message) -> bool:
        """Receives a message from the agent."""
        self.received.append((trio.current_time(), message))
        if isinstance(message, ExplainQuery) and self.explains:
            answer = ExplainAnswer(message.identifier, ("why",))
            self._out.send_nowait(answer)
        if isinstance(message, DrainOrder):
            self.report = attrs.evolve(self.report, draining=True)
        return True

    async def receive(self):
        """Returns the relay's next message."""
        return await self._in.receive()

    async def changed(self) -> None:
        """Waits until the link connects or disconnects."""
        await self._changed.wait()
        self._changed = trio.Event()

    def kill(self) -> None:
        """Stops as a killed process does: its connections are closed."""
        self.report = None
        self.connected = False
        self._changed.set()

    def restart(self) -> None:
        """Reconnects without a manifest."""
        self.report = attrs.evolve(REPORT, version=0)
        self.connected = True
        self._changed.set()

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            if self.report is not None:
                self._out.send_nowait(self.report)
            await trio.sleep(0.5)

    def views(self) -> list[tuple[float, FleetView]]:
        """Returns the views received, with their times."""
        return [
            each for each in self.received if isinstance(each[1], FleetView)
        ]


class Agent:
    """An agent with a relay but without peers."""

    def __init__(self):
        settings = attrs.evolve(
            SETTINGS, relay=attrs.evolve(SETTINGS.relay, grace_s=5.0)
        )
        self.node = new_node(settings, LOG, trio.current_time())
        key = settings.fleet.key
        socket = GossipSocket(
            DiscardingSocket(), Sealer("vm-0", key), Opener(key), Counters()
        )
        self.gossip = GossipLoop(self.node, socket, lambda key, vm: None)
        self.relay = FakeRelay()
        self.standby = Standby(self.node)
        self.link = _link_loop.LinkLoop(
            self.node, self.relay, self.gossip, self.standby
        )

    async def tick_membership(self) -> None:
        """Runs the membership protocol without a network."""
        while True:
            now = trio.current_time()
            self.gossip.send(self.node.membership.tick(now))
            await trio.sleep(0.1)

    def accept(self, data: bytes) -> None:
        """Puts a manifest in force."""
        now = trio.current_time()
        self.node.acceptance.offer(parse(data).unwrap(), data, now)
        self.node.membership.set_in_force(self.node.acceptance.key)
        self.node.notify_changed(at_once=True)


def run(script):
    """Runs a script next to an agent, on a simulated clock.

    Args:
        script: Async function that is called with the agent.

    Returns:
        The agent.
    """

    async def main():
        agent = Agent()
        async with trio.open_nursery() as nursery:
            for task in (
                agent.relay.run,
                agent.link.run,
                agent.tick_membership,
            ):
                nursery.start_soon(task)
            await script(agent)
            nursery.cancel_scope.cancel()
        return agent

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
