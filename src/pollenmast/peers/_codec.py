"""Codec of the link's control messages: a tag byte, then msgpack by cattrs."""

import attrs
from cattrs.preconf.msgpack import make_converter
from result import Err, Ok, Result

from pollenmast.peers import _messages as messages

_CONVERTER = make_converter(forbid_extra_keys=True)

_TYPES: tuple[type, ...] = (
    messages.FleetView,
    messages.DrainOrder,
    messages.ExplainQuery,
    messages.ExplainAnswer,
    messages.RelayReport,
)
_TAGS = {cls: tag for tag, cls in enumerate(_TYPES)}


@attrs.frozen
class CodecError:
    """The bytes are not a known control message."""

    reason: str


def encode(message: object) -> bytes:
    """Returns the encoded message.

    Raises:
        KeyError: The message's class is not in `_TYPES`; a programming error.
    """
    tag = _TAGS[type(message)]
    return bytes([tag]) + _CONVERTER.dumps(message)


def decode(data: bytes) -> Result[object, CodecError]:
    """Returns the decoded message, or why it cannot be decoded."""
    if not data or data[0] >= len(_TYPES):
        return Err(CodecError("unknown tag"))
    try:
        return Ok(_CONVERTER.loads(data[1:], _TYPES[data[0]]))
    # The libraries raise many types of exceptions on hostile input. All of
    # them mean malformed input, and an uncaught one would stop the process.
    except Exception as error:  # noqa: BLE001
        return Err(CodecError(type(error).__name__))
