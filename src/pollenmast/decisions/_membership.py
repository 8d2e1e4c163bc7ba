"""Which VMs are alive, by heartbeats at a cost that no fleet size changes.

The pattern: VMs die, join, leave and freeze at any time, while the platform's
list lags. If each VM pinged all others, a fleet of 1,400 would spend
megabytes a second on heartbeats; if the list were trusted, flows would go to
dead VMs for as long as it lags. So each VM pings one other per interval (the
SWIM protocol), asks three more before it suspects one, and tells news on
messages that go out anyway.
"""

import itertools
import random
from collections.abc import Iterable

import attrs

from pollenmast.decisions import _membership_times as figures
from pollenmast.decisions._acceptance import ManifestKey
from pollenmast.decisions._freshness import Freshness
from pollenmast.decisions._members import Change, Members, Why
from pollenmast.decisions._membership_times import Times
from pollenmast.peers._gossip import Act, Gossip
from pollenmast.peers._messages import Vm, VmState

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
        urgent: Whether queued news shall go with it in full.
    """

    to: Address
    act: Act
    sequence: int = 0
    target: str = ""
    members: tuple[Vm, ...] = ()
    urgent: bool = False


@attrs.define
class _Ping:
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


class Membership:
    """This VM's beliefs of the others. Every method is told the time."""

    def __init__(
        self,
        own: Vm,
        now: float,
        rng: random.Random,
        times: Times | None = None,
        seeds: Iterable[Address] = (),
    ):
        """Starts alone.

        Args:
            own: This VM; its incarnation must exceed that of its life
                before (seconds of the wall clock do).
            now: The runtime's clock, in seconds.
            rng: Randomness.
            times: The figures.
            seeds: Gossip addresses to greet while nobody is known.
        """
        self._own = own
        self._rng = rng
        self._times = times or Times()
        self._seeds = tuple(seeds)
        self._members = Members()
        self._listed: dict[str, Vm] = {}
        self._was_listed = False
        self._order: list[str] = []
        self._pings: dict[int, _Ping] = {}
        self._sequences = itertools.count(1)
        self._changes: list[Change] = []
        self._urgent: dict[str, Vm] = {}
        self._fresh = Freshness(self._times.lease, self._times.refresh, now)
        self._in_force = ManifestKey()
        self._pages_left = 0
        self._ran_s = now
        self._due_s = now
        self._next_ping = now
        self._next_greet = now
        self._next_dead = now + self._times.retry_dead
        # A starting VM knows nothing; what it believes is no better than
        # what a paused one does.
        self._fresh.begin(now)

    # What others read.

    @property
    def own(self) -> Vm:
        """This VM as it tells others."""
        return self._own

    @property
    def fresh(self) -> bool:
        """Whether the beliefs may be acted on."""
        return self._fresh.fresh

    @property
    def alone(self) -> bool:
        """Whether nobody answered the last refresh."""
        return self._fresh.alone

    def vms(self) -> tuple[Vm, ...]:
        """Returns every VM not dead, the own one first."""
        return (self._own, *(each.view for each in self._members.live()))

    def known(self) -> tuple[Vm, ...]:
        """Returns every VM known, dead ones included, the own one first."""
        return (self._own, *(each.view for each in self._members))

    @property
    def has_urgent(self) -> bool:
        """Whether `tick` has something to tell at once."""
        return bool(self._urgent)

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call; they are news to tell."""
        changes, self._changes = self._changes, []
        return changes

    def due(self) -> float:
        """Returns when `tick` must be called next."""
        times = self._times
        due = [self._next_ping, self._next_greet, self._next_dead]
        for ping in self._pings.values():
            wait = times.total if ping.asked else times.direct
            due.append(ping.sent_s + wait)
        for member in self._members:
            if member.suspect_since is not None:
                due.append(member.suspect_since + times.suspicion)
        self._due_s = min(due)
        return self._due_s

    # What this VM says of itself.

    def set_relay_up(self, up: bool) -> None:
        """Tells whether the relay of this VM answers its agent."""
        if up != self._own.relay_up:
            self._restate(relay_up=up, why=Why.UPDATED)

    def leave(self) -> None:
        """Announces that this VM stops in an orderly way."""
        if self._own.state is VmState.ALIVE:
            self._restate(state=VmState.LEAVING, why=Why.LEAVES)

    def gone(self) -> list[Send]:
        """Announces the end, so that nobody needs to find out."""
        self._own = attrs.evolve(self._own, state=VmState.DEAD)
        return self._push((self._own,))

    def stay(self) -> None:
        """Takes back that this VM leaves: its relay was replaced."""
        if self._own.state is VmState.LEAVING:
            self._restate(state=VmState.ALIVE, why=Why.UPDATED)

    def set_in_force(self, key: ManifestKey) -> None:
        """Notes the manifest in force here."""
        self._in_force = key

    def stale(self, now: float) -> list[Send]:
        """Starts a refresh: something says that the beliefs are old."""
        self._fresh.begin(now)
        return self._ask_around(now)

    # What happens.

    def look(self, now: float) -> list[Send]:
        """Notes that the process runs, before its beliefs are used.

        After a pause this may be the first thing that runs; without it, old
        beliefs would go out once as fresh ones.
        """
        return self._notice(now)

    def introduce(self, listed: Iterable[Vm], now: float) -> list[Send]:
        """Takes the platform's list: whom to greet, and whom to forget.

        The list lags, so it says nothing about a VM that was heard.
        """
        self._listed = {vm.name: vm for vm in listed}
        self._listed.pop(self._own.name, None)
        self._was_listed = True
        return self._greet(now)

    def tick(self, now: float) -> list[Send]:
        """Does what time demands."""
        sends = self._notice(now)
        sends += self._check_pings(now)
        self._end_suspicions(now)
        if now >= self._next_ping:
            self._next_ping = now + self._times.heartbeat
            sends += self._ping_next(now)
        if now >= self._next_greet:
            self._next_greet = now + self._times.greet
            if not self._members.live():
                sends += self._greet(now)
        if now >= self._next_dead:
            self._next_dead = now + self._times.retry_dead
            sends += self._retry_dead(now)
        if self._fresh.silent(len(self._members) > 0, now):
            sends += self._ask_around(now)
        self._fresh.check(self._in_force, now)
        return sends + self._push_urgent()

    def receive(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        """Takes a peer's message; `source` is where it came from."""
        if message.sender.name == self._own.name:
            return []
        sends = self._notice(now)
        sender = message.sender
        self._merge(sender, now, Why.TOLD)
        for vm in message.members:
            self._merge(vm, now, Why.TOLD)
        member = self._members.get(sender.name)
        if member is not None:
            member.heard_s = now
        if self._fresh.heard(now):
            # The cut may have lasted hours: take what was missed first.
            sends += self.stale(now)
        sends += self._answer(message, source, now)
        self._fresh.check(self._in_force, now)
        return sends + self._push_urgent()

    # Heartbeats.

    def _ping_next(self, now: float) -> list[Send]:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and not member.dead:
                return [self._ping(member.vm, now)]
        self._order = [each.vm.name for each in self._members.live()]
        self._rng.shuffle(self._order)
        if not self._order:
            return []
        member = self._members.get(self._order.pop())
        return [self._ping(member.vm, now)]

    def _ping(self, vm: Vm, now: float) -> Send:
        sequence = next(self._sequences)
        self._pings[sequence] = _Ping(vm.name, now)
        # What this VM believes of the pinged one goes along, so that it can
        # refute a suspicion, or its death, at once.
        member = self._members.get(vm.name)
        told = member is not None and member.vm.state is not VmState.ALIVE
        members = (member.vm,) if told else ()
        to = (vm.address, vm.gossip_port)
        return Send(to, Act.PING, sequence, vm.name, members)

    def _check_pings(self, now: float) -> list[Send]:
        sends = []
        for sequence, ping in list(self._pings.items()):
            waited = now - ping.sent_s
            if waited >= self._times.total:
                del self._pings[sequence]
                sends += self._suspect(ping, now)
            elif waited >= self._times.direct and not ping.asked:
                ping.asked = True
                sends += self._ask_others(sequence, ping)
        return sends

    def _ask_others(self, sequence: int, ping: _Ping) -> list[Send]:
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.relayed:
            return []
        others = [
            each.vm
            for each in self._members.live()
            if each is not member and each.suspect_since is None
        ]
        asked = self._sample(others, figures.INDIRECT)
        return [
            Send(
                (vm.address, vm.gossip_port),
                Act.PING_REQUEST,
                sequence,
                ping.target,
                (member.vm,),
            )
            for vm in asked
        ]

    def _suspect(self, ping: _Ping, now: float) -> list[Send]:
        """Suspects a member, and tells it so: it may still refute."""
        member = self._members.get(ping.target)
        if member is None or member.dead or ping.relayed:
            return []
        if member.suspect_since is None and member.heard_s <= ping.sent_s:
            suspect = attrs.evolve(member.vm, state=VmState.SUSPECT)
            self._merge(suspect, now, Why.NO_ACK)
            return [self._ping(member.vm, now)]
        return []

    def _end_suspicions(self, now: float) -> None:
        for member in self._members.live():
            since = member.suspect_since
            if since is not None and now - since >= self._times.suspicion:
                dead = attrs.evolve(member.vm, state=VmState.DEAD)
                self._merge(dead, now, Why.SUSPICION_OVER)

    def _retry_dead(self, now: float) -> list[Send]:
        """Pings one dead member, so that a healed cut is noticed."""
        for member in self._members.dead():
            unlisted = self._was_listed and member.vm.name not in self._listed
            old = now - (member.dead_since or now) >= self._times.forget
            if unlisted and old:
                self._members.forget(member.vm.name)
        dead = self._members.dead()
        if not dead:
            return []
        member = min(dead, key=lambda each: (each.asked_s, each.vm.name))
        member.asked_s = now
        return [self._ping(member.vm, now)]

    # Answers.

    def _answer(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        match message.act:
            case Act.PING:
                return self._acknowledge(message, source)
            case Act.ACK:
                return self._acknowledged(message, now)
            case Act.PING_REQUEST:
                return self._ping_for(message, source, now)
            case Act.SYNC_REQUEST:
                return [self._page(message, source)]
            case Act.SYNC:
                return self._paged(message, now)
        return []

    def _acknowledge(self, message: Gossip, source: Address) -> list[Send]:
        if message.target not in ("", self._own.name):
            # Another VM had this address before. Its death must be found
            # out, not hidden by an answer in its name.
            return []
        member = self._members.get(message.sender.name)
        told = member is not None and member.vm.state is not VmState.ALIVE
        members = (member.vm,) if told else ()
        return [
            Send(source, Act.ACK, message.sequence, self._own.name, members)
        ]

    def _acknowledged(self, message: Gossip, now: float) -> list[Send]:
        ping = self._pings.pop(message.sequence, None)
        if ping is None:
            return []
        sends = []
        if ping.relayed is not None:
            to, sequence = ping.relayed
            member = self._members.get(ping.target)
            members = (member.vm,) if member else ()
            sends.append(Send(to, Act.ACK, sequence, ping.target, members))
        if self._pages_left:
            sends.append(self._ask_page(message.sender, ""))
            self._pages_left -= 1
        return sends

    def _ping_for(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        member = self._members.get(message.target)
        vm = member.vm if member else None
        if vm is None or len(self._pings) > 64 * figures.INDIRECT:
            return []
        send = self._ping(vm, now)
        self._pings[send.sequence].relayed = (source, message.sequence)
        return [send]

    # Greetings, syncs and refreshes.

    def _greet(self, now: float) -> list[Send]:
        """Pings listed VMs that were never heard, and seeds when alone."""
        strangers = [
            (vm.address, vm.gossip_port)
            for name, vm in self._listed.items()
            if self._members.get(name) is None
        ]
        if not self._members.live():
            strangers += self._seeds
        sends = []
        for to in self._sample(strangers, figures.GREETED):
            sequence = next(self._sequences)
            self._pings[sequence] = _Ping("", now)
            sends.append(Send(to, Act.PING, sequence))
        if sends and not self._members.live():
            self._pages_left = figures.REFRESH_SYNCS
        return sends

    def _ask_around(self, now: float) -> list[Send]:
        asked = self._sample(
            [each.vm for each in self._members], figures.REFRESH_PEERS
        )
        self._pages_left = figures.REFRESH_SYNCS
        return [self._ping(vm, now) for vm in asked]

    def _ask_page(self, vm: Vm, after: str) -> Send:
        to = (vm.address, vm.gossip_port)
        return Send(to, Act.SYNC_REQUEST, target=after)

    def _page(self, message: Gossip, source: Address) -> Send:
        page, last = self._members.page(message.target, figures.PAGE)
        return Send(source, Act.SYNC, target=last, members=tuple(page))

    def _paged(self, message: Gossip, now: float) -> list[Send]:
        if message.target:
            return [self._ask_page(message.sender, message.target)]
        key = ManifestKey(message.version, message.digest.hex())
        self._fresh.synced(key)
        return []

    # Beliefs.

    def _merge(self, vm: Vm, now: float, why: Why) -> None:
        if vm.name == self._own.name:
            self._hear_of_self(vm, now)
            return
        change = self._members.merge(vm, now, why)
        if change is None:
            return
        self._note(change)
        if change.why is Why.JOINED:
            place = self._rng.randint(0, len(self._order))
            self._order.insert(place, vm.name)
        if change.why is Why.RETURNED:
            # A cut heals for many at once: try the next dead one soon.
            soon = now + self._times.heartbeat / 2
            self._next_dead = min(self._next_dead, soon)

    def _hear_of_self(self, vm: Vm, now: float) -> None:
        """Refutes what others wrongly believe of this VM."""
        own = self._own
        believed = vm.incarnation >= own.incarnation
        wrong = vm.incarnation > own.incarnation or vm.state in (
            VmState.SUSPECT,
            VmState.DEAD,
        )
        if not believed or not wrong or own.state is VmState.DEAD:
            return
        incarnation = vm.incarnation
        self._own = attrs.evolve(own, incarnation=incarnation)
        self._restate(why=Why.REFUTED)
        if vm.state is VmState.DEAD:
            # The others have gone on without this VM; what it believes is
            # as old as its death.
            self._fresh.begin(now)
            self._pages_left = figures.REFRESH_SYNCS

    def _restate(self, why: Why, **changed: object) -> None:
        before = self._own.state
        incarnation = self._own.incarnation + 1
        self._own = attrs.evolve(self._own, incarnation=incarnation, **changed)
        self._note(Change(self._own, before, why))

    # Lateness.

    def _notice(self, now: float) -> list[Send]:
        """Notes how late this process runs.

        A paused process finds all its timers over at once and its socket
        full of unread acks. Would it go on, it would declare the others
        dead, and they would lose flows for a pause that was its own.
        """
        late = now - max(self._due_s, self._ran_s)
        gap = now - self._ran_s
        self._ran_s = now
        if late > self._times.late:
            self._due_s = now
            for ping in self._pings.values():
                ping.sent_s += late
            for member in self._members.live():
                if member.suspect_since is not None:
                    member.suspect_since += late
        if self._fresh.ran(gap, now):
            return self._ask_around(now)
        return []

    # Sending.

    def _push_urgent(self) -> list[Send]:
        """Tells what has just changed to a few at once.

        Flows go to a dead VM for as long as a change takes to spread; at one
        message an interval it would take seconds.
        """
        urgent = tuple(self._urgent.values())[: figures.PAGE]
        self._urgent.clear()
        return self._push(urgent) if urgent else []

    def _note(self, change: Change) -> None:
        self._changes.append(change)
        self._urgent[change.vm.name] = self.told(change.vm.name)

    def told(self, name: str) -> Vm:
        """Returns the newest news of a VM, as peers shall hear it."""
        member = self._members.get(name)
        return member.vm if member else self._own

    def _push(self, vms: tuple[Vm, ...]) -> list[Send]:
        told = {vm.name for vm in vms}
        others = [
            each.vm for each in self._members.live() if each.vm.name not in told
        ]
        return [
            Send(
                (vm.address, vm.gossip_port),
                Act.NEWS,
                members=vms,
                urgent=True,
            )
            for vm in self._sample(others, figures.URGENT)
        ]

    def push(self) -> list[Send]:
        """Returns messages to a few random members, for urgent news."""
        return self._push(())

    def _sample(self, population: list, most: int) -> list:
        return self._rng.sample(population, min(most, len(population)))
