"""Tests of peers._link and peers._nng."""

import anyio
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import ENVELOPE_FAULTS, Counters, EnvelopeFault
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._link import Link
from pollenmast.peers._messages import DrainOrder

_KEY = bytes(range(32))
_OTHER_KEY = bytes(32)
_ADDRESS = "127.0.15.1"
_PORT = 7502
_TIMEOUT_S = 10


def _link(name: str, key: bytes = _KEY) -> Link:
    return Link(Sealer(name, key), Opener(key), Counters())


class LinkTest(TestCase):
    """Agent and relay exchange messages, whichever starts first."""

    @parameterized.expand([("asyncio",), ("trio",)])
    def test_waits_alone(self, backend):
        """A relay sends while its agent has not started, or has died.

        The message is dropped after a timeout. The cancellation of the send
        once ended the program without a message, and with it every flow.
        """

        async def main() -> bool:
            relay = _link("vm-1")
            relay.listen(_ADDRESS, _PORT)
            try:
                return await relay.send(DrainOrder(1.0))
            finally:
                relay.close()

        self.assertFalse(anyio.run(main, backend=backend))

    @parameterized.expand([("asyncio",), ("trio",)])
    def test_agent_starts_first(self, backend):
        """An agent that dials before its relay listens gets connected later."""

        async def main() -> object:
            agent, relay = _link("vm-1"), _link("vm-1")
            agent.dial(_ADDRESS, _PORT + 1)
            await agent.send(DrainOrder(1.0))
            relay.listen(_ADDRESS, _PORT + 1)
            with anyio.fail_after(_TIMEOUT_S):
                while not await agent.send(DrainOrder(2.0)):
                    await anyio.sleep(0)
                received = await relay.receive()
            agent.close()
            relay.close()
            return received

        self.assertIsInstance(anyio.run(main, backend=backend), DrainOrder)

    @parameterized.expand([("asyncio",), ("trio",)])
    def test_peer_disconnects(self, backend):
        """An agent learns from the closed link that its relay has ended.

        From missing reports alone it would learn this 1.5 seconds later.
        """

        async def until(link: Link, connected: bool) -> None:
            with anyio.fail_after(_TIMEOUT_S):
                while link.connected is not connected:
                    await link.changed()

        async def main() -> None:
            agent, relay = _link("vm-1"), _link("vm-1")
            relay.listen(_ADDRESS, _PORT + 3)
            agent.dial(_ADDRESS, _PORT + 3)
            await until(agent, True)
            relay.close()
            await until(agent, False)
            agent.close()

        anyio.run(main, backend=backend)

    def test_second_agent_rejected(self):
        """A second agent that dials the same relay is rejected.

        The connection of the first agent stays, for both sides.
        """

        async def main() -> bool:
            relay, agent, second = _link("r"), _link("a"), _link("b")
            relay.listen(_ADDRESS, _PORT + 4)
            agent.dial(_ADDRESS, _PORT + 4)
            with anyio.fail_after(_TIMEOUT_S):
                await relay.changed()
            second.dial(_ADDRESS, _PORT + 4)
            with anyio.move_on_after(1.0):
                await relay.changed()
            connected = relay.connected and agent.connected
            for each in (relay, agent, second):
                each.close()
            return connected

        self.assertTrue(anyio.run(main))

    def test_unknown_key(self):
        """Messages under another key are dropped and counted."""

        async def main() -> int:
            counters = Counters()
            relay = Link(Sealer("vm-1", _KEY), Opener(_KEY), counters)
            relay.listen(_ADDRESS, _PORT + 2)
            stranger = _link("vm-1", _OTHER_KEY)
            stranger.dial(_ADDRESS, _PORT + 2)
            reason = EnvelopeFault.UNKNOWN_KEY
            with anyio.fail_after(_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(relay.receive)
                    await stranger.send(DrainOrder(1.0))
                    while not counters.value(ENVELOPE_FAULTS, reason):
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
            stranger.close()
            relay.close()
            return counters.value(ENVELOPE_FAULTS, reason)

        self.assertEqual(1, anyio.run(main))
