"""Tests of entry._packets: datagrams that are queued in the socket."""

import socket

import anyio
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import DROPS, Counters, DropReason
from pollenmast.entry._carrier import Forwarder
from pollenmast.entry._packets import PacketLoop
from pollenmast.entry._pause import MIN_PAUSE_S, PauseDetector
from pollenmast.events import EventLog
from pollenmast.platform._packet import PlatformPackets
from standins import segments
from tests import steering_group as group


class BacklogTest(TestCase):
    """A SYN that was queued in the socket while the VM was suspended."""

    def _dropped(self, gap_s: float) -> int:
        """Forwards one SYN after a gap; returns the number of backlog drops."""
        times = iter([0.0, *[gap_s] * 1000])
        counters = Counters()

        async def main() -> None:
            endpoint = segments.bind("127.0.0.1", 0)
            sock = segments.bind("127.0.0.1", 0)
            host, port = endpoint.getsockname()
            now = anyio.current_time()
            core = group.steering(
                group.endpoint(1, host=host, port=port), now=now
            )
            pauses = PauseDetector(lambda: next(times))
            forwarder = Forwarder(
                sock,
                PlatformPackets(9),
                core,
                counters,
                EventLog("t", "vm"),
            )
            loop = PacketLoop(forwarder, core, pauses)
            pauses.notify(lambda gap_s: forwarder.drop_queued_syns())
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
                client.sendto(
                    group.syn_datagram(group.flow()), sock.getsockname()
                )
            with anyio.move_on_after(0.2):
                await loop.run()
            forwarder.close()
            endpoint.close()

        anyio.run(main)
        return counters.value(DROPS, DropReason.BACKLOG)

    @parameterized.expand(
        [("suspended", 2 * MIN_PAUSE_S, 1), ("running", MIN_PAUSE_S / 2, 0)]
    )
    def test_first_packets(self, _, gap_s, dropped):
        """A VM drops queued SYNs when it resumes, even before its timers run.

        Packets and timers are due at the same moment. The client has given up
        the SYN long ago. Forwarded, it would occupy a slot of the endpoint for
        no client, and other clients would be refused.
        """
        self.assertEqual(dropped, self._dropped(gap_s))
