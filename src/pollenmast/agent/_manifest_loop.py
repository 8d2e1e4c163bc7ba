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

ROLE_CHECK_INTERVAL_S = 1.0
"""Interval between checks whether this VM is a watcher, in seconds."""

BACKOFF_RANGE_S = (0.5, 5.0)
"""Shortest and longest wait after a failed read, in seconds.

Two watchers per zone that retry every five seconds are no load for a platform
that is restarting.
"""

MAX_SOURCES = 4
"""Maximum number of peers remembered as sources of the wanted manifest."""

FETCH_RETRY_DELAY_S = 0.2
"""Delay after a failed fetch, in seconds."""

_MAX_LOGGED_FAULTS = 5


class ManifestLoop:
    """Watches the platform, fetches from peers and accepts manifests."""

    def __init__(
        self, node: Node, platform: Platform, fetcher: Fetcher, on_accepted
    ):
        """Initializes the loop.

        Args:
            node: State of this VM's agent.
            platform: Client of the platform, which publishes manifests.
            fetcher: Fetches manifests from peers.
            on_accepted: Called after a manifest has come into force.
        """
        self._node = node
        self._platform = platform
        self._fetcher = fetcher
        self._on_accepted = on_accepted
        self._wanted = ManifestKey()
        self._sources: dict[str, Vm] = {}
        self._wake = anyio.Event()
        self._backoff_s = 0.0

    def note_available(self, key: ManifestKey, vm: Vm) -> None:
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
        if len(self._sources) < MAX_SOURCES:
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
            await anyio.sleep(FETCH_RETRY_DELAY_S)
            return
        if not self._offer(text, vm.name):
            self._node.acceptance.refuse(key)

    # The platform.

    async def _follow_platform(self) -> None:
        # Refresh from the peers first. A platform that is stale would
        # otherwise put an old manifest in force on a restarted VM.
        while not self._node.membership.fresh:
            await anyio.sleep(0.02)
        await self._read_current()
        while True:
            if self._is_watcher():
                await self._watch()
            else:
                await self._fallback_read()

    def _is_watcher(self) -> bool:
        vms = self._node.membership.vms()
        zone = self._node.settings.vm.zone
        return self._node.name in _readers.watchers(zone, vms)

    async def _watch(self) -> None:
        version = self._node.acceptance.key.version
        found = await self._read_platform(version, _readers.WATCH_S)
        if found:
            # A watch only returns newer versions. This read detects that the
            # known version was published again with different content.
            version = self._node.acceptance.key.version
            await self._read_platform(max(0, version - 1), 0.0)

    async def _fallback_read(self) -> None:
        """Makes the next fallback read when it is due.

        Returns early, without a read, if this VM becomes a watcher.
        """
        fleet = len(self._node.membership.vms())
        interval = _readers.fallback_interval(fleet, self._node.rng)
        until = anyio.current_time() + interval
        while anyio.current_time() < until:
            await anyio.sleep(ROLE_CHECK_INTERVAL_S)
            if self._is_watcher():
                return
        await self._read_current()

    async def _read_current(self) -> None:
        await self._read_platform(0, 0.0)

    async def _read_platform(self, after: int, wait_s: float) -> bool:
        """Reads the platform's manifest and offers it.

        Args:
            after: Ask only for versions greater than this.
            wait_s: How long the platform may wait for such a version, in
                seconds.

        Returns:
            Whether the platform answered.
        """
        answer = await self._platform.manifest(after, wait_s)
        self._set_platform_up(not isinstance(answer, Err))
        if isinstance(answer, Err):
            await self._back_off()
            return False
        self._backoff_s = 0.0
        if answer.ok_value is not None:
            self._offer(answer.ok_value, "platform")
        return True

    async def _back_off(self) -> None:
        shortest, longest = BACKOFF_RANGE_S
        self._backoff_s = min(longest, max(shortest, self._backoff_s * 2))
        await anyio.sleep(self._backoff_s * self._node.rng.uniform(0.7, 1.3))

    def _set_platform_up(self, up: bool) -> None:
        node = self._node
        if up:
            node.platform_answered_s = anyio.current_time()
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
            faults = parsed.err_value[:_MAX_LOGGED_FAULTS]
            node.log.write(
                events.MANIFEST_INVALID,
                source=source,
                faults=[str(fault) for fault in faults],
            )
            return False
        self._offer_parsed(parsed.ok_value, text, source)
        return True

    def _offer_parsed(
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
            self._on_accepted()
