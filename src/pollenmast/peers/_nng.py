"""Cancellable send and receive on pynng sockets.

When an operation is cancelled, pynng raises a cancellation exception that it
created itself, which the event loop does not recognize as its own. Such an
exception passes every cancel scope and ends the program without a message;
this happened to a relay that waited half a second for an absent agent. A
checkpoint raises the event loop's own exception instead.
"""

import anyio
import anyio.lowlevel
import pynng


async def send(socket: pynng.Socket, data: bytes) -> None:
    """Sends a message; waits while the send buffer is full.

    Raises:
        pynng.NNGException: The socket is closed, or the peer refused the
            message.
    """
    try:
        await socket.asend(data)
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise


async def receive(socket: pynng.Socket) -> bytes:
    """Waits for the next message and returns it.

    Raises:
        pynng.NNGException: The socket is closed.
    """
    try:
        return await socket.arecv()
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise
