"""Control messages to bytes and back: a tag byte, then msgpack by cattrs."""

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
    """Bytes that are no control message of ours."""

    reason: str


def encode(message: object) -> bytes:
    """Returns the message as bytes.

    Raises:
        KeyError: The class is no control message; a fault of the caller.
    """
    tag = _TAGS[type(message)]
    return bytes([tag]) + _CONVERTER.dumps(message)


def decode(data: bytes) -> Result[object, CodecError]:
    """Returns the message that the bytes hold, or why they hold none."""
    if not data or data[0] >= len(_TYPES):
        return Err(CodecError("unknown tag"))
    try:
        return Ok(_CONVERTER.loads(data[1:], _TYPES[data[0]]))
    # The library raises an open set of types on hostile bytes; all of them
    # mean the same here, and an escape would stop the process.
    except Exception as error:  # noqa: BLE001
        return Err(CodecError(type(error).__name__))
