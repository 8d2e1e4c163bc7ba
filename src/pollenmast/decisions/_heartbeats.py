"""Heartbeat scheduling: which member to ping, when, and after a missing ack.

A VM may crash without notice, or only the network path between two VMs may
fail. One ping per interval keeps the cost constant. Indirect pings through
other members, sent before a member is suspected, keep the failure of one path
from being taken for the failure of a VM.
"""

import itertools
import random

import attrs

from pollenmast.decisions import _membership_times as constants
from pollenmast.decisions._members import Member, Members
from pollenmast.decisions._membership_times import Times
from pollenmast.fleet import Vm, VmState
from pollenmast.peers._gossip import GossipType

MAX_PENDING_PINGS = 256
"""Maximum number of outstanding pings; beyond it, peers' requests for indirect
pings are ignored."""

Address = tuple[str, int]


@attrs.frozen
class Send:
    """A message to send; the sender adds further updates to it.

    Attributes:
        to: IP address and port of the receiver.
        act: Type of the message.
        sequence: Number that matches an answer to its request.
        target: Name that the message refers to: the VM to ping or that
            answered, or the last name of a sync's page.
        members: Updates that the message must contain.
    """

    to: Address
    act: GossipType
    sequence: int = 0
    target: str = ""
    members: tuple[Vm, ...] = ()


@attrs.define
class Ping:
    """An outstanding ping.

    Attributes:
        target: Name of the pinged VM; empty if only its address is known.
        sent_s: Time at which the ping was sent.
        indirect_requested: Whether other members were asked for indirect pings.
        requester: Address and sequence number for the ack to the member that
            requested this ping, or None for a ping of the local VM's own.
    """

    target: str
    sent_s: float
    indirect_requested: bool = False
    requester: tuple[Address, int] | None = None


def gossip_address(vm: Vm) -> Address:
    """Returns the gossip address of a VM's agent."""
    return vm.address, vm.gossip_port


class Heartbeats:
    """Schedules pings and detects missing acks."""

    def __init__(
        self,
        own_name: str,
        members: Members,
        times: Times,
        rng: random.Random,
        now: float,
    ):
        self._own_name = own_name
        self._members = members
        self._times = times
        self._rng = rng
        self._round: list[str] = []
        self._use_successor = False
        self._pings: dict[int, Ping] = {}
        self._sequences = itertools.count(1)
        self._next_ping = now
        self._next_retry = now + times.dead_retry_interval

    def due(self) -> float:
        """Returns when `send_due` or `check_timeouts` must run next."""
        due = min(self._next_ping, self._next_retry)
        for ping in self._pings.values():
            wait = (
                self._times.total_timeout
                if ping.indirect_requested
                else self._times.direct_timeout
            )
            due = min(due, ping.sent_s + wait)
        return due

    def extend_timeouts(self, delay: float) -> None:
        """Extends the time-outs of outstanding pings after a pause."""
        for ping in self._pings.values():
            ping.sent_s += delay

    def add_member(self, name: str) -> None:
        """Adds a new member to the current round at a random position."""
        position = self._rng.randint(0, len(self._round))
        self._round.insert(position, name)

    def retry_dead_soon(self, now: float) -> None:
        """Schedules the next ping of a dead member soon.

        When a network partition heals, many members return at once.
        """
        soon = now + self._times.heartbeat / 2
        self._next_retry = min(self._next_retry, soon)

    def send_due(self, now: float) -> list[Send]:
        """Returns the pings that are due."""
        sends = []
        if now >= self._next_ping:
            self._next_ping = now + self._times.heartbeat
            sends += self._ping_next(now)
        if now >= self._next_retry:
            self._next_retry = now + self._times.dead_retry_interval
            sends += self._retry_dead(now)
        return sends

    def check_timeouts(self, now: float) -> tuple[list[Send], list[Member]]:
        """Returns indirect ping requests, and the members that timed out."""
        sends, timed_out = [], []
        for sequence, ping in list(self._pings.items()):
            waited = now - ping.sent_s
            if waited >= self._times.total_timeout:
                del self._pings[sequence]
                timed_out += self._members_without_ack(ping)
            elif (
                waited >= self._times.direct_timeout
                and not ping.indirect_requested
            ):
                ping.indirect_requested = True
                sends += self._request_indirect_pings(sequence, ping)
        return sends, timed_out

    def ping(self, vm: Vm, now: float) -> Send:
        """Returns a ping to a VM."""
        sequence = next(self._sequences)
        self._pings[sequence] = Ping(vm.name, now)
        to = gossip_address(vm)
        return Send(
            to, GossipType.PING, sequence, vm.name, self.update_for(vm.name)
        )

    def ping_address(self, to: Address, now: float) -> Send:
        """Returns a ping to an address whose VM is not known."""
        sequence = next(self._sequences)
        self._pings[sequence] = Ping("", now)
        return Send(to, GossipType.PING, sequence)

    def ping_on_behalf(
        self, vm: Vm, requester_address: Address, sequence: int, now: float
    ) -> list[Send]:
        """Pings a VM on behalf of a member that received no ack from it."""
        if len(self._pings) >= MAX_PENDING_PINGS:
            return []
        send = self.ping(vm, now)
        self._pings[send.sequence].requester = (requester_address, sequence)
        return [send]

    def take_answered(self, sequence: int) -> Ping | None:
        """Removes and returns the ping that an ack answers, if any."""
        return self._pings.pop(sequence, None)

    def update_for(self, name: str) -> tuple[Vm, ...]:
        """Returns the update about itself that a VM must receive.

        A VM can refute a suspicion or its own death only if it knows of it.
        """
        member = self._members.get(name)
        if member is None or member.vm.state is VmState.ALIVE:
            return ()
        return (member.vm,)

    def _ping_next(self, now: float) -> list[Send]:
        """Pings the successor by name and a random member alternately.

        With random members alone, a killed VM sometimes received no ping for
        three intervals. Its predecessor now pings it every other interval.
        """
        self._use_successor = not self._use_successor
        successor = self._successor() if self._use_successor else None
        if successor is not None:
            return [self.ping(successor, now)]
        while self._round:
            member = self._members.get(self._round.pop())
            if member is not None and not member.dead:
                return [self.ping(member.vm, now)]
        self._round = [each.vm.name for each in self._members.live()]
        self._rng.shuffle(self._round)
        if not self._round:
            return []
        member = self._members.get(self._round.pop())
        return [self.ping(member.vm, now)]

    def _successor(self) -> Vm | None:
        vms = [each.vm for each in self._members.live()]
        own = self._own_name
        # Names greater than the local one come first, then the ring wraps.
        return min(vms, key=lambda vm: (vm.name < own, vm.name), default=None)

    def _request_indirect_pings(self, sequence: int, ping: Ping) -> list[Send]:
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.requester:
            return []
        helpers = [
            each.vm
            for each in self._members.live()
            if each is not member and each.suspect_since is None
        ]
        count = min(constants.INDIRECT_PINGS, len(helpers))
        return [
            Send(
                gossip_address(vm),
                GossipType.PING_REQUEST,
                sequence,
                ping.target,
                (member.vm,),
            )
            for vm in self._rng.sample(helpers, count)
        ]

    def _members_without_ack(self, ping: Ping) -> list[Member]:
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.requester:
            return []
        heard = member.heard_s > ping.sent_s
        return [] if heard or member.suspect_since is not None else [member]

    def _retry_dead(self, now: float) -> list[Send]:
        """Pings one dead member, to detect that a partition has healed."""
        dead = self._members.dead()
        if not dead:
            return []
        member = min(dead, key=lambda each: (each.retried_s, each.vm.name))
        member.retried_s = now
        return [self.ping(member.vm, now)]
