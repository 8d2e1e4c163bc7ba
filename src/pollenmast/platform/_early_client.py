"""A client of the store for the time before the event loop runs."""

import select
import socket
import time

from pollenmast.exchange import Exchange, Response
from pollenmast.platform._early import LIST_ALL_PATH, LIST_ALL_REQUEST

MAX_BODY_BYTES = 2 << 20
"""Longest response body: a page has 1 MB of items, a third more as base64."""

_RECEIVE_BYTES = 65_536


class EarlyStoreClient:
    """Sends requests to the store one at a time, without an event loop.

    Importing the code that parses the response takes a tenth of a second on a
    small VM; the response has arrived by then.
    """

    def __init__(self, sock: socket.socket, sent: int = 0):
        """Takes over a connection on which the first request was begun.

        Args:
            sock: The socket; it may still be connecting.
            sent: How many bytes of `LIST_ALL_REQUEST` have been sent.
        """
        self._sock = sock
        self._exchange = Exchange("store", MAX_BODY_BYTES)
        # Only advances the exchange's state: the bytes come from
        # LIST_ALL_REQUEST.
        self._exchange.request(LIST_ALL_PATH)
        self._unsent = LIST_ALL_REQUEST[sent:]
        self._response_started = False

    @property
    def response_started(self) -> bool:
        """Whether any bytes of a response have arrived."""
        return self._response_started

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    def request_next(self, target: str) -> bool:
        """Sends the next request on the same connection.

        Args:
            target: The path and query to request.

        Returns:
            Whether the connection can carry another request; False if the
            store closes it.

        Raises:
            OSError: The store cannot be reached.
        """
        if not self._exchange.next_cycle():
            return False
        self._unsent = self._exchange.request(target)
        self.send_pending()
        return True

    def send_pending(self) -> bool:
        """Sends the unsent rest of the request if the socket is writable.

        Returns:
            Whether the whole request has been sent.

        Raises:
            OSError: The store cannot be reached.
        """
        if self._unsent and select.select([], [self._sock], [], 0.0)[1]:
            sent = self._sock.send(self._unsent)
            self._unsent = self._unsent[sent:]
        return not self._unsent

    def receive(self, wait_s: float) -> Response | None:
        """Returns the response, or None if it is still incomplete.

        Args:
            wait_s: Seconds to wait for the rest of the response.

        Raises:
            OSError: The store cannot be reached.
            ConnectionClosedError: The store closed the connection early.
            ProtocolError: The response is not valid HTTP.
            TooLargeError: The body is longer than `MAX_BODY_BYTES`.
        """
        if not self.send_pending():
            # Not connected: the store is down or the network is partitioned.
            return None
        deadline = time.monotonic() + wait_s
        while self._readable(deadline - time.monotonic()):
            self._exchange.feed(self._sock.recv(_RECEIVE_BYTES))
            self._response_started = True
            response = self._exchange.response()
            if response is not None:
                return response
        return None

    def _readable(self, wait_s: float) -> bool:
        return bool(select.select([self._sock], [], [], max(0.0, wait_s))[0])
