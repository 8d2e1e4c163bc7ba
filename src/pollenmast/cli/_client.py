"""HTTP client for an agent's operators endpoint; it only reads."""

import http.client
import json

from result import Err, Ok, Result

from pollenmast.cli._output import printable

_TIMEOUT_S = 5.0
"""Time-out of a request, in seconds. Agents answer from memory."""

_MAX_ANSWER_BYTES = 16_000_000
"""Maximum size of an answer, in bytes.

A status with 11,000 endpoints has about two megabytes. The limit keeps another
program on that port from filling the memory."""

_MAX_SHOWN_BYTES = 200
"""Maximum bytes shown of an error answer."""


def get(address: str, port: int, path: str) -> Result[object, str]:
    """Requests a path and returns the decoded JSON.

    Args:
        address: The agent's IP address.
        port: The port of its operators endpoint.
        path: The path, with its query if any.

    Returns:
        The decoded JSON, or an error message.
    """
    connection = http.client.HTTPConnection(address, port, timeout=_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        data = response.read(_MAX_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Err(f"{address}:{port} gave no answer ({error})")
    finally:
        connection.close()
    if response.status != http.HTTPStatus.OK:
        return Err(
            f"{address}:{port} answered {response.status} {_excerpt(data)}"
        )
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError):
        return Err(f"{address}:{port} answered with something else than JSON")


def _excerpt(data: bytes) -> str:
    text = data[:_MAX_SHOWN_BYTES].decode("utf-8", "replace")
    return printable(text.strip())
