"""The number of the store's copy, which each of its answers names."""

from collections.abc import Mapping

from result import Err, Ok, Result

_HEADER = "store-era"
"""Rises by one each time the store comes back from an older copy. Revisions
are only comparable between answers that name the same number."""

_MOST_DIGITS = 18


def read_epoch(headers: Mapping[str, str]) -> Result[int | None, str]:
    """Returns the epoch that an answer names, None if it names none.

    Args:
        headers: The answer's headers, names in lower case.

    Returns:
        The epoch, or what is wrong with the header.
    """
    text = headers.get(_HEADER)
    if text is None:
        return Ok(None)
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return Err("epoch is not a whole number")
    if len(digits) > _MOST_DIGITS:
        return Err("epoch is out of range")
    return Ok(int(digits))
