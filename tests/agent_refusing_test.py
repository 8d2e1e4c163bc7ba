"""Tests of agent._refusing, against connections of a QUIC library."""

from aioquic.quic import connection, events
from testtools import TestCase

from pollenmast.agent import _refusing
from standins import _quic

_SERVER_ADDRESS = ("127.0.0.1", 1)
_CLIENT_ADDRESS = ("127.0.0.1", 2)
_RETRY_AFTER_MS = 1_000


def _client() -> connection.QuicConnection:
    client = connection.QuicConnection(
        configuration=_quic.client_configuration()
    )
    client.connect(_SERVER_ADDRESS, now=0.0)
    return client


def _datagrams_to_send(end: connection.QuicConnection) -> list[bytes]:
    return [data for data, _ in end.datagrams_to_send(now=0.0)]


def _termination(end: connection.QuicConnection) -> events.ConnectionTerminated:
    return end._close_event


class RefusalTest(TestCase):
    """A caller accepts a refusal only if none of its requests may have run."""

    def test_first_flight(self):
        """A new caller is refused at once and told when to retry."""
        client = _client()
        (first,) = _datagrams_to_send(client)
        answer = _refusing.refusal_for(first, _RETRY_AFTER_MS).unwrap()
        client.receive_datagram(answer, _SERVER_ADDRESS, now=0.0)
        self.assertIn("retry after 1000 ms", _termination(client).reason_phrase)

    def test_second_flight(self):
        """All relays fail between the two flights of a caller's handshake.

        The second flight has an Initial as well, and the caller's request may
        already be in transit. The caller must not be told that nothing ran.
        """
        client = _client()
        server = connection.QuicConnection(
            configuration=_quic.server_configuration("server"),
            original_destination_connection_id=(
                client.original_destination_connection_id
            ),
        )
        for data in _datagrams_to_send(client):
            server.receive_datagram(data, _CLIENT_ADDRESS, now=0.0)
        for data in _datagrams_to_send(server):
            client.receive_datagram(data, _SERVER_ADDRESS, now=0.0)
        second = _datagrams_to_send(client)[0]
        answer = _refusing.refusal_for(second, _RETRY_AFTER_MS)
        if answer.is_ok():
            client.receive_datagram(answer.unwrap(), _SERVER_ADDRESS, now=0.0)
        self.assertIsNone(_termination(client))
