"""Reports between VMs: load, dead endpoints, and what has changed.

Load pattern: each VM sees a part of the requests and its own troubles. What
another one knows already costs it a client's waiting time to find out: that
an endpoint is full, that one is dead, that the directory has moved on while
its own connection to it fell silent.

Each VM tells its own load to a reader of its zone, twice a second, and gets
the load of all in the answer. Readers of different zones tell each other
their zones' sums. So a VM's messages do not grow with the fleet; a reader's
grow with its zone. Changes travel with the reports, and at once when a reader
learns of them; what is too long for a datagram, or was lost, is asked for.

Reports are unacknowledged; what is lost comes again half a second later.
"""

import random
import socket
import zlib

import anyio
from result import Err

from pollenmast.counters import CONTROL_BYTES, ENVELOPE_FAULTS, Counters
from pollenmast.entry import _report as reports
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._pause import PauseWatch
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._ports import Address
from pollenmast.entry._report import MOST_CHANGE_BYTES, Kind, Report
from pollenmast.steering import (
    NOTHING_KNOWN,
    Failures,
    Members,
    Position,
    Presence,
    Steering,
)

EVERY_S = 0.5
"""Between two reports. Load is measured over two seconds."""

STRANGERS_EVERY = 4
"""Rounds between two questions to VMs that are not known: seeds that were
down, and VMs lost in a cut. Often enough to join within a cut's usual time."""

MOST_STRANGERS = 3
"""Of them asked at once."""

STABLE_S = 2.0
"""Without a new VM for so long a VM takes those that it knows for all. While a
fleet starts each report names some more."""

ALONE_ROUNDS = 10
"""Rounds after which a VM that has never heard from another one takes itself
for the only one."""

ANSWER_LIFE_S = 0.1
"""For how long one answer serves all who ask: a reader of 30 VMs is asked 30
times a second, and most of an answer's work is adding up the load. Each report
counts its age as so much greater, as it may be sent so much later."""

NEWS_PAUSE_S = 0.1
"""The least between two rounds of news. While a service is released, changes
come by the dozen a second, and each round costs a message a VM."""

_MOST_DATAGRAM_BYTES = 8192
_BATCH = 64


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
        link_mbps: int = 0,
        pauses: PauseWatch | None = None,
    ):
        self._pauses = pauses or PauseWatch()
        self._vm = vm
        self._zone = zone
        self._link_mbps = link_mbps
        self._host, self._port = address
        hosts = [host for host, _ in seeds]
        self._members = Members(self._host, zone, hosts, link_mbps)
        self._steering = steering
        self._peers = peers
        self._counters = counters
        self._rng = rng
        self._round = 0
        self._heard = False
        self._told = NOTHING_KNOWN
        self._answered = (float("-inf"), NOTHING_KNOWN, b"")
        self._news = anyio.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def is_reader(self) -> bool:
        """Whether this VM is one of its zone's that watch the directory."""
        return self._members.is_reader(anyio.current_time())

    def sharers(self) -> tuple[str, list[str]] | None:
        """Returns this VM and the others of its zone, None if not known yet.

        A VM that has just started, or is cut off, does not know them.
        """
        return self.sharers_at(anyio.current_time())

    def sharers_at(self, now: float) -> tuple[str, list[str]] | None:
        """Returns the same at a moment of the runtime's clock, in seconds."""
        load = self._steering.load
        if load.is_settled(now):
            mates = self._members.mates
            # A reader hears from all VMs of the zone; the others know those
            # that reports have named.
            complete = len(mates) + 1 >= load.told_vms(now)
            stable = now - self._members.joined_at >= STABLE_S
            return (self._host, mates) if complete and stable else None
        alone = not self._heard and self._round >= ALONE_ROUNDS
        return (self._host, []) if alone else None

    def push(self) -> None:
        """Something has changed: the others are told soon."""
        self._news.set()

    async def send(self) -> None:
        """Sends reports until cancelled."""
        while True:
            self.tell(anyio.current_time())
            await anyio.sleep(EVERY_S * self._rng.uniform(0.9, 1.1))

    async def send_news(self) -> None:
        """Tells what has changed until cancelled."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            self.tell_news(anyio.current_time())
            await anyio.sleep(NEWS_PAUSE_S)

    def discard_waiting(self) -> None:
        """The VM stood still: what waits was sent before or meanwhile.

        A report tells how old its sender's view was when it was sent. Taken
        in seconds later it would make this VM's old view look young: clients
        of a route added meanwhile would be told that there is none.
        """
        while True:
            try:
                self._sock.recvfrom(_MOST_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue

    async def receive(self) -> None:
        """Takes in reports until cancelled."""
        while True:
            await anyio.wait_readable(self._sock)
            # A pause that has just ended discards what waits here.
            self._pauses.look()
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

    def tell(self, now: float) -> None:
        """Sends this VM's reports of one round."""
        self._members.expire(now)
        self._round += 1
        readers = self._members.readers(now)
        load = self._steering.load
        asked = [host for host in readers if host != self._host]
        if asked:
            asked = [asked[self._round % len(asked)]]
        if self._host in readers:
            asked += self._some(self._members.unheard(now), MOST_STRANGERS)
        if not self._members.hosts or self._round % STRANGERS_EVERY == 0:
            asked += self._some(self._members.strangers(), MOST_STRANGERS)
        failures = self._steering.outliers.own(now)
        ask = self._report(
            Kind.ASK, now, 1, load.report(now), failures=failures
        )
        for host in asked:
            self._send(ask, host)
            self._members.on_asked(host, now)
        if self._host in readers:
            self._steering.outliers.eject(now)
            self._tell_zones(now)

    def tell_news(self, now: float) -> None:
        """Tells the VMs of the zone what this one has learned since.

        Readers share them out, as each of them learns of a change itself.
        """
        after, self._told = self._told, self._position
        changes = self._changes(after)
        readers = self._members.readers(now)
        if self._host not in readers or not changes:
            return
        own = readers.index(self._host)
        news = self._report(
            Kind.NEWS, now, after=after.revision, changes=changes
        )
        for host in set(self._members.mates) - set(readers):
            if zlib.crc32(host.encode()) % len(readers) == own:
                self._send(news, host)

    def take(self, datagram: bytes, host: str, now: float) -> None:
        """Takes in one report."""
        decoded = reports.decode(datagram)
        if isinstance(decoded, Err):
            self._counters.add(ENVELOPE_FAULTS, "malformed")
            return
        report = decoded.ok_value
        if report.vm == self._vm:
            return
        self._heard = True
        self._members.on_heard(host, report.zone, now, report.link_mbps)
        for named, link_mbps in report.members.items():
            self._members.on_named(named, report.members_zone, now, link_mbps)
        self._learn_load(report, now)
        self._learn_down(report, now)
        self._learn_changes(report, host, now)
        if report.kind is Kind.ASK:
            self._answer(report, host, now)
        elif report.kind is Kind.ZONE and not self._members.is_reader(now):
            # Its sender does not know this zone's readers.
            self._send(self._report(Kind.ANSWER, now), host)

    @property
    def _position(self) -> Position:
        return self._steering.position

    def _learn_down(self, report: Report, now: float) -> None:
        if not report.down:
            return
        # Readers that left the looking to each other would all stop.
        if self._members.is_reader(now):
            for number in report.down:
                self._steering.doubts.on_reported_down(number, now)
        elif report.kind is Kind.ANSWER and report.zone == self._zone:
            for number in report.down:
                self._steering.doubts.on_told_down(number, now)

    def _learn_load(self, report: Report, now: float) -> None:
        load = self._steering.load
        if report.kind is Kind.ANSWER and report.zone == self._zone:
            load.on_total(report.rates, report.vms, now, report.floor)
            self._steering.outliers.on_told(report.ejected, now)
        elif report.kind is Kind.ZONE:
            load.on_zone(report.zone, report.rates, report.vms, now)
        elif report.kind is Kind.ASK and report.zone == self._zone:
            load.on_mate(report.vm, report.rates, now)
            self._steering.outliers.on_mate(report.vm, report.failures, now)

    def _learn_changes(self, report: Report, host: str, now: float) -> None:
        """Learns from a peer that knows more, or that it knows no more."""
        follows = Position(report.position.epoch, report.after)
        if report.changes and self._is_reached(follows):
            self._peers.told(report.changes, host)
        if report.position > self._position:
            self._peers.behind(host, report.position)
        elif report.position == self._position:
            self._steering.on_confirmed(now - report.age_s)

    def _is_reached(self, position: Position) -> bool:
        """Whether what follows a position continues what is known."""
        same_epoch = position.epoch == self._position.epoch
        return same_epoch and position <= self._position

    def _answer(self, report: Report, host: str, now: float) -> None:
        if NOTHING_KNOWN < report.position < self._position:
            after = report.position
            changes = self._changes(after)
            answer = self._total(now, report.zone, after.revision, changes)
        elif report.zone != self._zone:
            answer = self._total(now, report.zone)
        else:
            answer = self._same_answer(now)
        self._send(answer, host)

    def _same_answer(self, now: float) -> bytes:
        at, position, answer = self._answered
        if now - at >= ANSWER_LIFE_S or position != self._position:
            answer = self._total(now, self._zone)
            self._answered = (now, self._position, answer)
        return answer

    def _total(
        self, now: float, zone: str, after: int = 0, changes: bytes = b""
    ) -> bytes:
        """Returns an answer that names the VMs of the asker's zone."""
        load = self._steering.load
        vms, rates = load.vms(now), load.gathered(now)
        ejected = ()
        if zone == self._zone and self._members.is_reader(now):
            ejected = tuple(self._steering.outliers.eject(now))
        return self._report(
            Kind.ANSWER, now, vms, rates, after, changes, zone, ejected=ejected
        )

    def _tell_zones(self, now: float) -> None:
        """Tells a reader of each other zone this zone's load."""
        load = self._steering.load
        zones = self._members.other_zones
        if not zones:
            return
        # Zones that only a third one knows meet by being named.
        named = self._rng.choice([self._zone, *zones])
        vms, rates = load.vms(now), load.zone(now)
        told = self._report(Kind.ZONE, now, vms, rates, zone=named)
        for zone in zones:
            readers = self._members.readers(now, zone)
            if readers:
                self._send(told, readers[self._round % len(readers)])

    def _some(self, hosts: list[str], most: int) -> list[str]:
        return hosts if len(hosts) <= most else self._rng.sample(hosts, most)

    def _changes(self, after: Position) -> bytes:
        """Returns the changes after a position, empty if they are too long."""
        if snapshot.changes_since(self._steering, after) is None:
            return b""
        changes = snapshot.encode(self._steering, after)
        return changes if len(changes) <= MOST_CHANGE_BYTES else b""

    def _report(
        self,
        kind: Kind,
        now: float,
        vms: int = 0,
        rates: dict[int, float] | None = None,
        after: int = 0,
        changes: bytes = b"",
        zone: str = "",
        failures: Failures | None = None,
        ejected: tuple[int, ...] = (),
    ) -> bytes:
        zone = zone or self._zone
        down = [
            record.endpoint.number
            for record in self._steering.catalog.records
            if record.health.down and record.presence is not Presence.GONE
        ]
        named = self._some(self._members.heard(zone, now), reports.MOST_MEMBERS)
        report = Report(
            kind,
            self._vm,
            self._zone,
            self._position,
            self._steering.age_s(now) + ANSWER_LIFE_S,
            vms,
            rates or {},
            # Where a report cannot name them all, each gets its turn.
            tuple(self._some(down, reports.MOST_ENDPOINTS)),
            {host: self._members.link_mbps(host) for host in named},
            zone,
            after,
            changes,
            self._link_mbps,
            failures or {},
            ejected,
        )
        return reports.encode(report)

    def _send(self, datagram: bytes, host: str) -> None:
        try:
            self._sock.sendto(datagram, (host, self._port))
        except (OSError, ValueError):
            # Full, out of reach, or no address: the next report is due soon.
            return
        self._counters.add(CONTROL_BYTES, "gossip", len(datagram))
