"""Short fixed runs of the rules, each of which exercises one invariant."""

from pollenmast.peers._envelope import MAX_SENDERS, Opener, Sealer
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import FlowRecord, RecordAction, pack_records
from standins import memory as fakes
from tests.proof import _traffic as traffic
from tests.proof._machine import FleetMachine
from tests.proof._oracle import Invariant, Stage, ViolationError

_REGISTRY, _BARCODES = traffic.REGISTRY, traffic.BARCODES


def _begin(vms: int = 3, keep_alive: bool = False) -> FleetMachine:
    machine = FleetMachine()
    machine.begin(seed=0, vms=vms, keep_alive=keep_alive)
    return machine


def _open(machine: FleetMachine, count: int, service=_REGISTRY) -> None:
    for to in range(count):
        machine.open(service=service, count=1, early=False, to=to)
    machine.all_say()


def _drain(machine: FleetMachine, name: str) -> None:
    machine.plan(name=name, kind="draining")


def join_during_sessions() -> None:
    """A VM joins while sessions are open on non-default endpoints."""
    machine = _begin()
    _drain(machine, "registry-0")
    machine.wait(seconds=3.0)
    _open(machine, 16)
    _drain(machine, "registry-0")
    machine.wait(seconds=7.0)
    machine.join(number=4)
    for _ in range(24):
        machine.wait(seconds=0.05)
        machine.all_say()
    machine.teardown()


def kill_after_drain() -> None:
    """A VM that carries sessions on non-default endpoints is killed."""
    machine = _begin(keep_alive=True)
    _drain(machine, "registry-0")
    machine.wait(seconds=3.0)
    _open(machine, 16)
    _drain(machine, "registry-0")
    machine.wait(seconds=7.0)
    machine.wait(seconds=7.0)
    machine.kill(which=0)
    machine.wait(seconds=3.0)
    machine.all_say()
    machine.teardown()


def caller_moves() -> None:
    """Callers change address by a NAT rebinding while nothing else changes."""
    machine = _begin()
    _open(machine, 12)
    machine.wait(seconds=3.0)
    machine.all_say()
    machine.wait(seconds=7.0)
    for which in range(12):
        machine.move_caller(which=which)
    machine.all_say()
    machine.teardown()


def lost_path() -> None:
    """A middlebox loses its state of one of several sessions of an endpoint."""
    machine = _begin(vms=2)
    _open(machine, 20)
    machine.lose_path(which=0)
    machine.teardown()


def reused_port() -> None:
    """A port is reassigned, then the only VM with a session is killed."""
    machine = _begin()
    _open(machine, 12)
    machine.swap_ports(pair=(1, 3))
    machine.wait(seconds=3.0)
    _kill_without_replicas(machine)
    machine.all_say()


def reused_port_and_joins() -> None:
    """As `reused_port`, but a VM joins after the port was reassigned.

    The manifest does not say that the port belonged to another service: the
    VM has to learn it from the VMs that it asks.
    """
    machine = _begin()
    machine.world.plan.includes_port_since = False
    _open(machine, 20)
    machine.swap_ports(pair=(1, 3))
    machine.wait(seconds=3.0)
    machine.join(number=4)
    machine.wait(seconds=1.0)
    _kill_without_replicas(machine)
    machine.all_say()


def _kill_without_replicas(machine: FleetMachine) -> None:
    """Kills a VM after all replicas of flow records were dropped."""
    world = machine.world
    for node in world.nodes.values():
        replicas = node.core.record_exchange.replicas
        replicas.drop_holders(replicas.holders())
    machine.kill(which=0)
    machine.wait(seconds=3.0)


def late_answers() -> None:
    """Responses arrive late and out of order."""
    machine = _begin()
    _open(machine, 8)
    for number in range(3):
        machine.slow(name=f"registry-{number}")
    machine.all_say()
    machine.late_answers(order=[5, 3, 1, 7, 0, 2])
    machine.teardown()


def answer_after_retry() -> None:
    """An endpoint responds after its flow was retried at another endpoint.

    The port that it responds to must not belong to another caller by then.
    """
    machine = _begin(vms=2)
    for number in range(3):
        machine.slow(name=f"registry-{number}")
    machine.open(service=_REGISTRY, count=4, early=False, to=0)
    machine.wait(seconds=0.4)
    machine.open(service=_REGISTRY, count=4, early=False, to=0)
    for order in range(8):
        machine.late_answers(order=[order])
    machine.teardown()


def mute_upstreams() -> None:
    """Requests in 0-RTT are passed on, but no response ever arrives."""
    machine = _begin()
    for number in range(3):
        machine.fail(name=f"barcodes-{number}", kind="mute")
    machine.open(service=_BARCODES, count=4, early=True, to=0)
    machine.wait(seconds=3.0)
    machine.teardown()


def mute_only_upstream() -> None:
    """As `mute_upstreams`, but with one endpoint and so nowhere to retry."""
    machine = _begin()
    for number in (1, 2):
        machine.plan(name=f"barcodes-{number}", kind="gone")
    machine.wait(seconds=3.0)
    machine.fail(name="barcodes-0", kind="mute")
    machine.open(service=_BARCODES, count=4, early=True, to=0)
    machine.wait(seconds=3.0)
    machine.teardown()


def quiet_after_opening() -> None:
    """A session is idle for some seconds after its first response."""
    machine = _begin()
    _open(machine, 6)
    machine.wait(seconds=7.0)
    machine.all_say()
    machine.teardown()


def early_data_retried() -> None:
    """Non-idempotent requests arrive in 0-RTT while no endpoint responds."""
    machine = _begin()
    for number in range(3):
        machine.fail(name=f"registry-{number}", kind="mute")
    machine.open(service=_REGISTRY, count=4, early=True, to=0)
    machine.wait(seconds=3.0)
    machine.teardown()


def drain() -> None:
    """An endpoint drains while callers open new sessions."""
    machine = _begin()
    _open(machine, 6)
    _drain(machine, "registry-0")
    machine.wait(seconds=7.0)
    _open(machine, 18)
    machine.teardown()


def wake_after_drain() -> None:
    """A VM is suspended during a release while packets queue in its socket."""
    machine = _begin()
    machine.wait(seconds=3.0)
    number = machine.callers.vm_number(0)
    machine.freeze_or_wake(which=0)
    _drain(machine, "registry-0")
    machine.wait(seconds=7.0)
    for _ in range(24):
        machine.open(service=_REGISTRY, count=1, early=False, to=number - 1)
    machine.freeze_or_wake(which=0)
    machine.teardown()


def planned_stop() -> None:
    """A VM is stopped as planned while sessions are open."""
    machine = _begin(keep_alive=True)
    _open(machine, 12)
    machine.wait(seconds=3.0)
    machine.stop(which=0)
    machine.wait(seconds=3.0)
    machine.teardown()


def planned_stop_slow_answers() -> None:
    """Responses arrive while the VM that passed on the requests leaves."""
    machine = _begin(keep_alive=True)
    _open(machine, 12)
    for number in range(3):
        machine.slow(name=f"registry-{number}")
    machine.all_say()
    machine.stop(which=0)
    machine.wait(seconds=3.0)
    machine.late_answers(order=[0, 0, 0, 0, 0, 0])
    machine.teardown()


def planned_stop_to_the_end() -> None:
    """A planned stop ends well within its grace time."""
    machine = _begin(keep_alive=True)
    _open(machine, 12)
    machine.stop(which=0)
    for _ in range(10):
        machine.wait(seconds=7.0)
    machine.teardown()


def stale_platform_and_agent() -> None:
    """Agents restart while the platform serves its first manifest."""
    machine = _begin(vms=2)
    _drain(machine, "registry-0")
    machine.wait(seconds=3.0)
    for zone in traffic.ZONES:
        machine.go_stale(zone=zone)
    machine.world.partition("zone-b")
    machine.world.partition("zone-c")
    machine.restart_agent(which=0)
    machine.restart_agent(which=1)
    machine.wait(seconds=3.0)
    machine.teardown()


def stale_platform() -> None:
    """The platform serves an old manifest in one availability zone."""
    machine = _begin()
    _drain(machine, "registry-0")
    machine.wait(seconds=3.0)
    machine.go_stale(zone="zone-b")
    machine.wait(seconds=3.0)
    machine.teardown()


def forged_envelope() -> None:
    """A sender without the key forges a record that would redirect a caller."""
    machine = _begin(vms=2)
    core = machine.world.nodes[1].core
    record = FlowRecord(4001, "10.0.0.9", 30000, 7, RecordAction.REPLICATE)
    body = bytes(4) + pack_records([record])
    genuine = Sealer("vm-2", fakes.KEY).seal(MessageType.RECORDS, body)
    for place in range(len(genuine)):
        bent = bytes([genuine[place] ^ 1])
        forged = genuine[:place] + bent + genuine[place + 1 :]
        core.on_peer(forged, machine.world.now)
        core.on_peer(genuine[:place], machine.world.now)
    if len(core.record_exchange.replicas):
        raise ViolationError(Invariant.AUTHENTIC, "a forged record was kept")


def replayed_envelope() -> None:
    """A captured record is replayed after its flow has ended."""
    machine = _begin(vms=2)
    core, now = machine.world.nodes[1].core, machine.world.now
    sealer = Sealer("vm-2", fakes.KEY)
    bodies = [
        bytes(4) + pack_records([FlowRecord(4001, "10.0.0.9", 30000, 7, flag)])
        for flag in (RecordAction.REPLICATE, RecordAction.DELETE)
    ]
    keep, forget = [sealer.seal(MessageType.RECORDS, body) for body in bodies]
    for data in (keep, forget, keep):
        core.on_peer(data, now)
    if len(core.record_exchange.replicas):
        raise ViolationError(Invariant.AUTHENTIC, "a replayed record was kept")


def flood() -> None:
    """Packets arrive for sessions that were never opened."""
    machine = _begin(vms=1)
    for upstream in range(3):
        machine.fail(name=f"registry-{upstream}", kind="dead")
    node = machine.world.nodes[1]
    listener = node.core.table.listener(_REGISTRY.number)
    stray = b"\x41" + bytes(60)
    for number in range(300):
        caller = ("10.9.0.1", 20000 + number)
        node.core.on_caller(listener, stray, caller, machine.world.now)
    machine.wait(seconds=7.0)
    if node.core.table.flows:
        raise ViolationError(Invariant.BOUNDED, "guessed flows remain")
    if machine.callers.in_stage(Stage.OPEN):
        raise ViolationError(
            Invariant.BOUNDED, "a flow was opened from stray packets"
        )


def many_senders() -> None:
    """Envelopes arrive from ever more senders that have the key."""
    opener = Opener(fakes.KEY)
    for number in range(MAX_SENDERS + 50):
        data = Sealer(f"vm-{number}", fakes.KEY).seal(MessageType.GOSSIP, b"")
        opener.open(data, 0.0)
    if len(opener._windows) > MAX_SENDERS:
        raise ViolationError(
            Invariant.BOUNDED, "the number of remembered senders is unbounded"
        )
