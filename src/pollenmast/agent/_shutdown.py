"""Stops the agent on signals.

The first signal starts a graceful shutdown, the second one ends the program
immediately.
"""

import signal

import anyio

from pollenmast import events
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._link_loop import LinkLoop
from pollenmast.agent._node import Node

EXIT_FORCED = 3
"""Exit code after a second signal, which ends a graceful shutdown."""

DRAIN_CHECK_INTERVAL_S = 0.05
"""Interval between checks whether the relay has drained, in seconds."""

DRAIN_RESEND_S = 1.0
"""Interval between drain orders, in seconds.

The order is repeated until the relay reports that it is draining.
"""

FINAL_SEND_S = 0.2
"""Time left for the last messages to be sent, in seconds."""


class Shutdown:
    """Waits for a signal and shuts the agent down."""

    def __init__(self, node: Node, gossip: GossipLoop, link: LinkLoop):
        self._node = node
        self._gossip = gossip
        self._link = link

    async def run(self) -> int:
        """Waits for a signal, then for the end of the shutdown.

        Returns:
            The program's exit code.
        """
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
            return await self._shut_down(signals)

    async def _shut_down(self, signals) -> int:
        code = 0
        async with anyio.create_task_group() as tasks:

            async def force_exit() -> None:
                nonlocal code
                await anext(signals)
                code = EXIT_FORCED
                tasks.cancel_scope.cancel()

            tasks.start_soon(force_exit)
            await self._drain()
            tasks.cancel_scope.cancel()
        if code == EXIT_FORCED:
            report = self._node.relay.report
            flows = report.flows if report else 0
            self._node.log.write(events.CUT, flows=flows)
        else:
            self._node.log.write(events.STOPPED)
        return code

    async def _drain(self) -> None:
        node = self._node
        grace_s = node.settings.relay.grace_s
        node.stopping = True
        node.log.write(events.STOPPING, grace_s=grace_s)
        node.membership.leave()
        self._gossip.send(node.membership.tick(anyio.current_time()))
        with anyio.move_on_after(grace_s):
            await self._drain_relay(grace_s)
        self._gossip.send(node.membership.announce_stop())
        await anyio.sleep(FINAL_SEND_S)

    async def _drain_relay(self, grace_s: float) -> None:
        """Waits until the relay has handed over its flows or is down."""
        node = self._node
        ordered_s = None
        until = anyio.current_time() + grace_s
        while node.relay.is_up(anyio.current_time()):
            report = node.relay.report
            if report.draining and report.drained:
                return
            now = anyio.current_time()
            overdue = ordered_s is None or now - ordered_s > DRAIN_RESEND_S
            if overdue and not report.draining:
                ordered_s = now
                await self._link.order_drain(until - now)
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
