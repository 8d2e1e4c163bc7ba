"""An in-memory fleet of relays with fakes at the relay's interfaces.

The fakes stand for sockets, upstreams and callers. Packets are delivered in
order unless a test says otherwise, and the test advances the clock. Tests and
benchmarks share this module.
"""

import random

import attrs

from pollenmast.fleet import VmState
from pollenmast.peers import _messages as messages
from pollenmast.relay._core import RelayCore
from pollenmast.relay._flows import Flow, FlowState, Listener
from pollenmast.relay._table import Transport
from pollenmast.upstreams._paths import Path
from standins._tagged import (
    connection_id_of,
    early_data,
    initial,
    server_initial,
    short,
    tag_of,
    text_of,
)
from standins.samples import (
    BARCODES,
    KEY,
    REGISTRY,
    manifest,
    reports_of,
    settings,
    vm,
)

TICK_S = 0.02

__all__ = [
    "BARCODES",
    "KEY",
    "REGISTRY",
    "FakeListener",
    "FakePath",
    "FakeTransport",
    "Net",
    "Session",
    "address_of",
    "connection_id_of",
    "early_data",
    "initial",
    "manifest",
    "reports_of",
    "server_initial",
    "settings",
    "short",
    "tag_of",
    "text_of",
    "vm",
]


class FakeListener(Listener):
    """A service's port whose answers the network records."""

    def __init__(self, service, net):
        super().__init__(service)
        self._net = net

    def send(self, data, caller):
        """Records an answer to a caller."""
        self._net.answers.append((caller, data))

    def close(self):
        """Does nothing."""


class FakePath(Path):
    """A local port that delivers packets to the network's upstreams."""

    def __init__(self, net, number):
        super().__init__()
        self._net = net
        self.number = number

    def send(self, data, upstream):
        """Delivers a packet to the upstream."""
        self._net.at_upstream(self, data, upstream)

    def close(self):
        """Does nothing."""


class FakeTransport(Transport):
    """The sockets of one fake VM."""

    def __init__(self, net, number: int):
        self._net = net
        self.number = number

    def open_listener(self, service):
        """Opens a fake port."""
        return FakeListener(service, self._net)

    def open_path(self):
        """Opens a fake path."""
        return FakePath(self._net, self.number)

    def send_peer(self, data, address):
        """Sends an envelope to another fake VM."""
        self._net.peer(self.number, data, address)


@attrs.define
class Session:
    """An upstream's state of one caller's session.

    Attributes:
        upstream: The endpoint's address.
        path: The path that answers take, which is that of the last packet.
        ran: Texts of the packets that the upstream ran, in order.
    """

    upstream: tuple[str, int]
    path: FakePath
    ran: list[str] = attrs.field(factory=list)


class Net:
    """Relays, upstreams and callers in memory.

    Attributes:
        now: The current time.
        relays: The running relays, by VM number.
        answers: Packets sent to callers, as (caller, data).
        sessions: The callers' sessions, by tag.
        strangers: Packets that reached an upstream without their session, as
            (tag, upstream).
        silent_paths: Paths whose packets are lost in the network.
        silent_upstreams: Addresses of upstreams that do not answer.
        cut: Function of two VM numbers, source and target, that returns
            whether a message between them is lost.
    """

    def __init__(self, vms: int = 3, seed: int = 1, **relay):
        self.now = 1000.0
        self.relays: dict[int, RelayCore] = {}
        self.answers: list[tuple[tuple[str, int], bytes]] = []
        self.sessions: dict[str, Session] = {}
        self.strangers: list[tuple[str, tuple[str, int]]] = []
        self.silent_paths: set[FakePath] = set()
        self.silent_upstreams: set[tuple[str, int]] = set()
        self.cut = lambda source, target: False
        self.manifest = manifest()
        self.vms = {number: vm(number) for number in range(1, vms + 1)}
        self._settings = relay
        self._queue: list[tuple[int, bytes]] = []
        self._random = random.Random(seed)
        for number in self.vms:
            self.start(number)

    def start(self, number: int) -> None:
        """Starts a VM's relay and publishes the new list of VMs."""
        self.vms.setdefault(number, vm(number))
        self.relays[number] = RelayCore(
            settings(number, **self._settings),
            FakeTransport(self, number),
            random.Random(number),
            self.now,
        )
        self.publish()

    def kill(self, number: int) -> None:
        """Stops a VM abruptly; the others still regard it as live."""
        del self.relays[number]

    def publish(self, only: tuple[int, ...] | None = None) -> None:
        """Sends the manifest and the list of VMs to running relays.

        Args:
            only: Numbers of the VMs to send to; None for all.
        """
        for number, core in self.relays.items():
            if only is not None and number not in only:
                continue
            core.on_view(self.view(core), self.now)

    def view(self, core: RelayCore) -> messages.FleetView:
        """Returns the view that a relay's agent would send now."""
        return messages.FleetView(
            sequence=1,
            manifest=self.manifest,
            version=1,
            digest="",
            vms=tuple(self.vms.values()),
            reports=reports_of(self.manifest),
            wake_seen=core.report(self.now).wake,
        )

    def declare_dead(self, number: int) -> None:
        """Removes a VM from the list and publishes the list."""
        self.vms.pop(number, None)
        self.publish()

    def declare_leaving(self, number: int) -> None:
        """Marks a VM as leaving and starts to drain its relay."""
        self.vms[number] = vm(number, state=VmState.LEAVING)
        self.publish()
        self.relays[number].drain()

    def advance(self, seconds: float, renew: bool = True) -> None:
        """Advances the clock in ticks and delivers messages.

        Args:
            seconds: The time to advance.
            renew: Whether agents renew their relays' views meanwhile.
        """
        for step in range(round(seconds / TICK_S)):
            self.now += TICK_S
            if renew and step % 25 == 0:
                self.publish()
            for core in list(self.relays.values()):
                core.tick(self.now)
            self.deliver()

    def send(
        self,
        tag: str,
        data: bytes,
        to: int | None = None,
        service: int = REGISTRY,
        caller: tuple[str, int] | None = None,
    ) -> None:
        """Sends a caller's datagram to a VM, by default a random one."""
        number = to or self._random.choice(sorted(self.relays))
        core = self.relays.get(number)
        if core is None:
            return
        listener = core.table.listener(service)
        core.on_caller(listener, data, caller or address_of(tag), self.now)
        self.deliver()

    def open(self, tag: str, to: int | None = None, service=REGISTRY) -> None:
        """Opens a caller's session."""
        self.send(tag, initial(tag), to, service)

    def say(self, tag: str, text: str, to: int | None = None) -> None:
        """Sends a packet of an established session."""
        self.send(tag, short(tag, text), to)

    def keep_alive(self, tags: list[str], seconds: float) -> None:
        """Advances the clock while callers send only keep-alives."""
        for _ in range(round(seconds)):
            self.advance(1.0)
            for tag in tags:
                self.say(tag, "")

    def deliver(self) -> None:
        """Delivers queued envelopes until the queue is empty."""
        while self._queue:
            number, data = self._queue.pop(0)
            core = self.relays.get(number)
            if core is not None:
                core.on_peer(data, self.now)

    def peer(self, source: int, data: bytes, address) -> None:
        """Queues an envelope for another VM, unless it is lost."""
        target = int(address[0].rsplit(".", 1)[1])
        if not self.cut(source, target):
            self._queue.append((target, data))

    def at_upstream(self, path: FakePath, data: bytes, upstream) -> None:
        """Handles a packet at an upstream, which answers on the same path."""
        tag = tag_of(data)
        if path in self.silent_paths or upstream in self.silent_upstreams:
            return
        if data[0] & 0x80:
            self.sessions.setdefault(tag, Session(upstream, path))
        session = self.sessions.get(tag)
        if session is None or session.upstream != upstream:
            self.strangers.append((tag, upstream))
            return
        session.path = path
        if data[0] & 0x80:
            self._answer(tag, server_initial(tag))
            return
        text = text_of(data)
        if text:
            session.ran.append(text)
        self.answer(tag)

    def answer(self, tag: str, text: str = "ok") -> None:
        """Sends a packet from the upstream on a caller's session."""
        self._answer(tag, short(tag, text))

    def _answer(self, tag: str, data: bytes) -> None:
        session = self.sessions[tag]
        core = self.relays.get(session.path.number)
        flow = session.path.flows.get(session.upstream)
        if core is None or flow is None:
            return
        if flow.state is not FlowState.ESTABLISHED:
            core.on_first_answer(flow, data, self.now)
        flow.answered_tick = core.tick_now
        flow.unanswered = 0
        flow.target.answered_tick = core.tick_now
        flow.listener.send(data, flow.caller)

    def answers_to(self, tag: str) -> list[bytes]:
        """Returns the packets that were sent to a caller."""
        return [
            data for caller, data in self.answers if caller == address_of(tag)
        ]

    def holders(self, tag: str) -> list[int]:
        """Returns the VMs that hold a flow of this caller."""
        caller = address_of(tag)
        return [
            number
            for number, core in self.relays.items()
            if any(caller in each.flows for each in core.table.listeners)
        ]

    def flow(self, tag: str) -> Flow:
        """Returns a caller's flow at the VM that holds it."""
        (number,) = self.holders(tag)
        caller = address_of(tag)
        return next(
            each.flows[caller]
            for each in self.relays[number].table.listeners
            if caller in each.flows
        )

    def dropped(self, definition, reason) -> int:
        """Returns a counter's sum over the running relays."""
        return sum(
            core.counters.value(definition, reason)
            for core in self.relays.values()
        )


def address_of(tag: str) -> tuple[str, int]:
    """Returns the address of a caller."""
    number = int("".join(filter(str.isdigit, tag)) or 0)
    return (f"10.0.{number // 250}.{number % 250 + 1}", 30000 + number)
