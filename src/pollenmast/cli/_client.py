"""Asks an agent's operators endpoint, read only."""

import http.client
import json

from result import Err, Ok, Result

from pollenmast.cli._output import printable

_TIMEOUT_S = 5.0
"""Longest wait for an answer, in seconds; agents answer from memory."""

_MOST_BYTES = 16_000_000
"""Bytes read of an answer. At 11,000 endpoints a status has about two
megabytes; a stranger on that port must not fill the memory."""

_MOST_SHOWN = 200
"""Bytes shown of an answer that is an error."""


def get(address: str, port: int, path: str) -> Result[object, str]:
    """Returns the JSON of an answer, or why there is none."""
    connection = http.client.HTTPConnection(address, port, timeout=_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        data = response.read(_MOST_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Err(f"{address}:{port} gave no answer ({error})")
    finally:
        connection.close()
    if response.status != http.HTTPStatus.OK:
        return Err(f"{address}:{port} answered {response.status} {_line(data)}")
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError):
        return Err(f"{address}:{port} answered with something else than JSON")


def _line(data: bytes) -> str:
    text = data[:_MOST_SHOWN].decode("utf-8", "replace")
    return printable(text.strip())
