"""A caller's flow: a QUIC connection with its own socket."""

import abc
import re

import attrs
from aioquic.quic import connection, events

from standins import _quic, _reactor, _records

RETRY_DEFAULT_MS = 1_000
_RETRY_AFTER = re.compile(r"retry after (\d+) ms")


@attrs.frozen
class Ending:
    """How a flow ended.

    Attributes:
        fate: How it ended.
        retry_after_s: Time before a refused flow may be retried, in seconds.
    """

    fate: _records.Fate
    retry_after_s: float = 0.0


class FlowOwner(abc.ABC):
    """Receives the events of a flow."""

    @abc.abstractmethod
    def on_connected(self) -> None:
        """Called when the handshake is complete."""

    @abc.abstractmethod
    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        """Called when data was received on a stream."""

    @abc.abstractmethod
    def on_end(self, ending: Ending) -> None:
        """Called when the flow has ended, as its last event."""


class Flow(_quic.EventHandler):
    """One flow to a service."""

    def __init__(
        self,
        reactor: _reactor.Reactor,
        local: str,
        remote: _reactor.Address,
        owner: FlowOwner,
        record: _records.FlowRecord,
        idle_s: float = _quic.IDLE_S,
    ):
        self.record = record
        self._reactor = reactor
        self._owner = owner
        self._closing = False
        self._socket = _reactor.udp_socket(local)
        record.port = self._socket.getsockname()[1]
        quic = connection.QuicConnection(
            configuration=_quic.client_configuration(idle_s)
        )
        self.link = _quic.Link(reactor, self._socket, quic, self)
        reactor.add(self._socket, self.link.receive)
        quic.connect(remote, reactor.now)
        self.link.schedule_send()

    @property
    def quic(self) -> connection.QuicConnection:
        """The QUIC connection."""
        return self.link.quic

    @property
    def is_over(self) -> bool:
        """Whether the flow has ended or the caller is closing it."""
        return self._closing or self._ended()

    def close(self) -> None:
        """Closes the flow in an orderly way."""
        if self.is_over:
            return
        self._closing = True
        self.link.close()

    def ask(self, line: bytes) -> int:
        """Sends a request on a new stream; returns the stream id."""
        stream = self.quic.get_next_available_stream_id()
        self.quic.send_stream_data(stream, line + b"\n", end_stream=True)
        self.link.schedule_send()
        return stream

    def ping(self) -> None:
        """Sends a keep-alive."""
        self.quic.send_ping(0)
        self.link.schedule_send()

    def on_event(self, event: events.QuicEvent) -> None:
        """Handles one event of the connection."""
        if isinstance(event, events.HandshakeCompleted):
            self.record.connected = self._reactor.now
            self._owner.on_connected()
        elif isinstance(event, events.StreamDataReceived):
            self._owner.on_data(event.stream_id, event.data, event.end_stream)
        elif isinstance(event, events.StreamReset):
            self._owner.on_data(event.stream_id, b"", True)
        elif isinstance(event, events.ConnectionTerminated):
            self._end(event)

    def _ended(self) -> bool:
        return self.record.fate is not _records.Fate.OPEN

    def _end(self, event: events.ConnectionTerminated) -> None:
        self._reactor.remove(self._socket)
        ending = self._classify(event)
        self.record.ended = self._reactor.now
        self.record.fate = ending.fate
        self.record.reason = f"{event.error_code}: {event.reason_phrase}"
        self._owner.on_end(ending)

    def _classify(self, event: events.ConnectionTerminated) -> Ending:
        if self._closing:
            return Ending(_records.Fate.CLOSED)
        if event.error_code == _quic.CONNECTION_REFUSED:
            found = _RETRY_AFTER.search(event.reason_phrase)
            after_ms = int(found.group(1)) if found else RETRY_DEFAULT_MS
            return Ending(_records.Fate.REFUSED, after_ms / 1000)
        if self.record.connected is None:
            return Ending(_records.Fate.UNOPENED)
        return Ending(_records.Fate.BROKEN)
