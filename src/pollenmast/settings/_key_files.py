"""Reads key files; error texts never include the content of a file."""

import re

from result import Err, Ok, Result

ALLOWED = "the path of a file of 64 hex digits"

_MAX_BYTES = 1024
"""Maximum number of bytes read; ample for 64 hex digits and whitespace."""

_KEY_LIKE = re.compile(r"[0-9a-fA-F\s]{32,}")
"""Matches text that is probably a key instead of the path of a key file."""


def read(path: str) -> Result[bytes, str]:
    """Returns the key in a file, or a description of what was found instead."""
    if _KEY_LIKE.fullmatch(path):
        # A key given in place of its path must not be quoted in the fault:
        # it would leak into logs and terminals without anyone noticing.
        return Err("what looks like a key itself")
    try:
        with open(path, "rb") as file:
            data = file.read(_MAX_BYTES).strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "no path"
        return Err(f"'{path}' ({reason})")
    if not re.fullmatch(rb"[0-9a-fA-F]{64}", data):
        return Err(f"a file of {len(data)} bytes that is no key")
    return Ok(bytes.fromhex(data.decode("ascii")))
