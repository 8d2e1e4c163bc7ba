"""Assembles the agent's components and runs them."""

import sys

import anyio
import anyio.abc
import pynng

from pollenmast import events, http1, operators
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._knowledge import NodeKnowledge
from pollenmast.agent._link_loop import LinkLoop
from pollenmast.agent._manifest_loop import ManifestLoop
from pollenmast.agent._node import Node, new_node
from pollenmast.agent._probe_loop import ProbeLoop
from pollenmast.agent._shutdown import Shutdown
from pollenmast.agent._standby import Standby
from pollenmast.agent._vm_list_loop import VmListLoop
from pollenmast.configuration import HttpPlatform
from pollenmast.peers._fetch import Fetcher, FetchServer
from pollenmast.peers._gossip_socket import GossipSocket, bind
from pollenmast.peers._link import Link
from pollenmast.settings import Settings

EXIT_FAILED = 1
"""Exit code when a port cannot be bound."""


def run(settings: Settings) -> int:
    """Runs the agent until a signal stops it.

    Returns:
        The exit code.
    """
    events.write_to(sys.stderr)
    log = events.EventLog("agent", settings.vm.name)
    try:
        return anyio.run(_run, settings, log)
    except* (OSError, pynng.NNGException) as errors:
        for error in errors.exceptions:
            log.write(events.START_FAILED, error=str(error))
    finally:
        log.flush()
    return EXIT_FAILED


async def _run(settings: Settings, log: events.EventLog) -> int:
    node = new_node(settings, log, anyio.current_time())
    vm, agent = settings.vm, settings.agent
    listener = await anyio.create_tcp_listener(
        local_host=vm.address, local_port=agent.operators_port
    )
    async with listener:
        udp = bind(vm.address, agent.gossip_port)
        socket = GossipSocket(
            udp, node.sealer, node.new_opener(), node.counters
        )
        server = FetchServer(
            vm.address,
            agent.fetch_port,
            node.sealer,
            node.new_opener(),
            node.counters,
            lambda: _manifest_in_force(node),
        )
        link = Link(node.sealer, node.new_opener(), node.counters)
        link.dial(vm.address, settings.relay.link_port)
        try:
            return await _Agent(node, socket, link).run(server, listener)
        finally:
            server.close()
            link.close()
            udp.close()


def _manifest_in_force(node: Node) -> bytes | None:
    in_force = node.acceptance.in_force
    return in_force.text if in_force else None


class _Agent:
    """The loops of one agent and the callbacks between them."""

    def __init__(self, node: Node, socket: GossipSocket, link: Link):
        platform = HttpPlatform(
            node.settings.platform.address,
            node.settings.platform.port,
            node.counters,
        )
        fetcher = Fetcher(node.sealer, node.new_opener(), node.counters)
        self._node = node
        self._manifests = ManifestLoop(
            node, platform, fetcher, self._on_manifest_accepted
        )
        self._gossip = GossipLoop(node, socket, self._manifests.note_available)
        self._list = VmListLoop(node, platform, self._gossip)
        self._probes = ProbeLoop(node, self._gossip)
        self._standby = Standby(node)
        self._link = LinkLoop(node, link, self._gossip, self._standby)
        self._shutdown = Shutdown(node, self._gossip, self._link)

    async def run(
        self, server: FetchServer, listener: anyio.abc.Listener
    ) -> int:
        """Runs every loop until a signal stops the agent.

        Args:
            server: Serves the manifest in force to peers.
            listener: Accepts the operators' HTTP connections.

        Returns:
            The exit code.
        """
        knowledge = NodeKnowledge(self._node, self._link)
        metrics = operators.Metrics(knowledge.counter_values, knowledge.gauges)
        site = operators.Site(knowledge, metrics)
        self._node.log.write(events.STARTED, zone=self._node.settings.vm.zone)
        async with anyio.create_task_group() as tasks:
            for loop in (
                server.serve,
                self._gossip.run,
                self._join_fleet,
                self._probes.run,
                self._link.run,
                self._standby.run,
            ):
                tasks.start_soon(loop)
            tasks.start_soon(http1.serve, listener, site.handle)
            code = await self._shutdown.run()
            tasks.cancel_scope.cancel()
        return code

    async def _join_fleet(self) -> None:
        """Refreshes from the peers, then starts to follow the platform."""
        await self._list.read_first()
        now = anyio.current_time()
        self._gossip.send(self._node.membership.start_refresh(now))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._list.run)
            tasks.start_soon(self._manifests.run)

    def _on_manifest_accepted(self) -> None:
        """Notifies the relay and a few peers of a manifest now in force."""
        membership = self._node.membership
        membership.set_in_force(self._node.acceptance.key)
        self._node.notify_changed(at_once=True)
        self._gossip.send(membership.push_messages())
