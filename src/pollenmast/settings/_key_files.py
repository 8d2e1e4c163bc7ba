"""Reads key files; what was found is told without any of its content."""

import re

from result import Err, Ok, Result

ALLOWED = "the path of a file of 64 hex digits"

_MOST_BYTES = 1024
"""Bytes read of a key file; 64 hex digits and some space fit many times."""

_LIKE_A_KEY = re.compile(r"[0-9a-fA-F\s]{32,}")


def read(path: str) -> Result[bytes, str]:
    """Returns the key in a file, or what was found in its place."""
    if _LIKE_A_KEY.fullmatch(path):
        # A key pasted in place of its path would be shown in the fault, and
        # from there reach logs and screens; nobody would know it has leaked.
        return Err("what looks like a key itself")
    try:
        with open(path, "rb") as file:
            data = file.read(_MOST_BYTES).strip()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "no path"
        return Err(f"'{path}' ({reason})")
    if not re.fullmatch(rb"[0-9a-fA-F]{64}", data):
        return Err(f"a file of {len(data)} bytes that is no key")
    return Ok(bytes.fromhex(data.decode("ascii")))
