"""Signals: the first stops gracefully, the second at once."""

import signal

import anyio

from pollenmast import events
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._link_loop import LinkLoop
from pollenmast.agent._node import Node

EXIT_CUT = 3
"""Exit code after a second signal."""

CHECK_S = 0.05
"""Between two looks at whether the relay has drained, in seconds."""

ORDER_AGAIN_S = 1.0
"""A relay that does not report draining is ordered again, in seconds."""

FAREWELL_S = 0.2
"""Time for the last messages to leave, in seconds."""


class Shutdown:
    """Waits for signals and ends the program."""

    def __init__(self, node: Node, gossip: GossipLoop, link: LinkLoop):
        self._node = node
        self._gossip = gossip
        self._link = link

    async def run(self) -> int:
        """Returns the exit code once the program shall end."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
            return await self._stop(signals)

    async def _stop(self, signals) -> int:
        code = 0
        async with anyio.create_task_group() as tasks:

            async def cut() -> None:
                nonlocal code
                await anext(signals)
                code = EXIT_CUT
                tasks.cancel_scope.cancel()

            tasks.start_soon(cut)
            await self._drain()
            tasks.cancel_scope.cancel()
        if code == EXIT_CUT:
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
        self._gossip.send(node.membership.gone())
        await anyio.sleep(FAREWELL_S)

    async def _drain_relay(self, grace_s: float) -> None:
        """Returns once the relay has nothing left to hand over."""
        node = self._node
        ordered_s = None
        until = anyio.current_time() + grace_s
        while node.relay.up(anyio.current_time()):
            report = node.relay.report
            if report.draining and report.drained:
                return
            now = anyio.current_time()
            overdue = ordered_s is None or now - ordered_s > ORDER_AGAIN_S
            if overdue and not report.draining:
                ordered_s = now
                await self._link.order_drain(until - now)
            await anyio.sleep(CHECK_S)
