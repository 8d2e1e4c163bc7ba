"""Which VMs are alive, by heartbeats at a cost that no fleet size changes.

The pattern: VMs die, join, leave and freeze at any time, while the platform's
list lags. If each VM pinged all others, a fleet of 1,400 would spend
megabytes a second on heartbeats; if the list were trusted, flows would go to
dead VMs for as long as it lags. So each VM pings one other per interval (the
SWIM protocol), asks three more before it suspects one, and tells news on
messages that go out anyway. One class of some length: its parts that stand
alone (heartbeats, introductions, freshness, members) are modules already.
"""

import random
from collections.abc import Iterable

import attrs

from pollenmast.decisions import _membership_times as figures
from pollenmast.decisions._freshness import Freshness
from pollenmast.decisions._heartbeats import (
    Address,
    Heartbeats,
    Send,
    gossip_address,
)
from pollenmast.decisions._introductions import Introductions
from pollenmast.decisions._members import (
    Change,
    Member,
    Members,
    Why,
    fitting,
)
from pollenmast.decisions._membership_times import Times
from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers._gossip import Act, Gossip


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
            own: This VM, with a greater incarnation than in its life before.
            now: The runtime's clock, in seconds.
            rng: Randomness.
            times: The figures.
            seeds: Gossip addresses to greet while nobody is known.
        """
        self._own = own
        self._rng = rng
        self._times = times or Times()
        self._members = Members()
        self._introductions = Introductions(own.name, seeds)
        self._heartbeats = Heartbeats(
            own.name, self._members, self._times, rng, now
        )
        self._changes: list[Change] = []
        self._urgent: dict[str, Vm] = {}
        self._fresh = Freshness(self._times.lease, self._times.refresh, now)
        self._in_force = ManifestKey()
        self._pages_left = 0
        self._ran_s = now
        self._due_s = now
        self._next_greet = now
        # What a starting VM believes is no better than what a paused one does.
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
        due = [self._heartbeats.due(), self._next_greet]
        for member in self._members:
            if member.suspect_since is not None:
                due.append(member.suspect_since + self._times.suspicion)
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
        """Takes the platform's list: whom to greet, and whom to forget."""
        self._introductions.take(listed)
        return self._greet(now)

    def tick(self, now: float) -> list[Send]:
        """Does what time demands."""
        sends = self._notice(now)
        asked, silent = self._heartbeats.check(now)
        sends += asked
        for member in silent:
            sends += self._suspect(member, now)
        self._end_suspicions(now)
        self._introductions.forget(self._members, now, self._times.forget)
        sends += self._heartbeats.beat(now)
        if now >= self._next_greet:
            self._next_greet = now + self._times.greet
            if not self._members.live():
                sends += self._greet(now)
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

    def _suspect(self, member: Member, now: float) -> list[Send]:
        """Suspects a member, and tells it so: it may still refute."""
        suspect = attrs.evolve(member.vm, state=VmState.SUSPECT)
        self._merge(suspect, now, Why.NO_ACK)
        return [self._heartbeats.ping(member.vm, now)]

    def _end_suspicions(self, now: float) -> None:
        for member in self._members.live():
            since = member.suspect_since
            if since is not None and now - since >= self._times.suspicion:
                dead = attrs.evolve(member.vm, state=VmState.DEAD)
                self._merge(dead, now, Why.SUSPICION_OVER)

    # Answers.

    def _answer(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        match message.act:
            case Act.PING:
                return self._acknowledge(message, source)
            case Act.ACK:
                return self._acknowledged(message)
            case Act.PING_REQUEST:
                return self._ping_for(message, source, now)
            case Act.SYNC_REQUEST:
                return [self._page(message, source)]
            case Act.SYNC:
                return self._paged(message)
        return []

    def _acknowledge(self, message: Gossip, source: Address) -> list[Send]:
        if message.target not in ("", self._own.name):
            # Another VM had this address before. Its death must be found
            # out, not hidden by an answer in its name.
            return []
        members = self._heartbeats.told(message.sender.name)
        own = self._own.name
        return [Send(source, Act.ACK, message.sequence, own, members)]

    def _acknowledged(self, message: Gossip) -> list[Send]:
        ping = self._heartbeats.answered(message.sequence)
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
        if member is None:
            return []
        return self._heartbeats.ping_for(
            member.vm, source, message.sequence, now
        )

    # Greetings, syncs and refreshes.

    def _greet(self, now: float) -> list[Send]:
        """Pings listed VMs that were never heard, and seeds when alone."""
        strangers = self._introductions.strangers(self._members)
        greeted = self._sample(strangers, figures.GREETED)
        sends = [self._heartbeats.greet(to, now) for to in greeted]
        if sends and not self._members.live():
            self._pages_left = figures.REFRESH_SYNCS
        return sends

    def _ask_around(self, now: float) -> list[Send]:
        asked = self._sample(
            [each.vm for each in self._members], figures.REFRESH_PEERS
        )
        self._pages_left = figures.REFRESH_SYNCS
        return [self._heartbeats.ping(vm, now) for vm in asked]

    def _ask_page(self, vm: Vm, after: str) -> Send:
        number = self._fresh.number
        return Send(gossip_address(vm), Act.SYNC_REQUEST, number, after)

    def _page(self, message: Gossip, source: Address) -> Send:
        page, last = self._members.page(message.target, figures.PAGE_BYTES)
        return Send(source, Act.SYNC, message.sequence, last, tuple(page))

    def _paged(self, message: Gossip) -> list[Send]:
        # Another number lay in the socket through a freeze: as old as that.
        if message.sequence != self._fresh.number:
            return []
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
            self._heartbeats.joined(vm.name)
        if change.why is Why.RETURNED:
            self._heartbeats.retry_soon(now)

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
        self._own = attrs.evolve(own, incarnation=vm.incarnation)
        self._restate(why=Why.REFUTED)
        if vm.state is VmState.DEAD:
            # The others went on; what this VM believes is as old as that.
            self._fresh.begin(now)
            self._pages_left = figures.REFRESH_SYNCS

    def _restate(self, why: Why, **changed: object) -> None:
        before = self._own.state
        changed["incarnation"] = self._own.incarnation + 1
        self._own = attrs.evolve(self._own, **changed)
        self._note(Change(self._own, before, why))

    # Lateness.

    def _notice(self, now: float) -> list[Send]:
        """Notes how late this process runs.

        A paused process finds all its timers over and its socket full of
        unread acks. It would declare the others dead for its own pause.
        """
        late = now - max(self._due_s, self._ran_s)
        gap = now - self._ran_s
        self._ran_s = now
        if late > self._times.late:
            self._due_s = now
            self._heartbeats.shift(late)
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
        urgent = fitting(list(self._urgent.values()), figures.PAGE_BYTES)
        self._urgent.clear()
        return self._push(tuple(urgent)) if urgent else []

    def _note(self, change: Change) -> None:
        self._changes.append(change)
        self._urgent[change.vm.name] = self.told(change.vm.name)

    def told(self, name: str) -> Vm:
        """Returns the newest news of a VM, as peers shall hear it."""
        member = self._members.get(name)
        return member.vm if member else self._own

    def _push(self, vms: tuple[Vm, ...]) -> list[Send]:
        told = {vm.name for vm in vms}
        live = [each.vm for each in self._members.live()]
        others = [vm for vm in live if vm.name not in told]
        return [
            Send(gossip_address(vm), Act.NEWS, members=vms)
            for vm in self._sample(others, figures.URGENT)
        ]

    def push(self) -> list[Send]:
        """Returns messages to a few random members, for urgent news."""
        return self._push(())

    def _sample(self, population: list, most: int) -> list:
        return self._rng.sample(population, min(most, len(population)))
