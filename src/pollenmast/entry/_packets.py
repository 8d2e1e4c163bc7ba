"""Clients' datagrams, from the event loop."""

import anyio

from pollenmast.entry._carrier import Carrier
from pollenmast.entry._pause import PauseWatch
from pollenmast.steering import Steering

HOLD_S = 0.8
"""How long packets wait for the first routes and endpoints after a start. A
client gives a SYN up after 1.4 s; the directory answers within milliseconds,
so that a longer wait means that it is away."""

HOLD_TICK_S = 0.005


class PacketLoop:
    """Has datagrams carried as they arrive."""

    def __init__(
        self, carrier: Carrier, steering: Steering, pauses: PauseWatch
    ):
        self._carrier = carrier
        self._steering = steering
        self._pauses = pauses

    async def run(self) -> None:
        """Carries datagrams until cancelled."""
        await self._hold()
        while True:
            await anyio.wait_readable(self._carrier.sock)
            self._pauses.look()
            self._carrier.carry_waiting(anyio.current_time())
            await anyio.lowlevel.checkpoint()

    async def _hold(self) -> None:
        """Leaves packets in the socket until they can be carried.

        Thrown away, each would be sent again only after 0.2 to 1.6 s.
        """
        with anyio.move_on_after(HOLD_S):
            while not self._steering.ready:
                await anyio.sleep(HOLD_TICK_S)
