"""A VM's first question to the store, asked while its program loads."""

import select
import socket
import time

from pollenmast.exchange import Exchange, Response
from pollenmast.platform._early import EVERYTHING_PATH, QUESTION

MOST_BODY_BYTES = 2 << 20
"""A page holds a megabyte of items, a third more as base64 text."""

_READ_BYTES = 65_536


class StoreQuestion:
    """Questions to the store, one after the other, without an event loop.

    Loading what understands the answer takes a small VM a tenth of a second;
    by then the answer is there.
    """

    def __init__(self, sock: socket.socket, sent: int = 0):
        """Takes a connection to the store.

        Args:
            sock: Its socket, which may still be being connected.
            sent: How many bytes of the question were sent.
        """
        self._sock = sock
        self._exchange = Exchange("store", MOST_BODY_BYTES)
        # Puts the exchange into the state of having asked.
        self._exchange.request(EVERYTHING_PATH)
        self._unsent = QUESTION[sent:]
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether some of the answer has arrived."""
        return self._begun

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    def follow(self, target: str) -> bool:
        """Asks the next question over the connection.

        Args:
            target: The path that is asked for.

        Returns:
            Whether the store keeps the connection open.

        Raises:
            OSError: The store cannot be reached.
        """
        if not self._exchange.next_cycle():
            return False
        self._unsent = self._exchange.request(target)
        self.ask()
        return True

    def ask(self) -> bool:
        """Sends the question if the connection is open; returns whether.

        Raises:
            OSError: The store cannot be reached.
        """
        if self._unsent and select.select([], [self._sock], [], 0.0)[1]:
            sent = self._sock.send(self._unsent)
            self._unsent = self._unsent[sent:]
        return not self._unsent

    def answer(self, wait_s: float) -> Response | None:
        """Returns the response, or None if it is not whole yet.

        Args:
            wait_s: How long to wait for the rest of it.

        Raises:
            OSError: The store cannot be reached.
            EndedError: It has closed the connection.
            ProtocolError, TooLargeError: It has sent something else.
        """
        if not self.ask():
            # Not connected: the store is away, or a cut keeps it off.
            return None
        until = time.monotonic() + wait_s
        while self._readable(until - time.monotonic()):
            self._exchange.feed(self._sock.recv(_READ_BYTES))
            self._begun = True
            response = self._exchange.response()
            if response is not None:
                return response
        return None

    def _readable(self, wait_s: float) -> bool:
        return bool(select.select([self._sock], [], [], max(0.0, wait_s))[0])
