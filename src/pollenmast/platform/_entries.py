"""Parses entries of the platform's store: endpoints and drained zones."""

from result import Err, Ok, Result

from pollenmast.platform._fields import (
    FieldError,
    describe_error,
    parse_address,
    parse_object,
    read_integer,
    read_text,
)
from pollenmast.platform._identity import identify
from pollenmast.steering import Endpoint

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"

_STATES = ("ready", "draining")
_MAX_DRAIN_BYTES = 64 << 10
"""Largest value of a drain entry; a larger one is invalid.

Its fields are not used.
"""

_MAX_WARM_IN_S = 60.0
_MAX_SLOTS = 1024


def parse_endpoint(name: str, value: bytes) -> Result[Endpoint, str]:
    """Parses an endpoint's entry, or returns an error message."""
    try:
        entry = parse_object(value)
        host, port = parse_address(read_text(entry, "address"))
        state = read_text(entry, "state")
        if state not in _STATES:
            raise FieldError("state")
        identity = identify(name)
        return Ok(
            Endpoint(
                name=name,
                number=identity.number,
                token=identity.token,
                host=host,
                port=port,
                service=read_text(entry, "service"),
                zone=read_text(entry, "zone"),
                slots=read_integer(entry, "slots", 1, _MAX_SLOTS),
                draining=state == "draining",
                # Milliseconds, counted from the time of the write.
                warmup_left_s=min(
                    read_integer(entry, "warmupLeftMs", 0, 1 << 40) / 1000.0,
                    _MAX_WARM_IN_S,
                ),
            )
        )
    except (ValueError, RecursionError) as error:
        return Err(f"{name}: {describe_error(error)}"[:120])


def parse_drain(zone: str, value: bytes) -> Result[str, str]:
    """Returns the availability zone that an entry drains, or an error message.

    Args:
        zone: The zone in the entry's key.
        value: The entry's value, which must be a JSON object.
    """
    try:
        if not zone or not zone.isprintable():
            raise FieldError("zone")
        if len(value) > _MAX_DRAIN_BYTES:
            raise FieldError("size")
        parse_object(value)
        return Ok(zone)
    except (ValueError, RecursionError) as error:
        return Err(f"drain of {zone!r}: {describe_error(error)}"[:120])
