"""Forwards clients' datagrams from the event loop."""

import math

import anyio

from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._pause import PauseDetector
from pollenmast.steering import Steering

MAX_HOLD_S = 0.8
"""Maximum time in seconds that packets are held after a start until the first
routes and endpoints are known. A client gives up a SYN after 1.4 s; the
directory answers within milliseconds, so a longer wait means that it is
unavailable."""

HOLD_POLL_S = 0.005
"""Seconds between two checks whether routes and endpoints are known."""


class PacketLoop:
    """Forwards datagrams as they arrive."""

    def __init__(
        self, forwarder: Forwarder, steering: Steering, pauses: PauseDetector
    ):
        self._forwarder = forwarder
        self._steering = steering
        self._pauses = pauses

    async def run(self) -> None:
        """Forwards datagrams until cancelled."""
        await self._wait_until_ready()
        while True:
            await self._wait()
            self._pauses.check()
            self._forwarder.forward_queued(anyio.current_time())
            await anyio.lowlevel.checkpoint()

    async def _wait(self) -> None:
        """Waits for datagrams, or until a held SYN has to be decided."""
        sock = self._forwarder.sock
        now = anyio.current_time()
        release_at = self._forwarder.next_release_at(now)
        if math.isinf(release_at):
            await anyio.wait_readable(sock)
            return
        with anyio.move_on_after(max(0.0, release_at - now)):
            await anyio.wait_readable(sock)

    async def _wait_until_ready(self) -> None:
        """Leaves packets queued in the socket until they can be forwarded.

        If they were dropped, clients would retransmit them only after 0.2 to
        1.6 s.
        """
        with anyio.move_on_after(MAX_HOLD_S):
            while not self._steering.ready:
                await anyio.sleep(HOLD_POLL_S)
