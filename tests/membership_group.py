"""Simulates a group of members that exchange messages, on a simulated clock.

It uses no network and never sleeps. Each message is delivered after a fixed
delay unless the group is set to drop, delay or duplicate messages.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from pollenmast.decisions._dissemination import Dissemination
from pollenmast.decisions._heartbeats import Send
from pollenmast.decisions._membership import Membership
from pollenmast.fleet import Vm, VmState
from pollenmast.manifest import ManifestKey
from pollenmast.peers import _gossip
from pollenmast.peers._gossip import Gossip, GossipType

DELAY_S = 0.002
STEP_S = 0.01
ZONES = ("hall-bor", "hall-fres", "hall-sag")


def vm(number: int, incarnation: int = 100) -> Vm:
    """Returns the VM with this number; its name and address derive from it."""
    return Vm(
        name=f"vm-{number}",
        zone=ZONES[number % len(ZONES)],
        address=f"127.0.1.{number + 1}",
        relay_port=7001,
        gossip_port=7003,
        fetch_port=7004,
        incarnation=incarnation,
    )


@attrs.define
class Node:
    """One member, with its queued updates and the state of its process.

    Attributes:
        membership: The code under test.
        key: Key of the manifest that the member has in force.
        news: Queued updates about members.
        paused: Whether the process is paused.
        ended: Whether the process has stopped or was killed.
        inbox: Messages received during a pause, with their source addresses.
        sent: Total size of the messages sent, in bytes.
    """

    membership: Membership
    key: ManifestKey = ManifestKey()
    news: Dissemination = attrs.field(factory=Dissemination)
    paused: bool = False
    ended: bool = False
    inbox: list = attrs.field(factory=list)
    sent: int = 0

    @property
    def name(self) -> str:
        """The member's name."""
        return self.membership.own.name

    def states(self) -> dict[str, VmState]:
        """Returns its view of the states of the other live members, by name."""
        others = self.membership.vms()[1:]
        return {each.name: each.state for each in others}


class Group:
    """The simulated members, their messages in transit and the clock.

    Attributes:
        now: Current time of the simulated clock, in seconds.
        rng: Random number generator from which members are seeded.
        lost: Returns whether to drop a message, given the names of its sender
            and its receiver.
        twice: Whether each message is delivered twice.
        late_s: Returns the additional delay of a message, in seconds.
        nodes: All members by name, stopped ones included.
    """

    def __init__(self, size: int, seed: int = 1):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.lost: Callable[[str, str], bool] = lambda source, to: False
        self.twice = False
        self.late_s: Callable[[], float] = lambda: 0.0
        self._messages: list = []
        self._order = itertools.count()
        self._listed = [vm(number) for number in range(size)]
        self.nodes: dict[str, Node] = {}
        for each in self._listed:
            self.start(each)
        self.run(3.0)

    def start(self, own: Vm, seeds=(), listed: bool = True) -> Node:
        """Starts or restarts a member."""
        rng = random.Random(self.rng.random())
        member = Membership(own, self.now, rng, seeds=seeds)
        node = self.nodes[own.name] = Node(member)
        if listed:
            self.send(node, member.update_listed(self._listed, self.now))
        return node

    def run(self, seconds: float) -> None:
        """Advances the clock by this time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._deliver()
            for node in list(self.nodes.values()):
                running = not node.paused and not node.ended
                if running and node.membership.due() <= self.now:
                    self.send(node, node.membership.tick(self.now))

    def until(self, met: Callable[[], bool], timeout_s: float) -> float:
        """Runs until `met()` is true; returns the time taken, in seconds.

        Raises:
            AssertionError: `met()` is still false after `timeout_s`.
        """
        started = self.now
        while not met():
            if self.now - started > timeout_s:
                raise AssertionError(f"condition not met within {timeout_s} s")
            self.run(STEP_S)
        return self.now - started

    def pause(self, node: Node, seconds: float) -> None:
        """Pauses a member for a time, then delivers its buffered messages."""
        node.paused = True
        self.run(seconds)
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for message, source in inbox:
            self._receive(node, message, source)

    def send(self, node: Node, sends: list[Send]) -> None:
        """Sends a member's messages, with its queued updates added."""
        for change in node.membership.take_changes():
            told = node.membership.latest_update(change.vm.name)
            node.news.add(told.name, told, _gossip.member_size(told))
        for send in sends:
            carries = send.act in (GossipType.PING, GossipType.ACK)
            news = node.news.pick(500, len(self.nodes)) if carries else ()
            message = Gossip(
                act=send.act,
                sequence=send.sequence,
                sender=node.membership.own,
                target=send.target,
                version=node.key.version,
                digest=bytes.fromhex(node.key.digest),
                members=send.members + news,
            )
            data = _gossip.encode(message)
            node.sent += len(data)
            self._post(node, data, send.to)

    def _post(self, node: Node, data: bytes, to: tuple[str, int]) -> None:
        target = self._at(to)
        if target is None or self.lost(node.name, target.name):
            return
        own = node.membership.own
        source = (own.address, own.gossip_port)
        for _ in range(2 if self.twice else 1):
            at = self.now + DELAY_S + self.late_s()
            entry = (at, next(self._order), to, data, source)
            heapq.heappush(self._messages, entry)

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.now:
            _, _, to, data, source = heapq.heappop(self._messages)
            node = self._at(to)
            if node is None or node.ended:
                continue
            message = _gossip.decode(data).unwrap()
            if node.paused:
                node.inbox.append((message, source))
            else:
                self._receive(node, message, source)

    def _receive(self, node: Node, message: Gossip, source) -> None:
        sends = node.membership.receive(message, source, self.now)
        self.send(node, sends)

    def _at(self, address: tuple[str, int]) -> Node | None:
        for node in self.nodes.values():
            if node.membership.own.address == address[0]:
                return node
        return None
