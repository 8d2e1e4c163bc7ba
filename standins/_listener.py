"""Accepts QUIC connections on one UDP socket and routes by connection id."""

import abc

from aioquic.buffer import Buffer
from aioquic.quic import configuration, connection, events, packet

from standins import _quic, _reactor

MAX_CONNECTIONS = 2_000
"""Maximum number of connections of an endpoint, as the brief sets it."""


class Session(_quic.EventHandler):
    """One accepted connection."""

    link: _quic.Link


class SessionFactory(abc.ABC):
    """Creates sessions for new connections."""

    @abc.abstractmethod
    def open(self) -> Session:
        """Returns the session that serves a new connection."""


class _Entry(_quic.EventHandler):
    """Keeps the listener's table of connection ids current."""

    def __init__(self, listener: "Listener", session: Session):
        self._listener = listener
        self._session = session
        self.ids: set[bytes] = set()
        self.refused = False

    def on_event(self, event: events.QuicEvent) -> None:
        if isinstance(event, events.ConnectionIdIssued):
            self.ids.add(event.connection_id)
            self._listener.links[event.connection_id] = self._session.link
        elif isinstance(event, events.ConnectionIdRetired):
            self.ids.discard(event.connection_id)
            self._listener.links.pop(event.connection_id, None)
        elif isinstance(event, events.ConnectionTerminated):
            self._listener.remove(self.ids, self.refused)
            self._session.on_event(event)
        else:
            self._session.on_event(event)


class Listener:
    """One endpoint's socket and connections.

    Connections do not depend on the caller's address: a flow that arrives
    through another relay, or from another port of the same relay, belongs to
    the same connection.

    Attributes:
        links: The connections, by connection id.
        open_connections: Number of accepted connections that are open.
        refused: Number of refused connections.
        unknown: Number of datagrams that belong to no connection.
        discarding: Whether datagrams are discarded unread.
    """

    def __init__(
        self,
        reactor: _reactor.Reactor,
        address: _reactor.Address,
        quic_configuration: configuration.QuicConfiguration,
        sessions: SessionFactory,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.links: dict[bytes, _quic.Link] = {}
        self.open_connections = 0
        self.refused = 0
        self.unknown = 0
        self.discarding = False
        self._reactor = reactor
        self._configuration = quic_configuration
        self._sessions = sessions
        self._max_connections = max_connections
        self._socket = _reactor.udp_socket(*address)
        reactor.add(self._socket, self._on_datagram)

    def remove(self, ids: set[bytes], refused: bool) -> None:
        """Removes an ended connection from the table."""
        self.open_connections -= not refused
        for identifier in ids:
            self.links.pop(identifier, None)

    def _on_datagram(self, data: bytes, address: _reactor.Address) -> None:
        if self.discarding:
            return
        try:
            header = packet.pull_quic_header(
                Buffer(data=data),
                host_cid_length=self._configuration.connection_id_length,
            )
        except ValueError:
            self.unknown += 1
            return
        link = self.links.get(header.destination_cid)
        if link is None:
            link = self._accept(data, header)
        if link is not None:
            link.receive(data, address)

    def _accept(self, data: bytes, header) -> _quic.Link | None:
        is_initial = header.packet_type == packet.QuicPacketType.INITIAL
        if (
            not is_initial
            or len(data) < configuration.SMALLEST_MAX_DATAGRAM_SIZE
        ):
            self.unknown += 1
            return None
        quic = connection.QuicConnection(
            configuration=self._configuration,
            original_destination_connection_id=header.destination_cid,
        )
        session = self._sessions.open()
        entry = _Entry(self, session)
        session.link = _quic.Link(self._reactor, self._socket, quic, entry)
        for identifier in (header.destination_cid, quic.host_cid):
            entry.ids.add(identifier)
            self.links[identifier] = session.link
        if self.open_connections < self._max_connections:
            self.open_connections += 1
        else:
            entry.refused = True
            self.refused += 1
            session.link.refuse("busy; retry after 1000 ms")
        return session.link
