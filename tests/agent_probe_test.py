"""Tests of agent._probe_loop: which endpoints are probed and when."""

import json

import trio
import trio.testing
from result import Err, Ok
from testtools import TestCase

from pollenmast.agent._node import new_node
from pollenmast.agent._probe_loop import ProbeLoop
from pollenmast.decisions._members import Why
from pollenmast.http1 import Connection, HttpFault, Response
from pollenmast.manifest import parse
from tests.agent_manifest_test import LOG, SETTINGS, text
from tests.membership_group import vm
from tests.upstreams_probe_test import LOAD

WELL = Ok(Response(200, json.dumps(LOAD).encode()))
DOWN = Err(HttpFault.UNREACHABLE)


class FakeGossip:
    """Records the reports queued for peers."""

    def __init__(self):
        self.told = []

    def tell(self, news) -> None:
        """Records a report."""
        self.told.append(news)

    def send(self, sends) -> None:
        """Discards messages."""


class ProbeLoopTest(TestCase):
    """Each endpoint assigned to this VM is probed at its interval."""

    def setUp(self):
        """Patches the HTTP client to answer every probe with `self.answer`."""
        super().setUp()
        self.asked = []
        self.answer = WELL

        async def get(connection, target, timeout_s):
            self.asked.append(trio.current_time())
            return self.answer

        self.patch(Connection, "get", get)

    def _run(self, script):
        async def main():
            node = new_node(SETTINGS, LOG, trio.current_time())
            _accept(node, text(1))
            gossip = FakeGossip()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ProbeLoop(node, gossip).run)
                await script(node)
                nursery.cancel_scope.cancel()
            return node, gossip.told

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def _gaps(self) -> set[float]:
        pairs = zip(self.asked, self.asked[1:], strict=False)
        return {round(b - a, 3) for a, b in pairs}

    def test_pace(self):
        """A healthy endpoint is probed every second by each of two probers."""

        async def script(node):
            await trio.sleep(20)

        _, told = self._run(script)
        self.assertEqual({1.0}, self._gaps())
        self.assertLess(len(told), 12)  # Every 2 s while nothing changes.

    def test_failure(self):
        """An endpoint is unhealthy after two failures half a second apart."""

        async def script(node):
            await trio.sleep(5)
            self.asked.clear()
            self.answer = DOWN
            await trio.sleep(1.6)

        node, told = self._run(script)
        self.assertEqual({0.5}, self._gaps())
        self.assertFalse(told[-1].report.healthy)

    def test_given_away(self):
        """Probes stop when the endpoint is reassigned to VMs that joined."""

        async def script(node):
            await trio.sleep(3)
            now = trio.current_time()
            for number in range(3, 90, 3):
                node.membership._merge(vm(number), now, Why.JOINED)
            await trio.sleep(1)
            self.asked.clear()
            await trio.sleep(10)

        self._run(script)
        self.assertEqual([], self.asked)

    def test_gone_from_the_manifest(self):
        """An endpoint removed from the manifest is no longer probed."""

        async def script(node):
            await trio.sleep(3)
            _accept(node, text(2, "e-2"))
            await trio.sleep(3)

        node, told = self._run(script)
        self.assertEqual("e-2", told[-1].report.endpoint)
        (report,) = node.reports.view(self.asked[-1])
        self.assertEqual("e-2", report.endpoint)


def _accept(node, data: bytes) -> None:
    node.acceptance.offer(parse(data).unwrap(), data, 0.0)
