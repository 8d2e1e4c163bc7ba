"""Tests of agent._manifest_loop: which manifest comes into force and when."""

import json

import trio
import trio.testing
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.agent._manifest_loop import ManifestLoop
from pollenmast.agent._node import Node, new_node
from pollenmast.configuration import Platform, PlatformError
from pollenmast.counters import MANIFESTS, ManifestOutcome
from pollenmast.decisions import _readers
from pollenmast.events import EventLog
from pollenmast.manifest import ManifestKey, parse
from pollenmast.settings import (
    FleetSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from tests.membership_group import vm

SETTINGS = Settings(
    VmSettings("vm-0", "hall-bor", "127.0.1.1"),
    FleetSettings(bytes(range(32))),
    PlatformSettings("127.0.3.1", 80),
)

LOG = EventLog("agent", "vm-0")


def text(version: int, endpoint: str = "e-1") -> bytes:
    """Returns the text of a manifest with one service and one endpoint."""
    endpoints = [
        {
            "name": endpoint,
            "address": "127.0.2.1",
            "port": 5001,
            "load_port": 6001,
            "zone": "hall-bor",
            "slots": 2,
            "connections": 2000,
            "state": "serving",
        }
    ]
    service = {
        "name": "cellvakt",
        "number": 1,
        "port": 4001,
        "kind": "session",
        "idempotent": False,
        "endpoints": endpoints,
    }
    return json.dumps({"version": version, "services": [service]}).encode()


def key(data: bytes) -> ManifestKey:
    """Returns the key of a manifest's text."""
    manifest = parse(data).unwrap()
    return ManifestKey(manifest.version, manifest.digest)


class FakePlatform(Platform):
    """A platform that holds one manifest.

    Attributes:
        data: Text of the manifest, or None while the platform is down.
        calls: Number of manifest reads.
    """

    def __init__(self, data: bytes | None):
        self.data = data
        self.calls = 0

    async def manifest(self, after, wait_s):
        """Returns the manifest once it is newer than `after`."""
        self.calls += 1
        until = trio.current_time() + wait_s
        while True:
            if self.data is None:
                return Err(PlatformError.UNREACHABLE)
            version = json.loads(self.data)["version"]
            if version > after:
                return Ok(self.data)
            if trio.current_time() >= until:
                return Ok(None)
            await trio.sleep(0.05)

    async def vms(self):
        """Returns an empty list."""
        return Ok(())


class FakeFetcher:
    """Serves the manifests that peers have in force.

    Attributes:
        texts: Manifest texts by address, with underscores for the dots.
        fetched: Addresses of the peers asked, in order.
    """

    def __init__(self, **texts: bytes | None):
        self.texts = texts
        self.fetched = []

    async def fetch(self, address, port, wanted):
        """Returns the manifest of the peer at this address."""
        self.fetched.append(address)
        await trio.sleep(0.01)
        return self.texts.get(address.replace(".", "_"))


PEER = vm(4)
PEER_KEY = "127_0_1_5"


class ManifestLoopTest(TestCase):
    """The greatest manifest comes into force, whatever its source."""

    def _run(self, platform, fetcher, script) -> Node:
        async def main():
            node = new_node(SETTINGS, LOG, trio.current_time())
            loop = ManifestLoop(node, platform, fetcher, lambda: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(loop.run)
                nursery.start_soon(self._tick_membership, node)
                await script(node, loop)
                nursery.cancel_scope.cancel()
            return node

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    async def _tick_membership(self, node: Node) -> None:
        # No peer answers, so the first refresh ends by its timeout.
        while True:
            node.membership.tick(trio.current_time())
            await trio.sleep(0.1)

    def test_restart_against_a_stale_platform(self):
        """A restarted VM asks its peers before a stale platform.

        If it read the platform first, this VM's callers would be sent to
        endpoints that were removed releases ago.
        """
        platform = FakePlatform(text(3))
        fetcher = FakeFetcher(**{PEER_KEY: text(7)})

        async def script(node, loop):
            await trio.sleep(0.2)
            self.assertEqual(0, platform.calls)
            loop.note_available(key(text(7)), PEER)
            await trio.sleep(4.0)

        node = self._run(platform, fetcher, script)
        self.assertEqual(7, node.acceptance.key.version)
        self.assertGreater(platform.calls, 0)

    def test_platform_down_peer_up(self):
        """A VM restarts while the platform is down; a peer has the manifest."""
        fetcher = FakeFetcher(**{PEER_KEY: text(7)})

        async def script(node, loop):
            loop.note_available(key(text(7)), PEER)
            await trio.sleep(0.1)

        node = self._run(FakePlatform(None), fetcher, script)
        self.assertEqual(7, node.acceptance.key.version)

    def test_first_source_fails(self):
        """Another peer is asked if the first one fails to send the manifest."""
        fetcher = FakeFetcher(**{PEER_KEY: text(7), "127_0_1_6": None})

        async def script(node, loop):
            loop.note_available(key(text(7)), PEER)
            loop.note_available(key(text(7)), vm(5))
            await trio.sleep(1.0)

        node = self._run(FakePlatform(None), fetcher, script)
        self.assertEqual(["127.0.1.6", "127.0.1.5"], fetcher.fetched)
        self.assertEqual(7, node.acceptance.key.version)

    def test_watch(self):
        """A published manifest comes into force with the watch's answer."""
        platform = FakePlatform(text(1))
        times = []

        async def script(node, loop):
            await trio.sleep(2.5)
            platform.data = text(2)
            began = trio.current_time()
            while node.acceptance.key.version < 2:
                await trio.sleep(0.01)
            times.append(trio.current_time() - began)

        self._run(platform, FakeFetcher(), script)
        self.assertLess(times[0], 0.2)

    @parameterized.expand(
        [
            ("older", text(4), 5, ManifestOutcome.OLDER),
            ("invalid", b'{"version": 9}', 5, ManifestOutcome.INVALID),
            ("no_json", b"\xff\x00", 5, ManifestOutcome.INVALID),
        ]
    )
    def test_rejected_manifest(self, _, offered, version, outcome):
        """An older or invalid manifest is rejected and counted.

        The one in force remains.
        """

        async def script(node, loop):
            loop._offer(text(5), "platform")
            loop._offer(offered, "platform")

        node = self._run(FakePlatform(None), FakeFetcher(), script)
        self.assertEqual(version, node.acceptance.key.version)
        self.assertEqual(1, node.counters.value(MANIFESTS, outcome))

    def test_republished_with_different_content(self):
        """Two pipelines publish version 5 with different content.

        A watch does not return the second manifest. Every VM must end up with
        the same content, whichever it saw first.
        """
        first, second = sorted((text(5, "e-1"), text(5, "e-2")), key=key)
        platform = FakePlatform(first)

        async def script(node, loop):
            await trio.sleep(2.5)
            platform.data = second
            await trio.sleep(_readers.WATCH_S + 1)

        node = self._run(platform, FakeFetcher(), script)
        self.assertEqual(key(second), node.acceptance.key)
        conflicts = node.counters.value(MANIFESTS, ManifestOutcome.CONFLICT)
        self.assertEqual(1, conflicts)

    def test_platform_restored(self):
        """The platform is restored from a backup with an older manifest.

        It must not come into force, or callers would be sent to endpoints that
        were removed. The next release must come into force.
        """
        platform = FakePlatform(text(5))
        seen = []

        async def script(node, loop):
            await trio.sleep(2.5)
            platform.data = None
            await trio.sleep(1.0)
            platform.data = text(3)
            await trio.sleep(_readers.WATCH_S + 1)
            seen.append(node.acceptance.key.version)
            platform.data = text(6)
            await trio.sleep(1.0)
            seen.append(node.acceptance.key.version)

        self._run(platform, FakeFetcher(), script)
        self.assertEqual([5, 6], seen)

    def test_retries_to_failed_platform_are_spaced(self):
        """Retries against a platform that is down are seconds apart.

        A fleet that retried without delay would keep it down.
        """
        platform = FakePlatform(None)

        async def script(node, loop):
            await trio.sleep(100.0)

        self._run(platform, FakeFetcher(), script)
        self.assertLess(platform.calls, 40)
