"""What VMs tell each other twice a second, as msgpack in one datagram."""

import attrs
import msgpack
from result import Err, Ok, Result

from pollenmast.steering import Rates

FORMAT = 2
"""Number of this format; others are ignored."""

MOST_ENDPOINTS = 90
"""Endpoints named in one report, at about 12 bytes each, so that it fits a
datagram that needs no fragments. The busiest are named."""

MOST_MEMBERS = 12
"""Other VMs named in one report; a VM that has just started learns of a fleet
of 9 from the first."""

MOST_AGE_MS = 1_000_000
"""Ages from here on, a quarter of an hour, all mean that it is old."""

_MILLIS = 1000
_SCALE = 8
"""Rates travel as whole eighths of a request a second."""


@attrs.frozen
class Report:
    """What a VM tells.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        revision: The directory's revision up to which it knows everything.
        age_s: How long ago the directory said that nothing is newer.
        summed: Whether the rates are its zone's, or only its own.
        rates: Requests a second to each endpoint.
        down: Endpoints that it found dead or out of reach.
        members: Addresses of VMs that it has heard of lately.
    """

    vm: str
    zone: str
    revision: int
    age_s: float
    summed: bool
    rates: Rates
    down: tuple[int, ...]
    members: tuple[str, ...]


def encode(report: Report) -> bytes:
    """Returns the datagram."""
    busiest = sorted(report.rates.items(), key=lambda pair: -pair[1])
    rates = {
        endpoint: round(rate * _SCALE)
        for endpoint, rate in busiest[:MOST_ENDPOINTS]
    }
    fields = (
        FORMAT,
        report.vm,
        report.zone,
        report.revision,
        round(min(report.age_s * _MILLIS, MOST_AGE_MS)),
        report.summed,
        rates,
        report.down[:MOST_ENDPOINTS],
        report.members[:MOST_MEMBERS],
    )
    return msgpack.packb(fields)


def decode(datagram: bytes) -> Result[Report, str]:
    """Returns the report, or what is wrong with the datagram."""
    try:
        fields = msgpack.unpackb(datagram, strict_map_key=False)
        number, vm, zone, revision, age, summed, rates, down, members = fields
        if number != FORMAT:
            return Err(f"format {number!r}")
        if not (isinstance(vm, str) and isinstance(zone, str)):
            return Err("names")
        if not (isinstance(revision, int) and isinstance(age, int)):
            return Err("revision")
        return Ok(
            Report(
                vm,
                zone,
                revision,
                max(0, age) / _MILLIS,
                summed is True,
                _rates(rates),
                tuple(int(each) for each in down),
                tuple(str(each) for each in members),
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
