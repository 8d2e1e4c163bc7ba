"""Group membership and failure detection with the SWIM protocol.

VMs crash, join, leave and freeze at any time, and the platform's list of VMs
lags behind. If every VM pinged all others, heartbeats in a fleet of 1,400 VMs
would take megabytes per second. If the platform's list were trusted, flows
would be sent to dead VMs for as long as the list lags. Each VM therefore pings
one other VM per interval, asks three more to ping a VM before suspecting it,
and piggybacks membership updates on messages that are sent anyway. The cost
per VM does not depend on the size of the fleet.

`Membership` is a long class. Its independent parts (heartbeats, join
candidates, freshness and the member table) are modules of their own.
"""

import random
from collections.abc import Iterable

import attrs

from pollenmast.decisions import _membership_times as constants
from pollenmast.decisions._freshness import Freshness
from pollenmast.decisions._heartbeats import (
    Address,
    Heartbeats,
    Send,
    gossip_address,
)
from pollenmast.decisions._join_candidates import JoinCandidates
from pollenmast.decisions._members import (
    Change,
    ChangeReason,
    Member,
    Members,
    fit_into_budget,
)
from pollenmast.decisions._membership_times import Times
from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers._gossip import Gossip, GossipType


class Membership:
    """The local VM's view of the fleet.

    The class reads no clock: methods that depend on time take it as an
    argument.
    """

    def __init__(
        self,
        own: Vm,
        now: float,
        rng: random.Random,
        times: Times | None = None,
        seeds: Iterable[Address] = (),
    ):
        """Creates a membership without other members.

        Args:
            own: The local VM. Its incarnation must be greater than in any
                earlier run of the process.
            now: Current time of the runtime's clock, in seconds.
            rng: Random number generator.
            times: Intervals and time-outs; defaults to `Times()`.
            seeds: Gossip addresses to ping while no live member is known.
        """
        self._own = own
        self._rng = rng
        self._times = times or Times()
        self._members = Members()
        self._candidates = JoinCandidates(own.name, seeds)
        self._heartbeats = Heartbeats(
            own.name, self._members, self._times, rng, now
        )
        self._changes: list[Change] = []
        self._urgent: dict[str, Vm] = {}
        self._freshness = Freshness(
            self._times.lease, self._times.refresh_timeout, now
        )
        self._in_force = ManifestKey()
        self._syncs_left = 0
        self._last_run_s = now
        self._next_tick_s = now
        self._next_join_s = now
        # After a start the view is as unreliable as after a pause.
        self._freshness.start_refresh(now)

    # State for callers.

    @property
    def own(self) -> Vm:
        """The local VM as announced to peers."""
        return self._own

    @property
    def fresh(self) -> bool:
        """Whether decisions may be based on this view."""
        return self._freshness.fresh

    @property
    def alone(self) -> bool:
        """Whether the last refresh ended without an answer."""
        return self._freshness.alone

    def vms(self) -> tuple[Vm, ...]:
        """Returns all VMs that are not dead, the local VM first."""
        return (self._own, *(each.view for each in self._members.live()))

    def known(self) -> tuple[Vm, ...]:
        """Returns all known VMs, dead ones included, the local VM first."""
        return (self._own, *(each.view for each in self._members))

    @property
    def has_urgent(self) -> bool:
        """Whether `tick` has urgent updates to send."""
        return bool(self._urgent)

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call, to be disseminated."""
        changes, self._changes = self._changes, []
        return changes

    def due(self) -> float:
        """Returns the time at which `tick` must be called next."""
        due = [self._heartbeats.due(), self._next_join_s]
        for member in self._members:
            if member.suspect_since is not None:
                due.append(member.suspect_since + self._times.suspicion_timeout)
        self._next_tick_s = min(due)
        return self._next_tick_s

    # State of the local VM.

    def set_relay_up(self, up: bool) -> None:
        """Announces whether the local relay answers its agent."""
        if up != self._own.relay_up:
            self._update_own(relay_up=up, why=ChangeReason.UPDATED)

    def leave(self) -> None:
        """Announces a planned shutdown of the local VM."""
        if self._own.state is VmState.ALIVE:
            self._update_own(state=VmState.LEAVING, why=ChangeReason.LEAVES)

    def announce_stop(self) -> list[Send]:
        """Announces that the local VM stops now.

        Peers then need not detect its failure.
        """
        self._own = attrs.evolve(self._own, state=VmState.DEAD)
        return self._push((self._own,))

    def cancel_leave(self) -> None:
        """Cancels a planned shutdown, because the relay was replaced."""
        if self._own.state is VmState.LEAVING:
            self._update_own(state=VmState.ALIVE, why=ChangeReason.UPDATED)

    def set_in_force(self, key: ManifestKey) -> None:
        """Sets the key of the manifest in force on the local VM."""
        self._in_force = key

    def start_refresh(self, now: float) -> list[Send]:
        """Starts a refresh, because the view appears to be stale."""
        self._freshness.start_refresh(now)
        return self._ping_for_refresh(now)

    # Events.

    def check_for_pause(self, now: float) -> list[Send]:
        """Checks for a pause of the process before the view is used.

        This may be the first code to run after a pause. Without the check, a
        stale view would be handed out once as a fresh one.
        """
        return self._detect_pause(now)

    def update_listed(self, listed: Iterable[Vm], now: float) -> list[Send]:
        """Takes the platform's list of VMs and pings those not yet known.

        Dead members that are missing from the list are removed later.
        """
        self._candidates.set_listed(listed)
        return self._join(now)

    def tick(self, now: float) -> list[Send]:
        """Runs all timers that have expired."""
        sends = self._detect_pause(now)
        requests, unanswered = self._heartbeats.check_timeouts(now)
        sends += requests
        for member in unanswered:
            sends += self._suspect(member, now)
        self._expire_suspicions(now)
        self._candidates.remove_unlisted(
            self._members, now, self._times.removal_delay
        )
        sends += self._heartbeats.send_due(now)
        if now >= self._next_join_s:
            self._next_join_s = now + self._times.join_interval
            if not self._members.live():
                sends += self._join(now)
        if self._freshness.refresh_after_silence(len(self._members) > 0, now):
            sends += self._ping_for_refresh(now)
        self._freshness.end_refresh(self._in_force, now)
        return sends + self._push_urgent()

    def receive(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        """Handles a message from a peer at the address `source`."""
        if message.sender.name == self._own.name:
            return []
        sends = self._detect_pause(now)
        sender = message.sender
        self._merge(sender, now, ChangeReason.TOLD)
        for vm in message.members:
            self._merge(vm, now, ChangeReason.TOLD)
        member = self._members.get(sender.name)
        if member is not None:
            member.heard_s = now
        if self._freshness.record_message(now):
            # The network partition may have lasted hours: refresh first.
            sends += self.start_refresh(now)
        sends += self._handle_message(message, source, now)
        self._freshness.end_refresh(self._in_force, now)
        return sends + self._push_urgent()

    # Failure detection.

    def _suspect(self, member: Member, now: float) -> list[Send]:
        """Marks a member as suspect and notifies it, so that it can refute."""
        suspect = attrs.evolve(member.vm, state=VmState.SUSPECT)
        self._merge(suspect, now, ChangeReason.NO_ACK)
        return [self._heartbeats.ping(member.vm, now)]

    def _expire_suspicions(self, now: float) -> None:
        for member in self._members.live():
            since = member.suspect_since
            if (
                since is not None
                and now - since >= self._times.suspicion_timeout
            ):
                dead = attrs.evolve(member.vm, state=VmState.DEAD)
                self._merge(dead, now, ChangeReason.SUSPICION_OVER)

    # Message handlers.

    def _handle_message(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        match message.act:
            case GossipType.PING:
                return self._receive_ping(message, source)
            case GossipType.ACK:
                return self._receive_ack(message)
            case GossipType.PING_REQUEST:
                return self._receive_ping_request(message, source, now)
            case GossipType.SYNC_REQUEST:
                return [self._page_reply(message, source)]
            case GossipType.SYNC:
                return self._receive_page(message)
        return []

    def _receive_ping(self, message: Gossip, source: Address) -> list[Send]:
        if message.target not in ("", self._own.name):
            # The ping is for another VM that had this address before. An
            # answer would hide that VM's failure.
            return []
        members = self._heartbeats.update_for(message.sender.name)
        own = self._own.name
        return [Send(source, GossipType.ACK, message.sequence, own, members)]

    def _receive_ack(self, message: Gossip) -> list[Send]:
        ping = self._heartbeats.take_answered(message.sequence)
        if ping is None:
            return []
        sends = []
        if ping.requester is not None:
            to, sequence = ping.requester
            member = self._members.get(ping.target)
            members = (member.vm,) if member else ()
            sends.append(
                Send(to, GossipType.ACK, sequence, ping.target, members)
            )
        if self._syncs_left:
            sends.append(self._request_page(message.sender, ""))
            self._syncs_left -= 1
        return sends

    def _receive_ping_request(
        self, message: Gossip, source: Address, now: float
    ) -> list[Send]:
        member = self._members.get(message.target)
        if member is None:
            return []
        return self._heartbeats.ping_on_behalf(
            member.vm, source, message.sequence, now
        )

    # Joining, syncs and refreshes.

    def _join(self, now: float) -> list[Send]:
        """Pings VMs not yet known; seeds too without a live member."""
        unknown = self._candidates.unknown_addresses(self._members)
        addresses = self._sample(unknown, constants.MAX_JOIN_PINGS)
        sends = [self._heartbeats.ping_address(to, now) for to in addresses]
        if sends and not self._members.live():
            self._syncs_left = constants.REFRESH_SYNCS
        return sends

    def _ping_for_refresh(self, now: float) -> list[Send]:
        targets = self._sample(
            [each.vm for each in self._members], constants.REFRESH_PEERS
        )
        self._syncs_left = constants.REFRESH_SYNCS
        return [self._heartbeats.ping(vm, now) for vm in targets]

    def _request_page(self, vm: Vm, after: str) -> Send:
        number = self._freshness.refresh_number
        return Send(gossip_address(vm), GossipType.SYNC_REQUEST, number, after)

    def _page_reply(self, message: Gossip, source: Address) -> Send:
        page, last = self._members.page(message.target, constants.PAGE_BYTES)
        return Send(
            source, GossipType.SYNC, message.sequence, last, tuple(page)
        )

    def _receive_page(self, message: Gossip) -> list[Send]:
        # An answer to an earlier refresh: it waited in the socket buffer
        # while this process was frozen and is as old as that freeze.
        if message.sequence != self._freshness.refresh_number:
            return []
        if message.target:
            return [self._request_page(message.sender, message.target)]
        key = ManifestKey(message.version, message.digest.hex())
        self._freshness.record_sync(key)
        return []

    # Updates of the view.

    def _merge(self, vm: Vm, now: float, why: ChangeReason) -> None:
        if vm.name == self._own.name:
            self._merge_own(vm, now)
            return
        change = self._members.merge(vm, now, why)
        if change is None:
            return
        self._record_change(change)
        if change.reason is ChangeReason.JOINED:
            self._heartbeats.add_member(vm.name)
        if change.reason is ChangeReason.RETURNED:
            self._heartbeats.retry_dead_soon(now)

    def _merge_own(self, vm: Vm, now: float) -> None:
        """Refutes a wrong state of the local VM reported by a peer."""
        own = self._own
        current = vm.incarnation >= own.incarnation
        wrong = vm.incarnation > own.incarnation or vm.state in (
            VmState.SUSPECT,
            VmState.DEAD,
        )
        if not current or not wrong or own.state is VmState.DEAD:
            return
        self._own = attrs.evolve(own, incarnation=vm.incarnation)
        self._update_own(why=ChangeReason.REFUTED)
        if vm.state is VmState.DEAD:
            # The others continued without this VM, so its view is stale.
            self._freshness.start_refresh(now)
            self._syncs_left = constants.REFRESH_SYNCS

    def _update_own(self, why: ChangeReason, **changed: object) -> None:
        before = self._own.state
        changed["incarnation"] = self._own.incarnation + 1
        self._own = attrs.evolve(self._own, **changed)
        self._record_change(Change(self._own, before, why))

    # Detection of pauses.

    def _detect_pause(self, now: float) -> list[Send]:
        """Detects a pause of this process and compensates for it.

        After a pause all timers have expired and the acks are still unread in
        the socket buffer. Without compensation, the process would declare the
        other members dead because of its own pause.
        """
        late = now - max(self._next_tick_s, self._last_run_s)
        gap = now - self._last_run_s
        self._last_run_s = now
        if late > self._times.pause_threshold:
            self._next_tick_s = now
            self._heartbeats.extend_timeouts(late)
            for member in self._members.live():
                if member.suspect_since is not None:
                    member.suspect_since += late
        if self._freshness.refresh_after_gap(gap, now):
            return self._ping_for_refresh(now)
        return []

    # Sending.

    def _push_urgent(self) -> list[Send]:
        """Sends the latest changes to a few members immediately.

        Flows are sent to a dead VM until the change has spread. At one message
        per interval, that would take seconds.
        """
        urgent = fit_into_budget(
            list(self._urgent.values()), constants.PAGE_BYTES
        )
        self._urgent.clear()
        return self._push(tuple(urgent)) if urgent else []

    def _record_change(self, change: Change) -> None:
        self._changes.append(change)
        self._urgent[change.vm.name] = self.latest_update(change.vm.name)

    def latest_update(self, name: str) -> Vm:
        """Returns the latest state of a VM, as announced to peers."""
        member = self._members.get(name)
        return member.vm if member else self._own

    def _push(self, vms: tuple[Vm, ...]) -> list[Send]:
        names = {vm.name for vm in vms}
        live = [each.vm for each in self._members.live()]
        others = [vm for vm in live if vm.name not in names]
        return [
            Send(gossip_address(vm), GossipType.UPDATE, members=vms)
            for vm in self._sample(others, constants.URGENT_FANOUT)
        ]

    def push_messages(self) -> list[Send]:
        """Returns messages to a few random members for urgent updates.

        The messages are empty; the sender adds the updates.
        """
        return self._push(())

    def _sample(self, population: list, most: int) -> list:
        return self._rng.sample(population, min(most, len(population)))
