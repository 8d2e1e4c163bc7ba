"""Tests of agent._gossip_loop: updates piggybacked on gossip messages."""

import attrs
import trio
import trio.testing
from parameterized import parameterized
from testtools import TestCase

from pollenmast.agent._gossip_loop import GOSSIP_BURST_BYTES, GossipLoop
from pollenmast.agent._node import new_node
from pollenmast.counters import CONTROL_BYTES
from pollenmast.decisions._heartbeats import Send
from pollenmast.decisions._members import ChangeReason, Members
from pollenmast.decisions._membership_times import PAGE_BYTES
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _gossip
from pollenmast.peers._gossip import Gossip, GossipType, ProbeUpdate
from tests.agent_manifest_test import LOG, SETTINGS
from tests.membership_group import vm

PEER = vm(4)
SOURCE = (PEER.address, PEER.gossip_port)
PROBE_NEWS = ProbeUpdate(7, EndpointReport(1, "registry-1", 9, True))
PING = Gossip(GossipType.PING, 1, PEER, "vm-0", probes=(PROBE_NEWS,))


class FakeSocket:
    """Delivers queued messages and records those sent."""

    def __init__(self):
        self.sent = []
        self.incoming, self._in = trio.open_memory_channel(9)

    def send(self, message, to) -> int:
        """Records a message and returns its size."""
        self.sent.append((message, to))
        return len(_gossip.encode(message)) + 30

    async def receive(self):
        """Returns the next queued message."""
        return [await self._in.receive()]


def _run(script):
    async def main():
        node = new_node(SETTINGS, LOG, trio.current_time())
        wanted = []
        socket = FakeSocket()
        loop = GossipLoop(node, socket, lambda key, vm: wanted.append(key))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loop._receive)
            await script(loop, socket)
            nursery.cancel_scope.cancel()
        return socket.sent, wanted, node

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _deliver(socket, message) -> None:
    socket.incoming.send_nowait((message, SOURCE))


class UpdatesTest(TestCase):
    """Updates go to peers that lack them, within the byte budget."""

    def test_ack_does_not_return_reports(self):
        """An ack does not carry its ping's reports back to their sender.

        When it did, half of all endpoint reports went back to their sender,
        and load was a quarter older on every VM.
        """

        async def script(loop, socket):
            _deliver(socket, PING)
            await trio.sleep(0.01)
            loop.send([Send(SOURCE, GossipType.PING, 2, "vm-4")])

        sent, _, _ = _run(script)
        probes = {
            act: [message.probes for message, _ in sent if message.act is act]
            for act in (GossipType.ACK, GossipType.PING)
        }
        self.assertEqual([()], probes[GossipType.ACK])
        self.assertEqual([(PROBE_NEWS,)], probes[GossipType.PING])

    def test_known_report_is_not_forwarded_again(self):
        """A report that is received repeatedly is forwarded as one."""

        async def script(loop, socket):
            for sequence in range(9):
                _deliver(socket, attrs.evolve(PING, sequence=sequence))
                await trio.sleep(0.01)
            for sequence in range(9):
                loop.send([Send(SOURCE, GossipType.PING, sequence, "vm-4")])

        sent, _, _ = _run(script)
        report_count = sum(len(message.probes) for message, _ in sent)
        self.assertEqual(2, report_count)  # Once per log2 of the fleet (2 VMs).

    def test_burst_is_limited(self):
        """A burst of updates is limited; heartbeats are sent without them.

        Without the limit, a network cut that removes half the members of a
        large fleet would cause a burst of megabytes from each of the others.
        """

        async def script(loop, socket):
            push = Send(
                SOURCE, GossipType.UPDATE, members=tuple(map(vm, range(8)))
            )
            for _ in range(200):
                loop.send([push])
            loop.queue_report(PROBE_NEWS)
            loop.send([Send(SOURCE, GossipType.PING, 2, "vm-4")])

        sent, _, _ = _run(script)
        size = sum(len(_gossip.encode(message)) + 30 for message, _ in sent)
        self.assertLess(size, GOSSIP_BURST_BYTES + 1200)
        self.assertEqual(
            (GossipType.PING, ()), (sent[-1][0].act, sent[-1][0].probes)
        )

    def test_newer_manifest_is_requested(self):
        """Any message from a peer shows that it has a greater manifest."""

        async def script(loop, socket):
            _deliver(socket, attrs.evolve(PING, version=3, digest=b"d" * 16))
            await trio.sleep(0.01)

        _, wanted, node = _run(script)
        self.assertEqual([ManifestKey(3, (b"d" * 16).hex())], wanted)
        self.assertEqual(0, node.counters.value(CONTROL_BYTES, "fetch"))

    @parameterized.expand([("usual", 4), ("longest", 63)])
    def test_full_message_fits(self, _, length):
        """A message with the maximum of updates fits in one datagram.

        With long names it was once too long. Its receivers dropped it, and a
        VM whose heartbeats are dropped is declared dead.
        """

        def long_vm(number: int):
            name = f"vm-{number}".ljust(length, "x")
            zone = "z" * length
            return attrs.evolve(vm(number), name=name, zone=zone)

        async def script(loop, socket):
            loop._node.membership._own = long_vm(1)
            for number in range(60):
                name = f"e-{number}".ljust(length, "x")
                report = attrs.evolve(PROBE_NEWS.report, endpoint=name)
                loop.queue_report(ProbeUpdate(number, report))
                member = long_vm(number + 10)
                size = _gossip.member_size(member)
                loop._members.add(member.name, member, size)
            target = long_vm(9)
            members = (target,)
            loop.send([Send(SOURCE, GossipType.PING, 2, target.name, members)])

        sent, _, _ = _run(script)
        size = len(_gossip.encode(sent[0][0]))
        self.assertLessEqual(size, _gossip.MAX_BODY_BYTES)
        self.assertGreater(size, _gossip.MAX_BODY_BYTES / 2)

    def test_full_page_fits(self):
        """A page of members with the longest names fits in one datagram."""
        members = Members()
        for number in range(40):
            name = f"vm-{number}".ljust(63, "x")
            long_vm = attrs.evolve(vm(number), name=name, zone="z" * 63)
            members.merge(long_vm, 0.0, ChangeReason.TOLD)
        seen, after = [], ""
        while True:
            page, after = members.page(after, PAGE_BYTES)
            seen += page
            message = Gossip(
                GossipType.SYNC, 0, page[0], after, 9, b"d" * 16, tuple(page)
            )
            size = len(_gossip.encode(message))
            self.assertLessEqual(size, _gossip.MAX_BODY_BYTES)
            if not after:
                break
        self.assertEqual(40, len({each.name for each in seen}))
