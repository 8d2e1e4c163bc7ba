"""Reads the store's epoch from the headers of its responses."""

from collections.abc import Mapping

from result import Err, Ok, Result

_HEADER = "store-era"
"""Header with the store's epoch.

The epoch increases by one each time the store is restored from an older copy.
Revisions can only be compared between responses of the same epoch.
"""

_MAX_DIGITS = 18


def read_epoch(headers: Mapping[str, str]) -> Result[int | None, str]:
    """Parses the epoch header of a response.

    Args:
        headers: The response's headers, with names in lower case.

    Returns:
        The epoch, None if the header is absent, or an error message if it is
        invalid.
    """
    text = headers.get(_HEADER)
    if text is None:
        return Ok(None)
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return Err("epoch is not a whole number")
    if len(digits) > _MAX_DIGITS:
        return Err("epoch is out of range")
    return Ok(int(digits))
