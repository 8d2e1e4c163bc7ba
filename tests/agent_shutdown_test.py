"""Tests of agent._shutdown, with an in-memory relay."""

import anyio
import attrs
import trio
from testtools import TestCase

from pollenmast.agent import _shutdown
from pollenmast.fleet import VmState
from pollenmast.peers._messages import DrainOrder
from tests.agent_group import run


class ShutdownTest(TestCase):
    """A graceful shutdown waits for the relay, up to the grace period."""

    def _run_shutdown(self, drains_after_s: float | None) -> tuple:
        outcome = []

        async def script(agent):
            await trio.sleep(2.0)
            shutdown = _shutdown.Shutdown(agent.node, agent.gossip, agent.link)
            began = trio.current_time()

            async def drained():
                await trio.sleep(drains_after_s)
                agent.relay.report = attrs.evolve(
                    agent.relay.report, draining=True, drained=True
                )

            async with anyio.create_task_group() as tasks:
                if drains_after_s is not None:
                    tasks.start_soon(drained)
                await shutdown._drain()
            outcome.append(trio.current_time() - began)
            outcome.append(agent.node.membership.own.state)

        agent = run(script)
        orders = [
            message
            for _, message in agent.relay.received
            if isinstance(message, DrainOrder)
        ]
        return (*outcome, len(orders))

    def test_drained(self):
        """The agent exits soon after its relay has handed over all flows."""
        duration, state, orders = self._run_shutdown(2.0)
        self.assertTrue(2.0 < duration < 3.0, duration)
        self.assertEqual((VmState.DEAD, 1), (state, orders))

    def test_never_drained(self):
        """The agent exits after the grace period if a flow never moves."""
        duration, state, _ = self._run_shutdown(None)
        self.assertTrue(5.0 < duration < 5.5, duration)
        self.assertEqual(VmState.DEAD, state)
