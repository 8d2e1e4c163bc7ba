"""Tests of agent._probe_loop: which endpoints are probed and when."""

import json

import trio
import trio.testing
from result import Err, Ok
from testtools import TestCase

from pollenmast.agent._node import new_node
from pollenmast.agent._probe_loop import ProbeLoop
from pollenmast.decisions._members import ChangeReason
from pollenmast.http1 import Connection, HttpFault, Response
from pollenmast.manifest import parse
from tests.agent_manifest_test import LOG, SETTINGS, text
from tests.membership_group import vm
from tests.upstreams_probe_test import LOAD

HEALTHY = Ok(Response(200, json.dumps(LOAD).encode()))
UNREACHABLE = Err(HttpFault.UNREACHABLE)


class FakeGossip:
    """Records the reports queued for peers."""

    def __init__(self):
        self.queued = []

    def queue_report(self, update) -> None:
        """Records a report."""
        self.queued.append(update)

    def send(self, sends) -> None:
        """Discards messages."""


class ProbeLoopTest(TestCase):
    """Each endpoint assigned to this VM is probed at its interval."""

    def setUp(self):
        """Patches the HTTP client to answer every probe with `self.answer`."""
        super().setUp()
        self.probed_at = []
        self.answer = HEALTHY

        async def get(connection, target, timeout_s):
            self.probed_at.append(trio.current_time())
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
            return node, gossip.queued

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    def _intervals(self) -> set[float]:
        pairs = zip(self.probed_at, self.probed_at[1:], strict=False)
        return {round(b - a, 3) for a, b in pairs}

    def test_probe_interval(self):
        """A healthy endpoint is probed every second by each of two probers."""

        async def script(node):
            await trio.sleep(20)

        _, queued = self._run(script)
        self.assertEqual({1.0}, self._intervals())
        self.assertLess(len(queued), 12)  # Every 2 s while nothing changes.

    def test_failed_endpoint(self):
        """An endpoint is unhealthy after two failures half a second apart."""

        async def script(node):
            await trio.sleep(5)
            self.probed_at.clear()
            self.answer = UNREACHABLE
            await trio.sleep(1.6)

        node, queued = self._run(script)
        self.assertEqual({0.5}, self._intervals())
        self.assertFalse(queued[-1].report.healthy)

    def test_reassigned_endpoint(self):
        """Probes stop when the endpoint is reassigned to VMs that joined."""

        async def script(node):
            await trio.sleep(3)
            now = trio.current_time()
            for number in range(3, 90, 3):
                node.membership._merge(vm(number), now, ChangeReason.JOINED)
            await trio.sleep(1)
            self.probed_at.clear()
            await trio.sleep(10)

        self._run(script)
        self.assertEqual([], self.probed_at)

    def test_endpoint_removed_from_manifest(self):
        """An endpoint removed from the manifest is no longer probed."""

        async def script(node):
            await trio.sleep(3)
            _accept(node, text(2, "e-2"))
            await trio.sleep(3)

        node, queued = self._run(script)
        self.assertEqual("e-2", queued[-1].report.endpoint)
        (report,) = node.reports.view(self.probed_at[-1])
        self.assertEqual("e-2", report.endpoint)


def _accept(node, data: bytes) -> None:
    node.acceptance.offer(parse(data).unwrap(), data, 0.0)
