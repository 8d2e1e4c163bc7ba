"""Runs membership over the gossip socket and spreads news on its messages."""

from collections.abc import Callable

import anyio

from pollenmast import events
from pollenmast.agent._node import Node
from pollenmast.decisions._dissemination import (
    SENDS_PER_LOG,
    ByteBudget,
    Dissemination,
)
from pollenmast.decisions._heartbeats import Send
from pollenmast.decisions._members import Change, Why
from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _gossip
from pollenmast.peers._gossip import Act, Gossip, ProbeNews
from pollenmast.peers._gossip_socket import GossipSocket

BYTES_PER_S = 2_300
"""Gossip of one VM, in bytes a second. A VM's control may cost 4 KB/s; this
leaves 1.4 KB/s for replication, besides probes and reads of the platform.
Load in the views of nine VMs is 0.6 s old at 2,000 and at 2,600 alike; of
eighteen, 1.8 s and 1.2 s (bench control, trials)."""

BURST_BYTES = 12_000
"""What a burst of news may take at once. A death in a fleet of nine takes a
tenth of it."""

MEMBER_BYTES = 500
"""News of VMs in one message, at the most."""

PROBE_SENDS_PER_LOG = 1
"""Sends of one endpoint's report, times log2 of the fleet. A lost report is
replaced by the next one within two seconds, so once is enough."""

_STATE_EVENTS = {
    VmState.SUSPECT: events.VM_SUSPECT,
    VmState.DEAD: events.VM_DEAD,
    VmState.LEAVING: events.VM_LEAVING,
    VmState.ALIVE: events.VM_UPDATED,
}
_WHY_EVENTS = {
    Why.JOINED: events.VM_JOINED,
    Why.RETURNED: events.VM_RETURNED,
}

Wanted = Callable[[ManifestKey, Vm], None]


class GossipLoop:
    """Sends what membership decides, with news, and takes what comes."""

    def __init__(self, node: Node, socket: GossipSocket, wanted: Wanted):
        """Wires the loop.

        Args:
            node: The VM.
            socket: Where messages go and come.
            wanted: Told of a manifest that a peer has and this VM lacks.
        """
        self._node = node
        self._socket = socket
        self._wanted = wanted
        self._members: Dissemination[Vm] = Dissemination()
        self._probes: Dissemination[ProbeNews] = Dissemination(
            PROBE_SENDS_PER_LOG
        )
        now = anyio.current_time()
        self._budget = ByteBudget(BYTES_PER_S, BURST_BYTES, now)
        self._fresh = False
        self._earlier = anyio.Event()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._tick)

    def send(self, sends: list[Send]) -> None:
        """Sends messages, each with as much news as it may carry."""
        changed = self._collect()
        for send in sends:
            self._send(send)
        if changed or any(send.act is Act.PING for send in sends):
            # There may be a deadline before the one that `_tick` waits for.
            self._earlier.set()

    def tell(self, news: ProbeNews) -> None:
        """Queues an endpoint's report for the peers.

        That an endpoint is down or leaves must reach every VM: one that
        misses it goes on sending work there. Load may be missed.
        """
        key = (news.report.service, news.report.endpoint, news.prober)
        sends = None if news.report.healthy else SENDS_PER_LOG
        self._probes.add(key, news, _gossip.probe_size(news), sends)

    async def _tick(self) -> None:
        membership = self._node.membership
        while True:
            now = anyio.current_time()
            self.send(membership.tick(now))
            self._earlier = anyio.Event()
            with anyio.move_on_at(membership.due()):
                await self._earlier.wait()

    async def _receive(self) -> None:
        while True:
            for message, source in await self._socket.receive():
                now = anyio.current_time()
                heard = self._take_news(message, now)
                sends = self._node.membership.receive(message, source, now)
                self.send(sends)
                # Queued after the answer: the newest news goes first, and
                # an ack would carry back what its ping has just brought.
                for news in heard:
                    self.tell(news)

    def _take_news(self, message: Gossip, now: float) -> list[ProbeNews]:
        """Takes what a message tells; returns what was new of endpoints."""
        reports = self._node.reports
        heard = [news for news in message.probes if reports.heard(news, now)]
        if heard:
            self._node.notify()
        key = ManifestKey(message.version, message.digest.hex())
        if self._node.acceptance.wants(key):
            self._wanted(key, message.sender)
        return heard

    def _collect(self) -> bool:
        """Turns what membership changed into news and log lines."""
        membership = self._node.membership
        changes = membership.take_changes()
        for change in changes:
            told = membership.told(change.vm.name)
            self._members.add(told.name, told, _gossip.member_size(told))
            self._write(change)
        if membership.fresh != self._fresh:
            self._fresh = membership.fresh
            if self._fresh:
                alone = membership.alone
                self._node.log.write(events.REFRESH_ENDED, alone=alone)
            else:
                self._node.log.write(events.REFRESH_BEGAN)
            self._node.notify(at_once=True)
        if changes:
            self._node.notify(at_once=True)
        return bool(changes)

    def _write(self, change: Change) -> None:
        event = _WHY_EVENTS.get(change.why, _STATE_EVENTS[change.vm.state])
        self._node.log.write(
            event,
            member=change.vm.name,
            zone=change.vm.zone,
            state=change.vm.state.value,
            why=change.why.value,
            incarnation=change.vm.incarnation,
            relay_up=change.vm.relay_up,
        )

    def _send(self, send: Send) -> None:
        left = self._budget.left(anyio.current_time())
        if send.act is Act.NEWS and not left:
            # The same news rides on the next heartbeats; without this bound
            # a cut of many VMs would cost each of the others a burst.
            return
        message = self._compose(send, left)
        sent = self._socket.send(message, send.to)
        self._budget.spend(sent)

    def _compose(self, send: Send, left: int) -> Gossip:
        node = self._node
        own = node.membership.own
        fleet = len(node.membership.vms())
        members, probes = send.members, ()
        if send.act in (Act.PING, Act.ACK, Act.NEWS):
            room = min(left, _gossip.room(own, send.target, members))
            news = self._members.pick(min(room, MEMBER_BYTES), fleet)
            members += news
            room -= sum(map(_gossip.member_size, news))
            probes = self._probes.pick(room, fleet)
        key = node.acceptance.key
        return Gossip(
            act=send.act,
            sequence=send.sequence,
            sender=own,
            target=send.target,
            version=key.version,
            digest=bytes.fromhex(key.digest),
            members=members,
            probes=probes,
        )
