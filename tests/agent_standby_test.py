"""Tests of agent._standby: callers' packets while the relay is down."""

import anyio
import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.agent._node import Node, new_node
from pollenmast.agent._standby import Standby
from pollenmast.callers import PacketType, parse_packet
from pollenmast.decisions._members import ChangeReason
from pollenmast.fleet import Vm
from pollenmast.manifest import parse
from pollenmast.peers._envelope import Opener, sender_id, standby_name
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import unpack_forwarded
from pollenmast.peers._udp import service_socket, udp_socket
from standins._addresses import Reservation
from standins.memory import early_data, initial, short
from tests.agent_manifest_test import LOG, SETTINGS, text

_PORT = 4001
_TIMEOUT_S = 10
_KEY = SETTINGS.fleet.key


def _node(address: str, peers: tuple[Vm, ...]) -> Node:
    """Returns the agent state of a VM with a manifest and these peers."""
    at = attrs.evolve(SETTINGS.vm, address=address)
    node = new_node(attrs.evolve(SETTINGS, vm=at), LOG, anyio.current_time())
    data = text(1)
    node.acceptance.offer(parse(data).unwrap(), data, anyio.current_time())
    for peer in peers:
        now = anyio.current_time()
        node.membership._members.merge(peer, now, ChangeReason.JOINED)
    return node


class _Environment:
    """A VM's standby and relay port, another VM's relay, and a caller."""

    def __init__(self, alone: bool = False):
        self._reservation = Reservation()
        addresses = self._reservation.addresses
        self.address = addresses.vm(1)
        self.relay = service_socket(self.address, _PORT)
        self.peer = udp_socket(addresses.vm(9), 0)
        self.caller = udp_socket(addresses.caller(1), 0)
        other = Vm("vm-9", "hall-fres", *self.peer.getsockname(), 1, 1)
        self.node = _node(self.address, () if alone else (other,))
        self.standby = Standby(self.node)
        self.opener = Opener(_KEY)

    def close(self) -> None:
        """Closes the sockets."""
        for each in (self.relay, self.peer, self.caller):
            each.close()
        self._reservation.release()

    def send(self, data: bytes) -> None:
        """Sends a caller's datagram to the service's port."""
        self.caller.sendto(data, (self.address, _PORT))

    async def received_by_peer(self):
        """Returns the next envelope sent to the other VM's relay."""
        data = await _receive(self.peer)
        return self.opener.open(data, anyio.current_time()).unwrap()

    async def activate(self) -> None:
        """Activates the standby and waits until its ports are open."""
        self.standby.set_needed(True)
        while not self.standby.ports:
            await anyio.sleep(0.01)

    async def deactivate(self) -> None:
        """Deactivates the standby and waits until its ports are closed."""
        self.standby.set_needed(False)
        while self.standby.ports:
            await anyio.sleep(0.01)


async def _receive(sock) -> bytes:
    with anyio.fail_after(_TIMEOUT_S):
        await anyio.wait_readable(sock)
    return sock.recv(9216)


def _run(script, alone: bool = False) -> Node:
    async def main() -> Node:
        env = _Environment(alone)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(env.standby.run)
                await script(env)
                tasks.cancel_scope.cancel()
        finally:
            env.close()
        return env.node

    return anyio.run(main)


class ForwardingTest(TestCase):
    """Every datagram of the fabric is read while the agent runs."""

    @parameterized.expand(
        [("first", initial("c1")), ("in_session", short("c1", "text"))]
    )
    def test_relay_hangs(self, _, data):
        """The agent reads the port of a hung relay and forwards to the owner.

        The hung relay's socket would continue to receive datagrams from the
        fabric, and callers would lose one packet in three of every session
        and handshake.
        """

        async def script(env):
            await env.activate()
            env.send(data)
            envelope = await env.received_by_peer()
            forwarded = unpack_forwarded(envelope.body).unwrap()
            self.assertEqual(MessageType.FORWARD, envelope.kind)
            self.assertEqual(sender_id(standby_name("vm-0")), envelope.sender)
            self.assertEqual(
                (_PORT, *env.caller.getsockname(), 1, data),
                (
                    forwarded.service_port,
                    forwarded.ip,
                    forwarded.port,
                    forwarded.hops,
                    forwarded.data,
                ),
            )
            self.assertRaises(BlockingIOError, env.relay.recv, 1)

        node = _run(script)
        reason = c.ForwardReason.STANDBY
        self.assertEqual(1, node.counters.value(c.FORWARDS, reason))

    def test_relay_resumes(self):
        """A relay that resumes receives its flows' packets again."""

        async def script(env):
            await env.activate()
            await env.deactivate()
            env.send(b"after")
            self.assertEqual(b"after", await _receive(env.relay))

        _run(script)

    def test_relay_restarts(self):
        """A new relay can open the port while the agent still has it open.

        The new relay gets the packets at once. If it had to wait for the
        agent, or failed to open the port, the VM would stay without a relay.
        """

        async def script(env):
            await env.activate()
            env.relay.close()
            env.relay = service_socket(env.address, _PORT)
            env.send(b"to the new one")
            self.assertEqual(b"to the new one", await _receive(env.relay))

        _run(script)

    def test_port_bound_by_other_program(self):
        """The agent binds a port later if another program has it open.

        The other program does not share the port. The agent continues to run
        and opens the port as soon as it is free.
        """

        async def script(env):
            env.relay.close()
            env.relay = udp_socket(env.address, _PORT)
            env.standby.set_needed(True)
            await anyio.sleep(0.05)
            self.assertEqual((), env.standby.ports)
            env.relay.close()
            await env.activate()

        _run(script)


class RefusalTest(TestCase):
    """Callers are refused while no VM has a relay, if nothing has run."""

    def test_new_flow(self):
        """A new caller is refused at once while every relay is down.

        Otherwise it would send its Initial again until its library gives up.
        """

        async def script(env):
            await env.activate()
            env.send(initial("c1"))
            answer = parse_packet(await _receive(env.caller)).unwrap()
            self.assertEqual(PacketType.INITIAL, answer.type)

        node = _run(script, alone=True)
        reason = c.RefusalReason.NO_RELAY
        self.assertEqual(1, node.counters.value(c.REFUSALS, reason))

    @parameterized.expand(
        [
            ("in_session", short("c1", "text"), c.DropReason.NO_OWNER),
            (
                "early_data",
                initial("c1", early=early_data("c1")),
                c.DropReason.NO_OWNER,
            ),
            ("small", initial("c1")[:900], c.DropReason.TRUNCATED_HEADER),
            ("empty", b"", c.DropReason.EMPTY),
        ]
    )
    def test_not_refused_if_it_may_have_run(self, _, data, reason):
        """A datagram is not refused if its flow's request may have run.

        A caller that is told that nothing ran would submit it again. Datagrams
        that are not a valid first packet are not refused either.
        """

        async def script(env):
            await env.activate()
            env.send(data)
            counters = env.node.counters
            with anyio.fail_after(_TIMEOUT_S):
                while not counters.value(c.DROPS, reason):
                    await anyio.sleep(0.01)
            self.assertRaises(BlockingIOError, env.caller.recv, 1)

        _run(script, alone=True)
