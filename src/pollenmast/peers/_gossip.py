"""Gossip between agents: its messages, their bytes and their bounds."""

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

MOST_BODY_BYTES = 1200
"""A gossip body fits one unfragmented datagram on any path: 1,280 bytes is
the least that IPv6 carries, and it stays below that with its envelope."""

MOST_NAME = 64
"""Longest name of a VM, availability zone or endpoint on the wire."""

MOST_NUMBER = 1 << 62
"""Counters above this are no counters; an incarnation that large could never
be outgrown by the VM that it speaks of."""

DIGEST_BYTES = 16

_FIXED_BYTES = 64
"""Numbers, digest and framing of a message, at the most."""


class Act(enum.IntEnum):
    """What a gossip message asks for."""

    PING = 0
    """Answer with ACK."""

    ACK = 1
    """Answers the PING of the same sequence."""

    PING_REQUEST = 2
    """Ping the target for the sender, which did not hear from it."""

    NEWS = 3
    """Asks for nothing; carries news."""

    SYNC_REQUEST = 4
    """Answer with the members whose names come after the target."""

    SYNC = 5
    """A page of members; the target is the last name, empty at the end."""


@attrs.frozen
class ProbeNews:
    """An endpoint's report and which agent probed it.

    Attributes:
        prober: Hash of the probing VM's name.
        report: What the endpoint said.
    """

    prober: int
    report: EndpointReport


@attrs.frozen
class Gossip:
    """One message between two agents.

    Attributes:
        act: What it asks for.
        sequence: Ties an answer to what it answers.
        sender: The sending VM as it sees itself.
        target: The VM that is spoken of or to; see `Act`.
        version: Version of the manifest in force at the sender.
        digest: Digest of that manifest, empty without one.
        members: News of VMs.
        probes: News of endpoints.
    """

    act: Act
    sequence: int
    sender: Vm
    target: str = ""
    version: int = 0
    digest: bytes = b""
    members: tuple[Vm, ...] = ()
    probes: tuple[ProbeNews, ...] = ()


# Fields travel by position: names of fields would be two thirds of a message.
_CONVERTER = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def _exactly(*allowed: type) -> Callable[[object], object]:
    def read(value: object) -> object:
        if type(value) not in allowed:
            raise TypeError(type(value).__name__)
        return value

    return read


_text, _number, _flag = _exactly(str), _exactly(int), _exactly(bool)
_seconds = _exactly(float, int)


def _by_position(
    cls: type, fields: dict[str, Callable[[object], object]]
) -> Callable[..., object]:
    """Registers how a flat class travels; returns its reader.

    cattrs reads classes by position one attribute at a time, through its
    dispatch; a message with twenty of them took a third of a millisecond.
    """
    names, readers = tuple(fields), tuple(fields.values())
    assert names == tuple(field.name for field in attrs.fields(cls))
    take = operator.attrgetter(*names)

    def structure(values: list, _: type = cls) -> object:
        if len(values) != len(readers):
            raise ValueError(cls.__name__)
        read = [reader(v) for reader, v in zip(readers, values, strict=True)]
        return cls(*read)

    _CONVERTER.register_structure_hook(cls, structure)
    _CONVERTER.register_unstructure_hook(cls, take)
    return structure


_by_position(
    Vm,
    {
        "name": _text,
        "zone": _text,
        "address": _text,
        "relay_port": _number,
        "gossip_port": _number,
        "fetch_port": _number,
        "incarnation": _number,
        "state": VmState,
        "relay_up": _flag,
    },
)
_read_report = _by_position(
    EndpointReport,
    {
        "service": _number,
        "endpoint": _text,
        "sequence": _number,
        "healthy": _flag,
        "running": _number,
        "queued": _number,
        "connections": _number,
        "finished": _number,
        "uptime_s": _seconds,
    },
)
_CONVERTER.register_structure_hook(
    ProbeNews,
    lambda values, _: ProbeNews(_number(values[0]), _read_report(values[1])),
)


def member_size(vm: Vm) -> int:
    """Returns at most how many bytes a VM takes in a message."""
    return 40 + len(vm.name) + len(vm.zone) + len(vm.address)


def probe_size(news: ProbeNews) -> int:
    """Returns at most how many bytes an endpoint's news takes."""
    return 38 + len(news.report.endpoint)


def room(sender: Vm, target: str, members: tuple[Vm, ...]) -> int:
    """Returns the bytes that are left for news beside what must be told."""
    told = sum(map(member_size, members)) + member_size(sender)
    return max(0, MOST_BODY_BYTES - _FIXED_BYTES - len(target) - told)


def encode(message: Gossip) -> bytes:
    """Returns the message as bytes."""
    return _CONVERTER.dumps(message)


def decode(data: bytes) -> Result[Gossip, EnvelopeFault]:
    """Returns the message that the bytes hold, or why they hold none."""
    if len(data) > MOST_BODY_BYTES:
        return Err(EnvelopeFault.OVERSIZED)
    try:
        message = _CONVERTER.loads(data, Gossip)
    # The library raises an open set of types on hostile bytes; all of them
    # mean the same here, and an escape would stop the process.
    except Exception:  # noqa: BLE001
        return Err(EnvelopeFault.MALFORMED)
    if not _possible(message):
        return Err(EnvelopeFault.MALFORMED)
    return Ok(message)


def _possible(message: Gossip) -> bool:
    numbers = (message.sequence, message.version)
    return (
        all(0 <= number < MOST_NUMBER for number in numbers)
        and len(message.digest) in (0, DIGEST_BYTES)
        and len(message.target) <= MOST_NAME
        and possible_vm(message.sender)
        and all(possible_vm(vm) for vm in message.members)
        and all(_possible_probe(news) for news in message.probes)
    )


@functools.lru_cache(4096)
def is_ip_number(text: str) -> bool:
    """Returns whether a text is an IPv4 number.

    The system looks up the name of anything else when it sends, and the
    whole loop would wait for the answer.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def possible_vm(vm: Vm) -> bool:
    """Returns whether a VM could be one: its names, ports and numbers."""
    ports = (vm.relay_port, vm.gossip_port, vm.fetch_port)
    return (
        all(0 < port < 65_536 for port in ports)
        and 0 < len(vm.name) <= MOST_NAME
        and 0 < len(vm.zone) <= MOST_NAME
        and is_ip_number(vm.address)
        and 0 <= vm.incarnation < MOST_NUMBER
    )


def _possible_probe(news: ProbeNews) -> bool:
    report = news.report
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
        all(0 <= number < MOST_NUMBER for number in numbers)
        and 0 < len(report.endpoint) <= MOST_NAME
        and 0 <= news.prober < 1 << 32
    )
