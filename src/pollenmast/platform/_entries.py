"""Parses entries of the platform's store: endpoints and drained zones."""

from result import Err, Ok, Result

from pollenmast.counters import EntryFault
from pollenmast.platform._fields import (
    FieldError,
    parse_address,
    parse_object,
    read_integer,
    read_text,
    refuse,
)
from pollenmast.platform._identity import identify
from pollenmast.steering import (
    NO_START_STATED,
    Endpoint,
    RefusedEntry,
    is_name,
)

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"

MAX_ENTRY_BYTES = 64 << 10
"""Largest value of an endpoint's entry or of a drain; a larger one is refused.

Fields that are not known here are allowed, so this is far more than the few
hundred bytes that an entry needs.
"""

_STATES = ("ready", "draining")
_MAX_WARM_IN_S = 60.0
_MAX_INTEGER = (1 << 63) - 1


def parse_endpoint(name: str, value: bytes) -> Result[Endpoint, RefusedEntry]:
    """Parses an endpoint's entry, or returns why it describes none.

    An entry that lacks any of its fields comes from another writer, so its
    address may be that of another service.
    """
    try:
        identity = identify(name)
        if len(value) > MAX_ENTRY_BYTES:
            raise FieldError("size", EntryFault.SIZE)
        entry = parse_object(value)
        host, port = parse_address(read_text(entry, "address"))
        state = read_text(entry, "state")
        if state not in _STATES:
            raise FieldError("state")
        _check_unused(entry)
        started_ms = NO_START_STATED
        # Not all deployments' endpoints state when they started.
        if "born" in entry:
            started_ms = read_integer(entry, "born", 0, _MAX_INTEGER)
        return Ok(
            Endpoint(
                name=name,
                number=identity.number,
                token=identity.token,
                host=host,
                port=port,
                service=entry.get("service"),
                zone=entry.get("zone"),
                slots=entry.get("slots"),
                draining=state == "draining",
                # Milliseconds, counted from the time of the write.
                warmup_left_s=min(
                    read_integer(entry, "warmupLeftMs", 0, 1 << 40) / 1000.0,
                    _MAX_WARM_IN_S,
                ),
                started_ms=started_ms,
            )
        )
    except (ValueError, RecursionError) as error:
        return Err(refuse(name, error))


def _check_unused(entry: dict[str, object]) -> None:
    """Checks the fields that only show whether the entry is complete.

    Raises:
        FieldError: One is missing, or of another type.
    """
    if not is_name(entry.get("version")):
        raise FieldError("version")
    read_integer(entry, "seqNo", 0, _MAX_INTEGER)


def parse_drain(zone: str, value: bytes) -> Result[str, RefusedEntry]:
    """Returns the availability zone that an entry drains, or why none.

    Args:
        zone: The zone in the entry's key.
        value: The entry's value, which must be a JSON object.
    """
    try:
        if not is_zone(zone):
            raise FieldError("zone")
        if len(value) > MAX_ENTRY_BYTES:
            raise FieldError("size", EntryFault.SIZE)
        parse_object(value)
        return Ok(zone)
    except (ValueError, RecursionError) as error:
        return Err(refuse(f"drain of {zone!r}", error))


def is_zone(zone: str) -> bool:
    """Whether a text can be the name of an availability zone."""
    return is_name(zone) and zone.isprintable()
