"""Runs the membership protocol over the gossip socket.

Updates of members and of endpoints are piggybacked on its messages.
"""

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
from pollenmast.decisions._members import Change, ChangeReason
from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _gossip
from pollenmast.peers._gossip import Gossip, GossipType, ProbeUpdate
from pollenmast.peers._gossip_socket import GossipSocket

GOSSIP_BYTES_PER_S = 2_300
"""Gossip budget of one VM, in bytes per second.

Control traffic of one VM may take 4 KB/s. After gossip, probes and reads of
the platform, 1.4 KB/s are left for replication. In trials with `bench
control`, load reports in the views of nine VMs were 0.6 s old with a budget
of 2,000 as well as of 2,600; with eighteen VMs they were 1.8 s and 1.2 s old.
"""

GOSSIP_BURST_BYTES = 12_000
"""Size of the largest gossip burst, in bytes.

The failure of one VM in a fleet of nine takes a tenth of it.
"""

MAX_MEMBER_BYTES = 500
"""Maximum size of the member updates added to one message, in bytes."""

PROBE_SENDS_PER_LOG = 1
"""How many times an endpoint's report is sent, per log2 of the fleet's size.

Once is enough, because the next report replaces a lost one within two seconds.
"""

_STATE_EVENTS = {
    VmState.SUSPECT: events.VM_SUSPECT,
    VmState.DEAD: events.VM_DEAD,
    VmState.LEAVING: events.VM_LEAVING,
    VmState.ALIVE: events.VM_UPDATED,
}
_REASON_EVENTS = {
    ChangeReason.JOINED: events.VM_JOINED,
    ChangeReason.RETURNED: events.VM_RETURNED,
}

NewerManifestCallback = Callable[[ManifestKey, Vm], None]


class GossipLoop:
    """Exchanges gossip messages with the peers.

    It sends the messages that the membership protocol asks for, adds pending
    updates to them, and applies the messages received.
    """

    def __init__(
        self,
        node: Node,
        socket: GossipSocket,
        on_newer_manifest: NewerManifestCallback,
    ):
        """Initializes the loop.

        Args:
            node: State of this VM's agent.
            socket: Sends and receives gossip messages.
            on_newer_manifest: Called when a peer has a manifest that this VM
                lacks, with the manifest's key and the peer.
        """
        self._node = node
        self._socket = socket
        self._on_newer_manifest = on_newer_manifest
        self._members: Dissemination[Vm] = Dissemination()
        self._probes: Dissemination[ProbeUpdate] = Dissemination(
            PROBE_SENDS_PER_LOG
        )
        now = anyio.current_time()
        self._budget = ByteBudget(GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES, now)
        self._was_fresh = False
        self._rescheduled = anyio.Event()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._tick)

    def send(self, sends: list[Send]) -> None:
        """Sends messages, each with as many updates as it may carry."""
        changed = self._queue_changes()
        for send in sends:
            self._send_message(send)
        if changed or any(send.act is GossipType.PING for send in sends):
            # The next deadline may now be earlier than the one that `_tick`
            # waits for.
            self._rescheduled.set()

    def queue_report(self, update: ProbeUpdate) -> None:
        """Queues an endpoint's report for the peers.

        A report that an endpoint is down or leaving must reach every VM,
        because a VM that misses it continues to send work there. It is
        therefore sent more often than a load report, which may be lost.
        """
        key = (update.report.service, update.report.endpoint, update.prober)
        sends = None if update.report.healthy else SENDS_PER_LOG
        self._probes.add(key, update, _gossip.probe_size(update), sends)

    async def _tick(self) -> None:
        membership = self._node.membership
        while True:
            now = anyio.current_time()
            self.send(membership.tick(now))
            self._rescheduled = anyio.Event()
            with anyio.move_on_at(membership.due()):
                await self._rescheduled.wait()

    async def _receive(self) -> None:
        while True:
            for message, source in await self._socket.receive():
                now = anyio.current_time()
                new_reports = self._apply_updates(message, now)
                sends = self._node.membership.receive(message, source, now)
                self.send(sends)
                # Queue the reports after the answer has been sent. The
                # least-sent updates go first, so an ack would otherwise
                # carry the ping's reports back to their sender.
                for update in new_reports:
                    self.queue_report(update)

    def _apply_updates(self, message: Gossip, now: float) -> list[ProbeUpdate]:
        """Applies the updates in a message.

        Returns:
            The endpoint reports that were new to this VM.
        """
        reports = self._node.reports
        new_reports = [
            update
            for update in message.probes
            if reports.record_peer(update, now)
        ]
        if new_reports:
            self._node.notify_changed()
        key = ManifestKey(message.version, message.digest.hex())
        if self._node.acceptance.should_fetch(key):
            self._on_newer_manifest(key, message.sender)
        return new_reports

    def _queue_changes(self) -> bool:
        """Queues and logs changes of the membership.

        Returns:
            Whether any member changed.
        """
        membership = self._node.membership
        changes = membership.take_changes()
        for change in changes:
            update = membership.latest_update(change.vm.name)
            self._members.add(update.name, update, _gossip.member_size(update))
            self._log_change(change)
        if membership.fresh != self._was_fresh:
            self._was_fresh = membership.fresh
            if self._was_fresh:
                alone = membership.alone
                self._node.log.write(events.REFRESH_ENDED, alone=alone)
            else:
                self._node.log.write(events.REFRESH_BEGAN)
            self._node.notify_changed(at_once=True)
        if changes:
            self._node.notify_changed(at_once=True)
        return bool(changes)

    def _log_change(self, change: Change) -> None:
        event = _REASON_EVENTS.get(
            change.reason, _STATE_EVENTS[change.vm.state]
        )
        self._node.log.write(
            event,
            member=change.vm.name,
            zone=change.vm.zone,
            state=change.vm.state.value,
            why=change.reason.value,
            incarnation=change.vm.incarnation,
            relay_up=change.vm.relay_up,
        )

    def _send_message(self, send: Send) -> None:
        bytes_left = self._budget.left(anyio.current_time())
        if send.act is GossipType.UPDATE and not bytes_left:
            # The same updates are sent with the next heartbeats. Without
            # this limit, a network cut of many VMs would cause a burst from
            # each of the others.
            return
        message = self._build_message(send, bytes_left)
        sent = self._socket.send(message, send.to)
        self._budget.spend(sent)

    def _build_message(self, send: Send, bytes_left: int) -> Gossip:
        node = self._node
        own = node.membership.own
        fleet = len(node.membership.vms())
        members, probes = send.members, ()
        if send.act in (GossipType.PING, GossipType.ACK, GossipType.UPDATE):
            room = min(
                bytes_left, _gossip.remaining_bytes(own, send.target, members)
            )
            updates = self._members.pick(min(room, MAX_MEMBER_BYTES), fleet)
            members += updates
            room -= sum(map(_gossip.member_size, updates))
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
