"""Derives what identifies an endpoint in packets from its id."""

import re
import zlib

from pollenmast.counters import EntryFault
from pollenmast.platform._fields import FieldError
from pollenmast.steering import EndpointIdentity

_ID = re.compile(r"[a-z]+-[0-9a-f]+")
_NO_DIGIT = re.compile(r"[^0-9a-f]+")
_MAX_DIGITS = 16
_TOKEN_BITS = 32


def identify(name: str) -> EndpointIdentity:
    """Returns the identity of the endpoint with an id.

    Raises:
        FieldError: The text is no endpoint's id.
    """
    if not _ID.fullmatch(name):
        raise FieldError("id", EntryFault.ID)
    # All digits count. By the last part alone `backup-7f3a9102` would be
    # `i-7f3a9102`, whose packets it would get.
    digits = _NO_DIGIT.sub("", name)
    number = int(digits, 16) if len(digits) <= _MAX_DIGITS else 0
    # Packets to the number 0 address any endpoint.
    if not number:
        raise FieldError("id", EntryFault.ID)
    return EndpointIdentity(number, _derive_token(number))


def _derive_token(number: int) -> int:
    """Returns the 32-bit token of an endpoint, which is never zero.

    A number that fits in 32 bits is its own token, so no two of those collide.
    Larger numbers are hashed, with the same result on every VM. Zero is
    reserved to mean that there is no token.
    """
    if number < 1 << _TOKEN_BITS:
        return number
    return zlib.crc32(number.to_bytes(8, "big")) or 1
