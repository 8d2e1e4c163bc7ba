"""Tests of entry._packets and entry._carrier: SYNs that are held."""

import socket

import anyio
import attrs
import trio
import trio.testing
from testtools import TestCase

from pollenmast.admission._in_progress import OPENING_TIMEOUT_S
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


def _run(
    after_s: float, stopped: bool = False, opened: bool = True
) -> tuple[int, int, int]:
    """Runs a VM with one held SYN and without any further packet.

    Args:
        after_s: How long it runs, in seconds.
        stopped: Whether it is stopped then.
        opened: Whether the clients of the flows in progress are real.

    Returns:
        The number of held SYNs, of packets that the client got and of those
        that the endpoint got.
    """

    async def main() -> tuple[int, int, int]:
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
        one_key, other_key, held_key = (
            FlowKey("127.0.0.1", number, group.VIP, group.PORT)
            for number in (1, 2, 3)
        )
        for key in (one_key, other_key):  # These use both credits.
            core.on_segment(group.syn(key), trio.current_time())
            if opened:
                ack = group.segment(key, one.token)
                core.on_segment(ack, trio.current_time())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(group.syn_datagram(held_key), vm.getsockname())
        with anyio.move_on_after(after_s):
            await loop.run()
        if stopped:
            forwarder.refuse_held(trio.current_time())
        received = _count_queued(client), _count_queued(endpoint)
        for each in (endpoint, vm, client):
            each.close()
        return core.admission.held, *received

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _count_queued(sock: socket.socket) -> int:
    count = 0
    while True:
        try:
            sock.recv(100)
        except BlockingIOError:
            return count
        count += 1


class HeldTest(TestCase):
    """A SYN that is held while no further packet arrives."""

    def test_expiry(self):
        """The packet loop wakes when a hold expires and resets the client.

        A loop that wakes only for packets would leave the client without an
        answer until its timeout, and its retry without time.
        """
        self.assertEqual((1, 0, 0), _run(HOLD_S - 0.01))
        self.assertEqual((0, 1, 0), _run(HOLD_S + 0.01))

    def test_request_timeout(self):
        """The packet loop wakes when a request in progress times out.

        A loop that wakes only at the end of the hold would refuse a flow for
        which there has been room for a while.
        """
        after_s = OPENING_TIMEOUT_S + 0.02
        self.assertEqual((0, 0, 1), _run(after_s, opened=False))

    def test_stop(self):
        """A VM that stops resets what it still holds."""
        self.assertEqual((0, 1, 0), _run(HOLD_S - 0.01, stopped=True))
