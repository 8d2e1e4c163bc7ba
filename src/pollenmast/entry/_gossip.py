"""Reports between VMs: load, dead endpoints, and how far each one knows.

Load pattern: each VM sees a part of the requests and its own troubles. What
another one knows already costs it a client's waiting time to find out: that
an endpoint is full, that one is dead, that the directory has moved on while
its own connection to it fell silent.

Reports are small, unacknowledged and sent at a constant rate; what is lost
comes again half a second later. A VM finds the others by the seeds of its
settings and by the members that reports name.
"""

import random
import socket

import anyio
import attrs
from result import Err

from pollenmast.counters import CONTROL_BYTES, ENVELOPE_FAULTS, Counters
from pollenmast.entry import _report as reports
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._ports import Address
from pollenmast.entry._report import Report
from pollenmast.steering import Steering, readers

EVERY_S = 0.5
"""Between two reports. Load is measured over two seconds."""

MOST_MATES = 8
"""VMs of the own zone told at once, drawn anew each time: a report counts for
four seconds, in which each of 25 VMs is reached but one time in thirty."""

MOST_OTHERS = 3
"""VMs of other zones told at once; any VM of a zone can tell its sum."""

MEMBER_LIFE_S = 4.0
"""A VM silent for so long is forgotten."""

_MOST_DATAGRAM_BYTES = 4096
_BATCH = 64


@attrs.define
class _Member:
    zone: str
    heard_at: float


class Gossip:
    """Sends and takes in reports."""

    def __init__(
        self,
        vm: str,
        zone: str,
        address: Address,
        seeds: tuple[Address, ...],
        steering: Steering,
        peers: PeerReader,
        counters: Counters,
        rng: random.Random,
    ):
        self._vm = vm
        self._zone = zone
        self._host, self._port = address
        self._seeds = [host for host, _ in seeds if host != self._host]
        self._steering = steering
        self._peers = peers
        self._counters = counters
        self._rng = rng
        self._members: dict[str, _Member] = {}
        self._told: set[str] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    async def send(self) -> None:
        """Sends reports until cancelled."""
        while True:
            await anyio.sleep(EVERY_S * self._rng.uniform(0.9, 1.1))
            self._send_all(anyio.current_time())

    async def receive(self) -> None:
        """Takes in reports until cancelled."""
        while True:
            await anyio.wait_readable(self._sock)
            now = anyio.current_time()
            for _ in range(_BATCH):
                try:
                    datagram, sender = self._sock.recvfrom(_MOST_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    # A peer has no listener any more; the error belongs to
                    # a datagram sent before.
                    continue
                self.take(datagram, sender[0], now)
            await anyio.lowlevel.checkpoint()

    def take(self, datagram: bytes, host: str, now: float) -> None:
        """Takes in one report."""
        decoded = reports.decode(datagram)
        if isinstance(decoded, Err):
            self._counters.add(ENVELOPE_FAULTS, "malformed")
            return
        report = decoded.ok_value
        if report.vm == self._vm:
            return
        self._members[host] = _Member(report.zone, now)
        self._told.update(report.members)
        if report.zone != self._zone and report.summed:
            self._steering.load.on_zone(report.zone, report.rates, now)
        elif report.zone == self._zone and not report.summed:
            self._steering.load.on_mate(report.vm, report.rates, now)
        for number in report.down:
            self._steering.on_reported_down(number, now)
        self._compare(report, host, now)

    def _compare(self, report: Report, host: str, now: float) -> None:
        """Learns from a peer that knows more, or that it knows no more."""
        revision = self._steering.revision
        if report.revision > revision:
            self._peers.behind(host, report.revision)
        elif report.revision == revision:
            self._steering.on_confirmed(now - report.age_s)

    def is_reader(self) -> bool:
        """Whether this VM is one of its zone's that watch the directory."""
        mates = [h for h, m in self._members.items() if m.zone == self._zone]
        return self._host in readers(self._zone, [self._host, *mates])

    def push(self) -> None:
        """Tells at once: something has changed."""
        self._send_all(anyio.current_time())

    def _send_all(self, now: float) -> None:
        old = now - MEMBER_LIFE_S
        self._members = {
            host: member
            for host, member in self._members.items()
            if member.heard_at >= old
        }
        mates = [h for h, m in self._members.items() if m.zone == self._zone]
        others = [h for h, m in self._members.items() if m.zone != self._zone]
        unknown = {*self._seeds, *self._told} - {*self._members, self._host}
        self._told.clear()
        load = self._steering.load
        own = reports.encode(self._report(load.own(now), False, now))
        summed = reports.encode(self._report(load.zone(now), True, now))
        for host in self._some(mates, MOST_MATES):
            self._send(own, host)
        for host in self._some(others, MOST_OTHERS):
            self._send(summed, host)
        for host in self._some(sorted(unknown), MOST_OTHERS):
            self._send(own, host)
            self._send(summed, host)

    def _some(self, hosts: list[str], most: int) -> list[str]:
        return hosts if len(hosts) <= most else self._rng.sample(hosts, most)

    def _report(
        self, rates: dict[int, float], summed: bool, now: float
    ) -> Report:
        down = tuple(
            record.endpoint.number
            for record in self._steering.catalog.records
            if record.health.down
        )
        members = self._some(list(self._members), reports.MOST_MEMBERS)
        return Report(
            self._vm,
            self._zone,
            self._steering.revision,
            self._steering.age_s(now),
            summed,
            rates,
            down,
            tuple(members),
        )

    def _send(self, datagram: bytes, host: str) -> None:
        try:
            self._sock.sendto(datagram, (host, self._port))
        except (OSError, ValueError):
            # Full, out of reach, or no address: the next report is due soon.
            return
        self._counters.add(CONTROL_BYTES, "gossip", len(datagram))
