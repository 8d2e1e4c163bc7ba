"""pynng's operations under the runtime's cancellation.

pynng answers a cancelled operation with an exception of its own making, which
the runtime does not know as the one that it sent. It would pass every cancel
scope and end the whole program without a word: a relay that waited half a
second for an absent agent once did. A checkpoint raises the runtime's own.
"""

import anyio
import anyio.lowlevel
import pynng


async def send(socket: pynng.Socket, data: bytes) -> None:
    """Sends a message, waiting for room.

    Raises:
        pynng.NNGException: The socket is closed or the peer refused.
    """
    try:
        await socket.asend(data)
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise


async def receive(socket: pynng.Socket) -> bytes:
    """Returns the next message.

    Raises:
        pynng.NNGException: The socket is closed.
    """
    try:
        return await socket.arecv()
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise
