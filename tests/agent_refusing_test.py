"""Tests of agent._refusing, against connections of a QUIC library."""

from aioquic.quic import connection, events
from testtools import TestCase

from pollenmast.agent import _refusing
from standins import _quic

_TO = ("127.0.0.1", 1)
_FROM = ("127.0.0.1", 2)
_MS = 1_000


def _client() -> connection.QuicConnection:
    client = connection.QuicConnection(
        configuration=_quic.client_configuration()
    )
    client.connect(_TO, now=0.0)
    return client


def _sent(end: connection.QuicConnection) -> list[bytes]:
    return [data for data, _ in end.datagrams_to_send(now=0.0)]


def _ending(end: connection.QuicConnection) -> events.ConnectionTerminated:
    return end._close_event


class AnswerTest(TestCase):
    """A caller accepts a refusal only if none of its requests may have run."""

    def test_first_flight(self):
        """A new caller is refused at once and told when to retry."""
        client = _client()
        (first,) = _sent(client)
        answer = _refusing.answer(first, _MS).unwrap()
        client.receive_datagram(answer, _TO, now=0.0)
        self.assertIn("retry after 1000 ms", _ending(client).reason_phrase)

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
        for data in _sent(client):
            server.receive_datagram(data, _FROM, now=0.0)
        for data in _sent(server):
            client.receive_datagram(data, _TO, now=0.0)
        second = _sent(client)[0]
        answer = _refusing.answer(second, _MS)
        if answer.is_ok():
            client.receive_datagram(answer.unwrap(), _TO, now=0.0)
        self.assertIsNone(_ending(client))
