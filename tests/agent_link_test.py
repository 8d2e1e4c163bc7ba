"""Tests of agent._link_loop, with an in-memory relay."""

import attrs
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.fleet import VmState
from tests.agent_group import REPORT, Agent, run
from tests.agent_manifest_test import text


class ViewTest(TestCase):
    """Content and timing of the views sent to the relay."""

    def test_lease_renewal(self):
        """Views are sent without changes, to renew the relay's lease."""

        async def script(agent):
            await trio.sleep(20.0)

        times = [at for at, _ in run(script).relay.views()][3:]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertLessEqual(max(gaps), 1.1)
        self.assertGreater(min(gaps), 0.9)

    def test_load_changes_are_coalesced(self):
        """100 load changes a second cause about four views a second."""

        async def script(agent):
            await trio.sleep(2.0)
            agent.relay.received.clear()
            for _ in range(1000):
                agent.node.notify_changed()
                await trio.sleep(0.01)

        self.assertLess(len(run(script).relay.views()), 45)

    def test_urgent_change_is_sent_at_once(self):
        """A change that moves flows does not wait for the minimum interval.

        When a VM dies, packets are lost until the relay has the new view.
        """
        delays = []

        async def script(agent):
            await trio.sleep(2.0)
            now = trio.current_time()
            agent.relay.received.clear()
            agent.node.notify_changed(at_once=True)
            await trio.sleep(0.2)
            delays.append(agent.relay.views()[0][0] - now)

        run(script)
        self.assertLess(delays[0], 0.05)

    def test_manifest_is_sent_until_in_force(self):
        """The manifest is not sent again once the relay reports it."""

        async def script(agent):
            await trio.sleep(1.0)
            agent.accept(text(3))
            await trio.sleep(0.1)
            key = agent.node.acceptance.key
            agent.relay.report = attrs.evolve(
                REPORT, version=key.version, digest=key.digest
            )
            await trio.sleep(10.0)

        views = run(script).relay.views()
        sent = [view for _, view in views if view.manifest is not None]
        self.assertEqual([text(3)], [view.manifest for view in sent])

    def test_manifest_is_sent_again_to_new_relay(self):
        """The manifest is sent again to a relay that reports none."""

        async def script(agent):
            await trio.sleep(1.0)
            agent.accept(text(3))
            await trio.sleep(3.0)

        views = run(script).relay.views()
        sent = [at for at, view in views if view.manifest is not None]
        self.assertGreaterEqual(len(sent), 2)

    def test_view_after_suspension_is_not_fresh(self):
        """The first view after the VM was suspended is not marked fresh.

        Otherwise the relay would open flows based on the state from before
        the suspension.
        """

        async def main():
            agent = Agent()
            agent.node.membership.tick(trio.current_time())
            await trio.sleep(1.5)
            agent.node.membership.tick(trio.current_time())
            before = agent.node.membership.fresh
            await trio.sleep(30.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.link._send_views)
                await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
            return before, agent.relay.views()[0][1].fresh

        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual((True, False), trio.run(main, clock=clock))


class RelayTest(TestCase):
    """How the agent tracks and announces the state of its relay."""

    def test_silent_relay(self):
        """A relay that stops reporting is announced as down."""
        seen = []

        async def script(agent):
            await trio.sleep(2.0)
            seen.append(agent.node.membership.own.relay_up)
            agent.relay.report = None
            await trio.sleep(2.6)
            seen.append(agent.node.membership.own.relay_up)
            agent.relay.report = REPORT
            await trio.sleep(1.0)
            seen.append(agent.node.membership.own.relay_up)

        run(script)
        self.assertEqual([True, False, True], seen)

    def test_killed_relay(self):
        """A killed relay is announced as down before its report is overdue.

        Its flows would stall for as long as its agent waits.
        """
        seen = []

        async def script(agent):
            await trio.sleep(2.0)
            agent.relay.kill()
            await trio.sleep(0.05)
            seen.append(agent.node.membership.own.relay_up)
            seen.append(agent.standby.needed)

        run(script)
        self.assertEqual([False, True], seen)

    def test_restarted_relay(self):
        """The standby stays active until a restarted relay has a manifest.

        The relay reports before it has a manifest, and opens its ports only
        with one. If the standby stopped at the first report, datagrams that
        arrive before the relay opens its ports would be lost.
        """
        seen = []

        async def script(agent):
            await trio.sleep(2.0)
            agent.relay.kill()
            await trio.sleep(1.0)
            agent.relay.restart()
            await trio.sleep(1.0)
            seen.append(agent.standby.needed)
            agent.relay.report = attrs.evolve(REPORT, version=1)
            await trio.sleep(1.0)
            seen.append(agent.standby.needed)

        run(script)
        self.assertEqual([True, False], seen)

    def test_agent_starts_without_relay(self):
        """An agent that starts without a relay activates the standby.

        It waits for the first report as long as for any other, since a
        running relay reports within that time.
        """
        seen = []

        async def script(agent):
            agent.relay.report = None
            await trio.sleep(1.0)
            seen.append(agent.standby.needed)
            await trio.sleep(1.5)
            seen.append(agent.standby.needed)

        run(script)
        self.assertEqual([False, True], seen)

    def test_suspended_agent(self):
        """An agent that was suspended does not consider its relay down.

        The relay's reports wait in the link during that time. An agent that
        took the relay for silent would take over the ports of a relay that
        carries flows, and callers' sessions would move back and forth.
        """
        seen = []

        async def main():
            agent = Agent()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.relay.run)
                nursery.start_soon(agent.link.run)
                await trio.sleep(2.2)
                clock.jump(4.0)
                await trio.sleep(0.001)
                seen.append(agent.node.membership.own.relay_up)
                seen.append(agent.standby.needed)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)
        self.assertEqual([True, False], seen)

    def test_draining_relay(self):
        """The VM leaves while its relay drains and returns with a new one."""
        seen = []

        async def script(agent):
            agent.relay.report = attrs.evolve(REPORT, draining=True)
            await trio.sleep(1.0)
            seen.append(agent.node.membership.own.state)
            agent.relay.report = REPORT
            await trio.sleep(1.0)
            seen.append(agent.node.membership.own.state)

        run(script)
        self.assertEqual([VmState.LEAVING, VmState.ALIVE], seen)

    @parameterized.expand([("answers", True, ("why",)), ("mute", False, None)])
    def test_explain(self, _, explains, expected):
        """A query returns an answer, or none after a bounded time."""
        lines = []

        async def script(agent):
            agent.relay.explains = explains
            lines.append(await agent.link.explain("registry/registry-1"))

        run(script)
        self.assertEqual([expected], lines)
