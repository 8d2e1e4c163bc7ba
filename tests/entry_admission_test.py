"""Tests of entry._packets and entry._carrier: SYNs that are held."""

import socket

import anyio
import attrs
import trio
import trio.testing
from testtools import TestCase

from pollenmast.counters import Counters
from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._packets import PacketLoop
from pollenmast.entry._pause import PauseDetector
from pollenmast.events import EventLog
from pollenmast.platform._packet import PlatformPackets
from pollenmast.steering import FlowKey
from standins import segments
from tests import steering_group as group

TARGET_S = 1.0
HOLD_S = TARGET_S / 4


def _routes():
    table = group.table()
    (route,) = table.routes.values()
    route = attrs.evolve(route, priority=0, target_latency_s=TARGET_S)
    return attrs.evolve(table, routes={(route.host, route.port): route})


def _run(after_s: float, stopped: bool = False) -> tuple[int, int]:
    """Runs a VM with one held SYN and without any further packet.

    Returns:
        The number of held SYNs and of packets that the client got after
        `after_s` seconds.
    """

    async def main() -> tuple[int, int]:
        endpoint, vm, client = (segments.bind("127.0.0.1", 0) for _ in range(3))
        host, port = endpoint.getsockname()
        one = group.endpoint(1, host=host, port=port, slots=1)
        core = group.steering(one, now=trio.current_time(), routes=_routes())
        core.admission_control.set_sharers(lambda now: ("vm", []))
        forwarder = Forwarder(
            vm,
            PlatformPackets(client.getsockname()[1]),
            core,
            Counters(),
            EventLog("t", "vm"),
        )
        loop = PacketLoop(forwarder, core, PauseDetector(lambda: 0.0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in (1, 2, 3):  # The third finds both credits in use.
                key = FlowKey("127.0.0.1", number, group.VIP, group.PORT)
                sender.sendto(group.syn_datagram(key), vm.getsockname())
        with anyio.move_on_after(after_s):
            await loop.run()
        if stopped:
            forwarder.refuse_held(trio.current_time())
        received = 0
        while True:
            try:
                client.recv(100)
            except BlockingIOError:
                break
            received += 1
        for each in (endpoint, vm, client):
            each.close()
        return core.admission.held, received

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


class HeldTest(TestCase):
    """A SYN that is held while no further packet arrives."""

    def test_expiry(self):
        """The packet loop wakes when a hold expires and resets the client.

        A loop that wakes only for packets would leave the client without an
        answer until its timeout, and its retry without time.
        """
        self.assertEqual((1, 0), _run(HOLD_S - 0.01))
        self.assertEqual((0, 1), _run(HOLD_S + 0.01))

    def test_stop(self):
        """A VM that stops resets what it still holds."""
        self.assertEqual((0, 1), _run(HOLD_S - 0.01, stopped=True))
