"""Gossip messages between agents: types, codec and validation."""

import enum
import functools
import ipaddress
import operator
from collections.abc import Callable

import attrs
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter
from result import Err, Ok, Result

from pollenmast.counters import EnvelopeFault
from pollenmast.fleet import EndpointReport, Vm, VmState

MAX_BODY_BYTES = 1200
"""Limit on an encoded message. With its envelope it stays below 1,280 bytes,
the minimum MTU of IPv6, so that no path fragments it."""

MAX_NAME_LENGTH = 64
"""Limit on the length of the name of a VM, availability zone or endpoint."""

NUMBER_LIMIT = 1 << 62
"""Numbers from this value on are rejected. If an update about a VM had such a
large incarnation, the VM could never exceed it, and so never refute the update.
"""

DIGEST_BYTES = 16
"""Length of a manifest's digest, in bytes."""

_OVERHEAD_BYTES = 64
"""Upper bound on the bytes of a message's numbers, digest and framing."""


class GossipType(enum.IntEnum):
    """The type of a gossip message."""

    PING = 0
    """Requests an ACK."""

    ACK = 1
    """Acknowledges the PING or PING_REQUEST with the same sequence number."""

    PING_REQUEST = 2
    """Requests an indirect probe: ping the target, which has not answered."""

    UPDATE = 3
    """Carries updates and needs no answer."""

    SYNC_REQUEST = 4
    """Requests a SYNC page of the members whose names sort after `target`."""

    SYNC = 5
    """A page of members. `target` is the last name of the page, or empty if
    there are no more pages."""


@attrs.frozen
class ProbeUpdate:
    """An endpoint's report, and the agent that probed it.

    Attributes:
        prober: Hash of the probing VM's name.
        report: The result of the probe.
    """

    prober: int
    report: EndpointReport


@attrs.frozen
class Gossip:
    """One message between two agents.

    Attributes:
        act: The type of the message.
        sequence: Number that matches a response to its request.
        sender: The sending VM's own entry.
        target: Name of the VM that the message concerns; see `GossipType`.
        version: Version of the manifest in force at the sender.
        digest: Digest of that manifest, empty if there is none.
        members: Updates of VMs.
        probes: Updates of endpoints.
    """

    act: GossipType
    sequence: int
    sender: Vm
    target: str = ""
    version: int = 0
    digest: bytes = b""
    members: tuple[Vm, ...] = ()
    probes: tuple[ProbeUpdate, ...] = ()


# Fields are encoded by position; their names would take two thirds of a
# message.
_CONVERTER = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def _require_type(*allowed: type) -> Callable[[object], object]:
    def read(value: object) -> object:
        if type(value) not in allowed:
            raise TypeError(type(value).__name__)
        return value

    return read


_read_text, _read_number, _read_flag = (
    _require_type(str),
    _require_type(int),
    _require_type(bool),
)
_read_seconds = _require_type(float, int)


def _register_positional(
    cls: type, fields: dict[str, Callable[[object], object]]
) -> Callable[..., object]:
    """Registers a positional codec for a flat class; returns its decoder.

    The tuple strategy of cattrs dispatches on every attribute; with it, a
    message with twenty instances took a third of a millisecond to decode.

    Args:
        cls: An attrs class without nested classes.
        fields: The decoder of each field, in the order of the class.
    """
    names, readers = tuple(fields), tuple(fields.values())
    assert names == tuple(field.name for field in attrs.fields(cls))
    get_fields = operator.attrgetter(*names)

    def structure(values: list, _: type = cls) -> object:
        if len(values) != len(readers):
            raise ValueError(cls.__name__)
        read = [reader(v) for reader, v in zip(readers, values, strict=True)]
        return cls(*read)

    _CONVERTER.register_structure_hook(cls, structure)
    _CONVERTER.register_unstructure_hook(cls, get_fields)
    return structure


_register_positional(
    Vm,
    {
        "name": _read_text,
        "zone": _read_text,
        "address": _read_text,
        "relay_port": _read_number,
        "gossip_port": _read_number,
        "fetch_port": _read_number,
        "incarnation": _read_number,
        "state": VmState,
        "relay_up": _read_flag,
    },
)
_read_report = _register_positional(
    EndpointReport,
    {
        "service": _read_number,
        "endpoint": _read_text,
        "sequence": _read_number,
        "healthy": _read_flag,
        "running": _read_number,
        "queued": _read_number,
        "connections": _read_number,
        "finished": _read_number,
        "uptime_s": _read_seconds,
    },
)
_CONVERTER.register_structure_hook(
    ProbeUpdate,
    lambda values, _: ProbeUpdate(
        _read_number(values[0]), _read_report(values[1])
    ),
)


def member_size(vm: Vm) -> int:
    """Returns an upper bound on the encoded size of a VM, in bytes."""
    return 40 + len(vm.name) + len(vm.zone) + len(vm.address)


def probe_size(update: ProbeUpdate) -> int:
    """Returns an upper bound on the encoded size of a probe, in bytes."""
    return 38 + len(update.report.endpoint)


def remaining_bytes(sender: Vm, target: str, members: tuple[Vm, ...]) -> int:
    """Returns the bytes that remain for optional updates in a message.

    Args:
        sender: The sending VM.
        target: The message's target.
        members: Updates that the message must carry.
    """
    told = sum(map(member_size, members)) + member_size(sender)
    return max(0, MAX_BODY_BYTES - _OVERHEAD_BYTES - len(target) - told)


def encode(message: Gossip) -> bytes:
    """Returns the encoded message."""
    return _CONVERTER.dumps(message)


def decode(data: bytes) -> Result[Gossip, EnvelopeFault]:
    """Returns the decoded and validated message, or why it is dropped."""
    if len(data) > MAX_BODY_BYTES:
        return Err(EnvelopeFault.OVERSIZED)
    try:
        message = _CONVERTER.loads(data, Gossip)
    # The libraries raise many types of exceptions on hostile input. All of
    # them mean malformed input, and an uncaught one would stop the process.
    except Exception:  # noqa: BLE001
        return Err(EnvelopeFault.MALFORMED)
    if not _is_valid(message):
        return Err(EnvelopeFault.MALFORMED)
    return Ok(message)


def _is_valid(message: Gossip) -> bool:
    numbers = (message.sequence, message.version)
    return (
        all(0 <= number < NUMBER_LIMIT for number in numbers)
        and len(message.digest) in (0, DIGEST_BYTES)
        and len(message.target) <= MAX_NAME_LENGTH
        and is_valid_vm(message.sender)
        and all(is_valid_vm(vm) for vm in message.members)
        and all(_is_valid_probe(update) for update in message.probes)
    )


@functools.lru_cache(4096)
def is_ipv4_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address.

    The system looks up anything else as a host name when it sends, and the
    event loop would block meanwhile.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_valid_vm(vm: Vm) -> bool:
    """Returns whether names, ports, address and incarnation are valid."""
    ports = (vm.relay_port, vm.gossip_port, vm.fetch_port)
    return (
        all(0 < port < 65_536 for port in ports)
        and 0 < len(vm.name) <= MAX_NAME_LENGTH
        and 0 < len(vm.zone) <= MAX_NAME_LENGTH
        and is_ipv4_address(vm.address)
        and 0 <= vm.incarnation < NUMBER_LIMIT
    )


def _is_valid_probe(update: ProbeUpdate) -> bool:
    report = update.report
    numbers = (
        report.service,
        report.sequence,
        report.running,
        report.queued,
        report.connections,
        report.finished,
        report.uptime_s,
    )
    return (
        all(0 <= number < NUMBER_LIMIT for number in numbers)
        and 0 < len(report.endpoint) <= MAX_NAME_LENGTH
        and 0 <= update.prober < 1 << 32
    )
