"""The reports that VMs exchange, each encoded as one msgpack datagram."""

import enum

import attrs
import msgpack
from result import Err, Ok, Result

from pollenmast.steering import (
    Failures,
    Position,
    Rates,
    is_integer,
    is_name,
)

FORMAT = 6
"""Version of this format; reports of other versions are rejected."""

MAX_ENDPOINTS = 90
"""Limit on the endpoints in each list of a report, at about 12 bytes each, so
that the datagram needs no fragmentation. Of the rates, the highest are
sent."""

MAX_FAILURES = 1000
"""Limit on the failures of one endpoint that are accepted from one VM."""

MAX_MEMBERS = 12
"""Limit on the other VMs named in one report. A VM that has just started learns
all members of a fleet of 9 from the first report, and those of a fleet of 30
within two seconds."""

MAX_CHANGE_BYTES = 900
"""Limit on the length of the changes in a report, in bytes. A peer that lacks
more requests them over HTTP."""

MAX_AGE_MS = 1_000_000
"""Greatest age that is sent, in milliseconds: about a quarter of an hour. All
greater ages equally mean that the data is old."""

_MS_PER_S = 1000
_MIN_INT, _MAX_INT = -(1 << 63), (1 << 63) - 1
_RATE_SCALE = 8
"""Rates are sent as integers in units of 1/8 request per second."""


class Kind(enum.IntEnum):
    """The purpose of a report."""

    ASK = 1
    """Sends a VM's own rates to a reader and requests an answer."""

    ANSWER = 2
    """Sends the summed rates of all VMs that the sender knows of."""

    ZONE = 3
    """Sends the rates of the sender's zone to a reader of another zone."""

    CHANGES = 4
    """Sends changes only."""


@attrs.frozen
class Report:
    """A report from one VM to another.

    Attributes:
        kind: The purpose of the report.
        vm: The name of the sender.
        zone: The sender's availability zone.
        position: The position in the directory that the sender has reached.
        age_s: Seconds since the directory confirmed that the sender's data was
            current.
        vms: Number of VMs of the sender's zone that the rates are summed over.
        rates: Requests per second by endpoint.
        down: Endpoints that the sender found dead or unreachable.
        members: VMs that the sender has heard from recently. Maps the address
            of each to the bandwidth of its link in Mbit/s, 0 if unknown.
        members_zone: The zone of the VMs in `members`.
        after: The revision, in the epoch of `position`, that `changes` follow.
        changes: Encoded changes of endpoints and routes; empty if none.
        link_mbps: Bandwidth of the sender's link in Mbit/s, 0 if unknown.
        failures: Number of recently failed requests by endpoint.
        ejected: Endpoints that get no new flows because requests to them fail.
    """

    kind: Kind
    vm: str
    zone: str
    position: Position
    age_s: float
    vms: int = 0
    rates: Rates = attrs.field(factory=dict)
    down: tuple[int, ...] = ()
    members: dict[str, int] = attrs.field(factory=dict)
    members_zone: str = ""
    after: int = 0
    changes: bytes = b""
    link_mbps: int = 0
    failures: Failures = attrs.field(factory=dict)
    ejected: tuple[int, ...] = ()

    @property
    def unlisted_rate_bound(self) -> float:
        """Upper bound for the rate of an endpoint that `rates` does not list.

        In requests per second; 0 if `rates` lists all busy endpoints.
        """
        if len(self.rates) < MAX_ENDPOINTS:
            return 0.0
        return min(self.rates.values())


def encode(report: Report) -> bytes:
    """Encodes a report as a datagram."""
    busiest = sorted(report.rates.items(), key=lambda pair: -pair[1])
    rates = {
        endpoint: round(rate * _RATE_SCALE)
        for endpoint, rate in busiest[:MAX_ENDPOINTS]
    }
    fields = (
        FORMAT,
        report.kind,
        report.vm,
        report.zone,
        report.position.epoch,
        report.position.revision,
        round(min(report.age_s * _MS_PER_S, MAX_AGE_MS)),
        report.vms,
        rates,
        report.down[:MAX_ENDPOINTS],
        dict(list(report.members.items())[:MAX_MEMBERS]),
        report.members_zone,
        report.after,
        report.changes,
        report.link_mbps,
        report.failures,
        report.ejected[:MAX_ENDPOINTS],
    )
    return msgpack.packb(fields)


def decode(datagram: bytes) -> Result[Report, str]:
    """Decodes a datagram.

    Returns:
        The report, or a short description of why the datagram is malformed.
    """
    try:
        fields = msgpack.unpackb(datagram, strict_map_key=False)
        number, kind, vm, zone, *rest = fields
        epoch, revision, age, vms, rates, down, members, of_zone, *rest = rest
        after, changes, link_mbps, failures, ejected = rest
        if number != FORMAT:
            return Err(f"unsupported report format {number!r}")
        if not (is_name(vm) and is_name(zone) and is_name(of_zone or zone)):
            return Err("names are not strings of their length")
        numbers = (epoch, revision, age, vms, after, link_mbps)
        if not all(is_integer(each, _MIN_INT, _MAX_INT) for each in numbers):
            return Err("numeric fields are not integers")
        if max(len(rates), len(down)) > MAX_ENDPOINTS:
            return Err("too many endpoints")
        if len(members) > MAX_MEMBERS:
            return Err("too many members")
        if not isinstance(changes, bytes):
            return Err("changes are not bytes")
        return Ok(
            Report(
                Kind(kind),
                vm,
                zone,
                Position(epoch, revision),
                max(0, age) / _MS_PER_S,
                vms,
                _rates(rates),
                tuple(int(each) for each in down),
                {str(host): max(0, int(m)) for host, m in members.items()},
                of_zone,
                after,
                changes,
                max(0, link_mbps),
                _failures(failures),
                tuple(int(each) for each in ejected[:MAX_ENDPOINTS]),
            )
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        msgpack.UnpackException,
    ) as error:
        return Err(f"{type(error).__name__}"[:80])


def _rates(rates: dict[int, int]) -> Rates:
    return {
        int(endpoint): max(0, int(rate)) / _RATE_SCALE
        for endpoint, rate in rates.items()
    }


def _failures(failures: dict[int, int]) -> Failures:
    if len(failures) > MAX_ENDPOINTS:
        raise ValueError("failures of too many endpoints")
    return {
        int(endpoint): min(max(0, int(count)), MAX_FAILURES)
        for endpoint, count in failures.items()
    }
