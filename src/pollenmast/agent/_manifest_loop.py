"""Puts the manifest with the greatest key in force.

Manifests come from the platform and from peers.
"""

import anyio
from result import Err

from pollenmast import events, manifest
from pollenmast.agent._node import Node
from pollenmast.configuration import Platform
from pollenmast.counters import MANIFESTS, ManifestOutcome
from pollenmast.decisions import _readers
from pollenmast.fleet import Vm
from pollenmast.manifest import ManifestKey
from pollenmast.peers._fetch import Fetcher

ROLE_CHECK_S = 1.0
"""Interval between checks whether this VM is a watcher, in seconds."""

BACKOFF_S = (0.5, 5.0)
"""Shortest and longest wait after a failed read, in seconds.

Two watchers per zone that retry every five seconds are no load for a platform
that is restarting.
"""

MOST_SOURCES = 4
"""Maximum number of peers remembered as sources of the wanted manifest."""

FETCH_RETRY_S = 0.2
"""Delay after a failed fetch, in seconds."""

_MOST_LOGGED_FAULTS = 5


class ManifestLoop:
    """Watches the platform, fetches from peers and accepts manifests."""

    def __init__(
        self, node: Node, platform: Platform, fetcher: Fetcher, accepted
    ):
        """Initializes the loop.

        Args:
            node: State of this VM's agent.
            platform: Client of the platform, which publishes manifests.
            fetcher: Fetches manifests from peers.
            accepted: Called after a manifest has come into force.
        """
        self._node = node
        self._platform = platform
        self._fetcher = fetcher
        self._accepted = accepted
        self._wanted = ManifestKey()
        self._sources: dict[str, Vm] = {}
        self._wake = anyio.Event()
        self._backoff = 0.0

    def wanted(self, key: ManifestKey, vm: Vm) -> None:
        """Records that a peer has a manifest with a greater key.

        Args:
            key: The manifest's key.
            vm: The peer.
        """
        if key < self._wanted:
            return
        if key > self._wanted:
            self._sources.clear()
        self._wanted = key
        if len(self._sources) < MOST_SOURCES:
            self._sources[vm.name] = vm
        self._wake.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fetch)
            tasks.start_soon(self._follow_platform)

    # Peers.

    async def _fetch(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._sources and self._wanted > self._node.acceptance.key:
                _, vm = self._sources.popitem()
                await self._fetch_from(vm, self._wanted)
            self._sources.clear()

    async def _fetch_from(self, vm: Vm, key: ManifestKey) -> None:
        text = await self._fetcher.fetch(vm.address, vm.fetch_port, key)
        if text is None:
            await anyio.sleep(FETCH_RETRY_S)
            return
        if not self._offer(text, vm.name):
            self._node.acceptance.refuse(key)

    # The platform.

    async def _follow_platform(self) -> None:
        # Refresh from the peers first. A platform that is stale would
        # otherwise put an old manifest in force on a restarted VM.
        while not self._node.membership.fresh:
            await anyio.sleep(0.02)
        await self._read()
        while True:
            if self._watches():
                await self._watch()
            else:
                await self._pause()

    def _watches(self) -> bool:
        vms = self._node.membership.vms()
        zone = self._node.settings.vm.zone
        return self._node.name in _readers.watchers(zone, vms)

    async def _watch(self) -> None:
        version = self._node.acceptance.key.version
        found = await self._take(version, _readers.WATCH_S)
        if found:
            # A watch only returns newer versions. This read detects that the
            # known version was published again with different content.
            version = self._node.acceptance.key.version
            await self._take(max(0, version - 1), 0.0)

    async def _pause(self) -> None:
        """Makes the next fallback read when it is due.

        Returns early, without a read, if this VM becomes a watcher.
        """
        fleet = len(self._node.membership.vms())
        interval = _readers.fallback_interval(fleet, self._node.rng)
        until = anyio.current_time() + interval
        while anyio.current_time() < until:
            await anyio.sleep(ROLE_CHECK_S)
            if self._watches():
                return
        await self._read()

    async def _read(self) -> None:
        await self._take(0, 0.0)

    async def _take(self, after: int, wait_s: float) -> bool:
        """Reads the platform's manifest and offers it.

        Args:
            after: Ask only for versions greater than this.
            wait_s: How long the platform may wait for such a version, in
                seconds.

        Returns:
            Whether the platform answered.
        """
        answer = await self._platform.manifest(after, wait_s)
        self._note_platform(not isinstance(answer, Err))
        if isinstance(answer, Err):
            await self._back_off()
            return False
        self._backoff = 0.0
        if answer.ok_value is not None:
            self._offer(answer.ok_value, "platform")
        return True

    async def _back_off(self) -> None:
        least, most = BACKOFF_S
        self._backoff = min(most, max(least, self._backoff * 2))
        await anyio.sleep(self._backoff * self._node.rng.uniform(0.7, 1.3))

    def _note_platform(self, up: bool) -> None:
        node = self._node
        if up:
            node.platform_heard_s = anyio.current_time()
        if up != node.platform_up:
            node.platform_up = up
            node.log.write(events.PLATFORM_BACK if up else events.PLATFORM_LOST)

    # Accepting manifests.

    def _offer(self, text: bytes, source: str) -> bool:
        """Puts a manifest in force if it is valid and has a greater key.

        Args:
            text: The manifest's text.
            source: Where it came from, for the log: `platform` or a VM's name.

        Returns:
            Whether the text is valid.
        """
        node = self._node
        in_force = node.acceptance.in_force
        if in_force is not None and text == in_force.text:
            node.counters.add(MANIFESTS, ManifestOutcome.KNOWN)
            return True
        parsed = manifest.parse(text)
        if isinstance(parsed, Err):
            node.counters.add(MANIFESTS, ManifestOutcome.INVALID)
            faults = parsed.err_value[:_MOST_LOGGED_FAULTS]
            node.log.write(
                events.MANIFEST_INVALID,
                source=source,
                faults=[str(fault) for fault in faults],
            )
            return False
        self._decide(parsed.ok_value, text, source)
        return True

    def _decide(
        self, offered: manifest.Manifest, text: bytes, source: str
    ) -> None:
        node = self._node
        before = node.acceptance.key
        offer = node.acceptance.offer(offered, text, anyio.current_time())
        node.counters.add(MANIFESTS, offer.outcome)
        fields = {
            "source": source,
            "version": offered.version,
            "digest": offered.digest,
            "before": before.version,
        }
        if offer.conflict:
            node.counters.add(MANIFESTS, ManifestOutcome.CONFLICT)
            node.log.write(
                events.MANIFEST_CONFLICT, other=before.digest, **fields
            )
        if offer.outcome is ManifestOutcome.OLDER:
            node.log.write(events.MANIFEST_OLDER, **fields)
        if offer.outcome is ManifestOutcome.ACCEPTED:
            node.log.write(events.MANIFEST_IN_FORCE, **fields)
            self._accepted()
