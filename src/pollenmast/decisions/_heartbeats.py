"""Pings: whom, when, and what a missing ack means.

The pattern: a VM dies without a word, or only the way between two VMs is
broken. One ping an interval keeps the cost constant; asking others before a
member is suspected keeps one bad way from looking like a death.
"""

import itertools
import random

import attrs

from pollenmast.decisions import _membership_times as figures
from pollenmast.decisions._members import Member, Members
from pollenmast.decisions._membership_times import Times
from pollenmast.fleet import Vm, VmState
from pollenmast.peers._gossip import Act

MOST_PINGS = 256
"""Pings without an answer yet; a peer that asks for more is not served."""

Address = tuple[str, int]


@attrs.frozen
class Send:
    """A message to send; news is added where it is sent.

    Attributes:
        to: IP number and port.
        act: What it asks for.
        sequence: Ties an answer to what it answers.
        target: The VM that is spoken of.
        members: News that must be in it.
    """

    to: Address
    act: Act
    sequence: int = 0
    target: str = ""
    members: tuple[Vm, ...] = ()


@attrs.define
class Ping:
    """A ping without an answer yet.

    Attributes:
        target: The pinged VM's name; empty when only its address is known.
        sent_s: When it was sent.
        asked: Whether others were asked to ping as well.
        relayed: Whom to tell of the answer, with which sequence.
    """

    target: str
    sent_s: float
    asked: bool = False
    relayed: tuple[Address, int] | None = None


def gossip_address(vm: Vm) -> Address:
    """Returns where a VM's agent takes gossip."""
    return vm.address, vm.gossip_port


class Heartbeats:
    """Sends pings and notices what stays unanswered."""

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
        self._order: list[str] = []
        self._in_ring = False
        self._pings: dict[int, Ping] = {}
        self._sequences = itertools.count(1)
        self._next_ping = now
        self._next_dead = now + times.retry_dead

    def due(self) -> float:
        """Returns when `beat` or `check` has something to do."""
        due = min(self._next_ping, self._next_dead)
        for ping in self._pings.values():
            wait = self._times.total if ping.asked else self._times.direct
            due = min(due, ping.sent_s + wait)
        return due

    def shift(self, late: float) -> None:
        """Gives open pings more time: this process was paused."""
        for ping in self._pings.values():
            ping.sent_s += late

    def joined(self, name: str) -> None:
        """Lets a new member take its turn in this round."""
        place = self._rng.randint(0, len(self._order))
        self._order.insert(place, name)

    def retry_soon(self, now: float) -> None:
        """Tries the next dead one soon: a cut heals for many at once."""
        soon = now + self._times.heartbeat / 2
        self._next_dead = min(self._next_dead, soon)

    def beat(self, now: float) -> list[Send]:
        """Sends the pings that are due."""
        sends = []
        if now >= self._next_ping:
            self._next_ping = now + self._times.heartbeat
            sends += self._ping_next(now)
        if now >= self._next_dead:
            self._next_dead = now + self._times.retry_dead
            sends += self._retry_dead(now)
        return sends

    def check(self, now: float) -> tuple[list[Send], list[Member]]:
        """Returns whom to ask about open pings, and who failed to answer."""
        sends, silent = [], []
        for sequence, ping in list(self._pings.items()):
            waited = now - ping.sent_s
            if waited >= self._times.total:
                del self._pings[sequence]
                silent += self._silent(ping)
            elif waited >= self._times.direct and not ping.asked:
                ping.asked = True
                sends += self._ask_others(sequence, ping)
        return sends, silent

    def ping(self, vm: Vm, now: float) -> Send:
        """Returns a ping of a VM."""
        sequence = next(self._sequences)
        self._pings[sequence] = Ping(vm.name, now)
        to = gossip_address(vm)
        return Send(to, Act.PING, sequence, vm.name, self.told(vm.name))

    def greet(self, to: Address, now: float) -> Send:
        """Returns a ping of whoever has this address."""
        sequence = next(self._sequences)
        self._pings[sequence] = Ping("", now)
        return Send(to, Act.PING, sequence)

    def ping_for(
        self, vm: Vm, asker: Address, sequence: int, now: float
    ) -> list[Send]:
        """Pings a VM for another one that did not hear from it."""
        if len(self._pings) >= MOST_PINGS:
            return []
        send = self.ping(vm, now)
        self._pings[send.sequence].relayed = (asker, sequence)
        return [send]

    def answered(self, sequence: int) -> Ping | None:
        """Takes an ack; returns the ping that it answers."""
        return self._pings.pop(sequence, None)

    def told(self, name: str) -> tuple[Vm, ...]:
        """Returns what a VM must hear of itself.

        It can only refute a suspicion, or its death, that it knows of.
        """
        member = self._members.get(name)
        if member is None or member.vm.state is VmState.ALIVE:
            return ()
        return (member.vm,)

    def _ping_next(self, now: float) -> list[Send]:
        """Pings the VM after this one by name, and a random one, in turns.

        With random ones alone, a killed VM now and then went unpinged for
        three intervals. Its predecessor pings it every other interval.
        """
        self._in_ring = not self._in_ring
        successor = self._successor() if self._in_ring else None
        if successor is not None:
            return [self.ping(successor, now)]
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and not member.dead:
                return [self.ping(member.vm, now)]
        self._order = [each.vm.name for each in self._members.live()]
        self._rng.shuffle(self._order)
        if not self._order:
            return []
        member = self._members.get(self._order.pop())
        return [self.ping(member.vm, now)]

    def _successor(self) -> Vm | None:
        vms = [each.vm for each in self._members.live()]
        own = self._own_name
        # Names above the own one come first, then the ring starts again.
        return min(vms, key=lambda vm: (vm.name < own, vm.name), default=None)

    def _ask_others(self, sequence: int, ping: Ping) -> list[Send]:
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.relayed:
            return []
        others = [
            each.vm
            for each in self._members.live()
            if each is not member and each.suspect_since is None
        ]
        most = min(figures.INDIRECT, len(others))
        return [
            Send(
                gossip_address(vm),
                Act.PING_REQUEST,
                sequence,
                ping.target,
                (member.vm,),
            )
            for vm in self._rng.sample(others, most)
        ]

    def _silent(self, ping: Ping) -> list[Member]:
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.relayed:
            return []
        heard = member.heard_s > ping.sent_s
        return [] if heard or member.suspect_since is not None else [member]

    def _retry_dead(self, now: float) -> list[Send]:
        """Pings one dead member, so that a healed cut is noticed."""
        dead = self._members.dead()
        if not dead:
            return []
        member = min(dead, key=lambda each: (each.asked_s, each.vm.name))
        member.asked_s = now
        return [self.ping(member.vm, now)]
