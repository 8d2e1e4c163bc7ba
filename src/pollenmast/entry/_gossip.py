"""Gossip between VMs: load, dead endpoints, and configuration changes.

Each VM sees only a part of the requests and only its own failures. To find out
by itself what another VM already knows costs it a client's waiting time: that
an endpoint is full, that one is dead, or that the directory has newer data
while this VM's own connection to it has gone silent. VMs therefore tell each
other what they know.

Twice a second, each VM reports its own load to one of the readers of its
zone, the VMs that watch the directory, and receives the total load in the
answer. Readers of different zones exchange the sums of their zones. So the
number of messages of a VM does not grow with the fleet; that of a reader grows
with its zone. Changes are attached to the reports, and are also sent at once
when a reader learns of them. Changes that are too long for a datagram, or that
were lost, are requested over HTTP.

Reports are not acknowledged; the content of a lost report is sent again half a
second later.
"""

import random
import socket
import zlib

import anyio
from result import Err

from pollenmast.counters import (
    CONTROL_BYTES,
    ENVELOPE_FAULTS,
    Counters,
    FaultPlace,
)
from pollenmast.entry import _report as reports
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._pause import PauseDetector
from pollenmast.entry._peers import PeerReader
from pollenmast.entry._ports import Address
from pollenmast.entry._report import MAX_CHANGE_BYTES, Kind, Report
from pollenmast.steering import (
    START_POSITION,
    Failures,
    Members,
    Position,
    Presence,
    Steering,
)

REPORT_INTERVAL_S = 0.5
"""Seconds between two reports. Load is measured over two seconds."""

DISCOVERY_ROUNDS = 4
"""Rounds between two attempts to contact VMs that are not current members:
seeds that were down, and VMs lost in a network partition. This is often enough
to rejoin within the usual duration of a partition."""

MAX_DISCOVERY_TARGETS = 3
"""Limit on how many of these VMs are contacted in one round. A reader
also contacts up to as many VMs of its zone that it has not heard from."""

MEMBERS_STABLE_S = 2.0
"""Seconds without a new member after which a VM considers its list of members
complete. While a fleet starts, each report names some more VMs."""

MEMBERS_SETTLE_S = 1.0
"""Seconds without a new member after which the list of members is used to share
credits. While a fleet starts, a VM that knows few others would take a large
part of the credits."""

SOLE_VM_ROUNDS = 10
"""Rounds after which a VM that has never heard from another one assumes that
it is the only one."""

ANSWER_CACHE_S = 0.1
"""Seconds for which an encoded answer is reused for all VMs that ask. A reader
with 30 VMs is asked 30 times a second, and most of the work of an answer is
adding up the load. As a report may be sent this much later, its age is
increased by this much."""

MIN_CHANGES_INTERVAL_S = 0.1
"""Minimum number of seconds between two broadcasts of changes. While a service
is released, dozens of changes arrive each second, and each broadcast costs one
message per VM."""

_MAX_DATAGRAM_BYTES = 8192
_MAX_BATCH = 64


class Gossip:
    """Exchanges reports with other VMs over UDP.

    Args:
        vm: The name of this VM.
        zone: Its availability zone.
        address: Where it receives reports; all VMs use the same port.
        seeds: Addresses of some VMs, which may be down.
        steering: The routing state that reports are read from and applied to.
        peers: Applies changes, and fetches those that do not fit a report.
        counters: Counts malformed datagrams and the bytes sent.
        rng: Source of randomness for intervals and samples.
        link_mbps: Bandwidth of this VM's link in Mbit/s, 0 if unknown.
        pauses: Detects that this VM was suspended.
        faults: Contains faults in the handling of one datagram.
    """

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
        pauses: PauseDetector | None = None,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._pauses = pauses or PauseDetector()
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
        self._heard_any_peer = False
        self._broadcast_position = START_POSITION
        self._cached_answer = (float("-inf"), START_POSITION, b"")
        self._changes_pending = anyio.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def is_reader(self) -> bool:
        """Returns whether this VM watches the directory for its zone."""
        return self._members.is_reader(anyio.current_time())

    def allowance_peers(self) -> tuple[str, list[str]] | None:
        """Returns the VMs that share an endpoint's allowance during warm-up.

        Returns:
            The address of this VM and those of the others of its zone. None if
            they are not known: this VM has just started or is cut off.
        """
        return self.sharers_at(anyio.current_time())

    def sharers_at(self, now: float) -> tuple[str, list[str]] | None:
        """Returns `allowance_peers` for a given time.

        Args:
            now: Time of the event loop's clock in seconds.
        """
        load = self._steering.load
        if load.is_settled(now):
            peers = self._members.zone_peers
            # A reader hears from all VMs of the zone; other VMs know only
            # those that reports have named.
            complete = len(peers) + 1 >= load.total_vm_count(now)
            stable = now - self._members.joined_at >= MEMBERS_STABLE_S
            return (self._host, peers) if complete and stable else None
        alone = not self._heard_any_peer and self._round >= SOLE_VM_ROUNDS
        return (self._host, []) if alone else None

    def credit_peers_at(self, now: float) -> tuple[str, list[str]] | None:
        """Returns the VMs that share the credits of this zone's endpoints.

        Unlike `sharers_at` this waits only briefly until the list of members
        is stable: credits of VMs whose lists differ may add up to somewhat
        more than an endpoint's, which its queue can take.

        Args:
            now: Time of the event loop's clock in seconds.

        Returns:
            The address of this VM and those of the others of its zone; None if
            they are not known.
        """
        load, peers = self._steering.load, self._members.zone_peers
        known = max(load.total_vm_count(now), load.vms(now))
        if peers and known > 1:
            complete = len(peers) + 1 >= known
            stable = now - self._members.joined_at >= MEMBERS_SETTLE_S
            return (self._host, peers) if complete and stable else None
        alone = not self._heard_any_peer and self._round >= SOLE_VM_ROUNDS
        return (self._host, []) if alone else None

    def schedule_broadcast(self) -> None:
        """Schedules a broadcast of changes to the other VMs."""
        self._changes_pending.set()

    async def send(self) -> None:
        """Sends reports periodically until cancelled."""
        while True:
            with self._faults.guard(FaultPlace.SENDING):
                self.send_reports(anyio.current_time())
            await anyio.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    async def run_broadcasts(self) -> None:
        """Broadcasts changes when they are scheduled, until cancelled."""
        while True:
            await self._changes_pending.wait()
            self._changes_pending = anyio.Event()
            with self._faults.guard(FaultPlace.SENDING):
                self.broadcast_changes(anyio.current_time())
            await anyio.sleep(MIN_CHANGES_INTERVAL_S)

    def discard_queued(self) -> None:
        """Discards the datagrams that are queued in the socket after a pause.

        They were sent before or during the pause. A report states the age of
        its sender's data at the time of sending. Applied seconds later, it
        would make this VM's outdated data appear recent: clients of a route
        that was added meanwhile would be told that there is no such route.
        """
        while True:
            try:
                self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue

    async def receive(self) -> None:
        """Receives reports until cancelled."""
        while True:
            await anyio.wait_readable(self._sock)
            # If a pause has just ended, this discards the queued datagrams.
            self._pauses.check()
            now = anyio.current_time()
            for _ in range(_MAX_BATCH):
                try:
                    datagram, sender = self._sock.recvfrom(_MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    # The error concerns a datagram sent earlier, to a peer
                    # that no longer listens.
                    continue
                with self._faults.guard(FaultPlace.REPORT, datagram):
                    self.on_datagram(datagram, sender[0], now)
            await anyio.lowlevel.checkpoint()

    def send_reports(self, now: float) -> None:
        """Sends the reports of one round."""
        self._members.expire(now)
        self._round += 1
        readers = self._members.readers(now)
        load = self._steering.load
        targets = [host for host in readers if host != self._host]
        if targets:
            targets = [targets[self._round % len(targets)]]
        if self._host in readers:
            targets += self._sample(
                self._members.not_heard_from(now), MAX_DISCOVERY_TARGETS
            )
        if not self._members.hosts or self._round % DISCOVERY_ROUNDS == 0:
            targets += self._sample(
                self._members.contact_candidates(), MAX_DISCOVERY_TARGETS
            )
        failures = self._steering.outliers.own_failures(now)
        ask = self._report(
            Kind.ASK, now, 1, load.report(now), failures=failures
        )
        for host in targets:
            self._send(ask, host)
            self._members.on_queried(host, now)
        if self._host in readers:
            self._steering.outliers.eject(now)
            self._report_to_zones(now)

    def broadcast_changes(self, now: float) -> None:
        """Sends changes since the last call to VMs of this zone.

        Only readers send them. Each reader learns of a change by itself, so
        the VMs to be notified are divided among the readers by hash.
        """
        after, self._broadcast_position = (
            self._broadcast_position,
            self._position,
        )
        changes = self._changes(after)
        readers = self._members.readers(now)
        if self._host not in readers or not changes:
            return
        own = readers.index(self._host)
        report = self._report(
            Kind.CHANGES, now, after=after.revision, changes=changes
        )
        for host in set(self._members.zone_peers) - set(readers):
            if zlib.crc32(host.encode()) % len(readers) == own:
                self._send(report, host)

    def on_datagram(self, datagram: bytes, host: str, now: float) -> None:
        """Handles a datagram from another VM."""
        decoded = reports.decode(datagram)
        if isinstance(decoded, Err):
            self._counters.add(ENVELOPE_FAULTS, "malformed")
            return
        report = decoded.ok_value
        if report.vm == self._vm:
            return
        self._heard_any_peer = True
        self._members.on_heard(host, report.zone, now, report.link_mbps)
        for named, link_mbps in report.members.items():
            self._members.on_announced(
                named, report.members_zone, now, link_mbps
            )
        self._record_load(report, now)
        self._record_down(report, now)
        self._apply_changes(report, host, now)
        if report.kind is Kind.ASK:
            self._answer(report, host, now)
        elif report.kind is Kind.ZONE and not self._members.is_reader(now):
            # The sender does not know the readers of this zone; the answer
            # names VMs of this zone.
            self._send(self._report(Kind.ANSWER, now), host)

    @property
    def _position(self) -> Position:
        return self._steering.position

    def _record_down(self, report: Report, now: float) -> None:
        if not report.down:
            return
        # A reader always checks by itself: readers that relied on each other's
        # checks would all stop checking.
        if self._members.is_reader(now):
            for number in report.down:
                self._steering.check_policy.on_peer_reported_down(number, now)
        elif report.kind is Kind.ANSWER and report.zone == self._zone:
            for number in report.down:
                self._steering.check_policy.on_reader_reported_down(number, now)

    def _record_load(self, report: Report, now: float) -> None:
        load = self._steering.load
        if report.kind is Kind.ANSWER and report.zone == self._zone:
            load.on_total_report(
                report.rates, report.vms, now, report.unlisted_rate_bound
            )
            self._steering.outliers.on_ejections_reported(report.ejected, now)
        elif report.kind is Kind.ZONE:
            load.on_zone_report(report.zone, report.rates, report.vms, now)
        elif report.kind is Kind.ASK and report.zone == self._zone:
            load.on_peer_report(report.vm, report.rates, now)
            self._steering.outliers.on_peer_report(
                report.vm, report.failures, now
            )

    def _apply_changes(self, report: Report, host: str, now: float) -> None:
        """Applies a report's changes and compares the peer's position."""
        follows = Position(report.position.epoch, report.after)
        if report.changes and self._has_reached(follows):
            self._peers.on_update(report.changes, host)
        if report.position > self._position:
            self._peers.on_peer_ahead(host, report.position)
        elif report.position == self._position:
            self._steering.on_confirmed(now - report.age_s)

    def _has_reached(self, position: Position) -> bool:
        """Returns whether changes after a position can be applied here."""
        same_epoch = position.epoch == self._position.epoch
        return same_epoch and position <= self._position

    def _answer(self, report: Report, host: str, now: float) -> None:
        if START_POSITION < report.position < self._position:
            after = report.position
            changes = self._changes(after)
            answer = self._total_report(
                now, report.zone, after.revision, changes
            )
        elif report.zone != self._zone:
            answer = self._total_report(now, report.zone)
        else:
            answer = self._shared_answer(now)
        self._send(answer, host)

    def _shared_answer(self, now: float) -> bytes:
        at, position, answer = self._cached_answer
        if now - at >= ANSWER_CACHE_S or position != self._position:
            ages = snapshot.encode_ages(self._steering)
            answer = self._total_report(
                now, self._zone, self._position.revision, ages
            )
            self._cached_answer = (now, self._position, answer)
        return answer

    def _total_report(
        self, now: float, zone: str, after: int = 0, changes: bytes = b""
    ) -> bytes:
        """Returns an answer with the total load.

        Args:
            now: Time of the event loop's clock in seconds.
            zone: The zone whose VMs are named, which is that of the asker.
            after: The revision that the changes follow.
            changes: Encoded changes, empty if none.
        """
        load = self._steering.load
        vms, rates = load.vms(now), load.sum_of_reports(now)
        ejected = ()
        if zone == self._zone and self._members.is_reader(now):
            ejected = tuple(self._steering.outliers.eject(now))
        return self._report(
            Kind.ANSWER, now, vms, rates, after, changes, zone, ejected=ejected
        )

    def _report_to_zones(self, now: float) -> None:
        """Reports the load of this zone to a reader of each other zone."""
        load = self._steering.load
        zones = self._members.other_zones
        if not zones:
            return
        # Two zones that know only a third one learn of each other from the
        # VMs that it names.
        named = self._rng.choice([self._zone, *zones])
        vms, rates = load.vms(now), load.zone(now)
        report = self._report(Kind.ZONE, now, vms, rates, zone=named)
        for zone in zones:
            readers = self._members.readers(now, zone)
            if readers:
                self._send(report, readers[self._round % len(readers)])

    def _sample(self, hosts: list[str], most: int) -> list[str]:
        return hosts if len(hosts) <= most else self._rng.sample(hosts, most)

    def _changes(self, after: Position) -> bytes:
        """Returns the encoded changes after a position.

        Returns:
            The changes; empty if they are not kept any more or are too long for
            a report.
        """
        if snapshot.changes_since(self._steering, after) is None:
            return b""
        changes = snapshot.encode(self._steering, after)
        return changes if len(changes) <= MAX_CHANGE_BYTES else b""

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
        named = self._sample(
            self._members.heard_from(zone, now), reports.MAX_MEMBERS
        )
        report = Report(
            kind,
            self._vm,
            self._zone,
            self._position,
            self._steering.age_s(now) + ANSWER_CACHE_S,
            vms,
            rates or {},
            # If they do not all fit, a random sample is sent, so that each is
            # included in some report.
            tuple(self._sample(down, reports.MAX_ENDPOINTS)),
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
            # The send queue is full, the host is unreachable, or the address
            # is invalid. The next report is due soon.
            return
        self._counters.add(CONTROL_BYTES, "gossip", len(datagram))
