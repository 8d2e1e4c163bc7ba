"""What VMs tell each other, as msgpack in one datagram."""

import enum

import attrs
import msgpack
from result import Err, Ok, Result

from pollenmast.steering import Failures, Position, Rates

FORMAT = 6
"""Number of this format; others are ignored."""

MOST_ENDPOINTS = 90
"""Endpoints named in one report, at about 12 bytes each, so that it fits a
datagram that needs no fragments. The busiest are named."""

MOST_FAILURES = 1000
"""Failures of one endpoint that one VM is believed."""

MOST_MEMBERS = 12
"""Other VMs named in one report; a VM that has just started learns of a fleet
of 9 from the first, and of one of 30 within two seconds."""

MOST_CHANGE_BYTES = 900
"""Changes that travel with a report; a peer that lacks more asks for them."""

MOST_AGE_MS = 1_000_000
"""Ages from here on, a quarter of an hour, all mean that it is old."""

_MILLIS = 1000
_SCALE = 8
"""Rates travel as whole eighths of a request a second."""


class Kind(enum.IntEnum):
    """What a report is for."""

    ASK = 1
    """Tells a VM's own rates to a reader, and asks for an answer."""

    ANSWER = 2
    """Tells the rates of all VMs, as far as the sender knows them."""

    ZONE = 3
    """Tells the rates of the sender's zone to a reader of another one."""

    NEWS = 4
    """Tells only changes."""


@attrs.frozen
class Report:
    """What a VM tells.

    Attributes:
        kind: What for.
        vm: Its name.
        zone: Its availability zone.
        position: How far it follows the directory.
        age_s: How long ago the directory said that nothing is newer.
        vms: How many VMs of its zone the rates are summed over.
        rates: Requests a second to each endpoint.
        down: Endpoints that it found dead or out of reach.
        members: VMs that it has heard from lately: the width of each one's
            link in Mbit/s, 0 if not known, by address.
        members_zone: The zone of these.
        after: The revision of its epoch that `changes` follow.
        changes: Changes of endpoints and routes, encoded; empty if none.
        link_mbps: The width of its own link in Mbit/s, 0 if not known.
        failures: Requests that failed lately, by endpoint.
        ejected: Endpoints that are to get no new flows, as they fail.
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
    def floor(self) -> float:
        """The most that an endpoint which is not named can have.

        Requests a second; 0 where all busy endpoints are named.
        """
        if len(self.rates) < MOST_ENDPOINTS:
            return 0.0
        return min(self.rates.values())


def encode(report: Report) -> bytes:
    """Returns the datagram."""
    busiest = sorted(report.rates.items(), key=lambda pair: -pair[1])
    rates = {
        endpoint: round(rate * _SCALE)
        for endpoint, rate in busiest[:MOST_ENDPOINTS]
    }
    fields = (
        FORMAT,
        report.kind,
        report.vm,
        report.zone,
        report.position.epoch,
        report.position.revision,
        round(min(report.age_s * _MILLIS, MOST_AGE_MS)),
        report.vms,
        rates,
        report.down[:MOST_ENDPOINTS],
        dict(list(report.members.items())[:MOST_MEMBERS]),
        report.members_zone,
        report.after,
        report.changes,
        report.link_mbps,
        report.failures,
        report.ejected[:MOST_ENDPOINTS],
    )
    return msgpack.packb(fields)


def decode(datagram: bytes) -> Result[Report, str]:
    """Returns the report, or what is wrong with the datagram."""
    try:
        fields = msgpack.unpackb(datagram, strict_map_key=False)
        number, kind, vm, zone, *rest = fields
        epoch, revision, age, vms, rates, down, members, of, *rest = rest
        after, changes, link_mbps, failures, ejected = rest
        if number != FORMAT:
            return Err(f"format {number!r}")
        if not all(isinstance(each, str) for each in (vm, zone, of)):
            return Err("names")
        numbers = (epoch, revision, age, vms, after, link_mbps)
        if not all(isinstance(each, int) for each in numbers):
            return Err("numbers")
        if not isinstance(changes, bytes):
            return Err("changes")
        return Ok(
            Report(
                Kind(kind),
                vm,
                zone,
                Position(epoch, revision),
                max(0, age) / _MILLIS,
                vms,
                _rates(rates),
                tuple(int(each) for each in down),
                {str(host): max(0, int(m)) for host, m in members.items()},
                of,
                after,
                changes,
                max(0, link_mbps),
                _failures(failures),
                tuple(int(each) for each in ejected[:MOST_ENDPOINTS]),
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
        int(endpoint): max(0, int(rate)) / _SCALE
        for endpoint, rate in rates.items()
    }


def _failures(failures: dict[int, int]) -> Failures:
    if len(failures) > MOST_ENDPOINTS:
        raise ValueError("failures")
    return {
        int(endpoint): min(max(0, int(count)), MOST_FAILURES)
        for endpoint, count in failures.items()
    }
