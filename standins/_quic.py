"""Runs aioquic connections on a reactor."""

import abc
import datetime
import socket
import ssl

from aioquic.quic import configuration, connection, events, packet
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec

from standins import _reactor

ALPN = "pollenmast-demo"
CONNECTION_REFUSED = 0x2
IDLE_S = 15.0
"""Idle time-out of a connection, in seconds.

Spans several keep-alives, and is short enough for the demo to detect a dead
session.
"""


class EventHandler(abc.ABC):
    """Receives the events of a connection."""

    @abc.abstractmethod
    def on_event(self, event: events.QuicEvent) -> None:
        """Handles one event of the connection."""


class Link:
    """A QUIC connection with its socket and timer."""

    def __init__(
        self,
        reactor: _reactor.Reactor,
        sock: socket.socket,
        quic: connection.QuicConnection,
        handler: EventHandler,
    ):
        self.quic = quic
        self.ended = False
        self.closing = False
        self._reactor = reactor
        self._sock = sock
        self._handler = handler
        self._timer_at: float | None = None
        self._send_scheduled = False

    def receive(self, data: bytes, address: _reactor.Address) -> None:
        """Handles a received datagram."""
        self.quic.receive_datagram(data, address, self._reactor.now)
        self.schedule_send()

    def schedule_send(self) -> None:
        """Schedules sending for the end of this reactor turn.

        Datagrams that arrive in the same turn can thus share one
        acknowledgement.
        """
        if not self._send_scheduled:
            self._send_scheduled = True
            self._reactor.after_turn(self._process)

    def close(self, code: int = 0, reason: str = "") -> None:
        """Closes the connection."""
        self.closing = True
        self.quic.close(error_code=code, reason_phrase=reason)
        self.schedule_send()

    def refuse(self, reason: str) -> None:
        """Refuses the connection with a transport error.

        An application error during the handshake would reach the caller
        without its code and reason.
        """
        self.closing = True
        self.quic.close(
            error_code=CONNECTION_REFUSED,
            frame_type=packet.QuicFrameType.PADDING,
            reason_phrase=reason,
        )
        self.schedule_send()

    def _process(self) -> None:
        self._send_scheduled = False
        event = self.quic.next_event()
        while event is not None and not self.ended:
            self.ended = isinstance(event, events.ConnectionTerminated)
            self._handler.on_event(event)
            event = self.quic.next_event()
        if self._closed_by_peer():
            self.ended = True
            self._handler.on_event(self.quic._close_event)
        if self.ended:
            return
        for data, to in self.quic.datagrams_to_send(self._reactor.now):
            _reactor.send(self._sock, data, to)
        self._set_timer()

    def _closed_by_peer(self) -> bool:
        # aioquic reports a close only after its draining period, which is
        # 0.6 s after an immediate refusal. Without this check callers would
        # appear to have waited that long for the refusal.
        known = self.quic._close_event is not None
        return known and not self.closing and not self.ended

    def _set_timer(self) -> None:
        timer = self.quic.get_timer()
        if timer is None or self.ended:
            return
        if self._timer_at is None or timer < self._timer_at:
            self._timer_at = timer
            self._reactor.at(timer, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_at = None
        timer = self.quic.get_timer()
        if timer is not None and timer <= self._reactor.now:
            self.quic.handle_timer(self._reactor.now)
            self.schedule_send()
        else:
            self._set_timer()


def client_configuration(idle_s: float = IDLE_S):
    """Returns the configuration of a caller's connection.

    Certificates are not verified, because stand-in upstreams use self-signed
    ones.
    """
    return configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=[ALPN],
        verify_mode=ssl.CERT_NONE,
        idle_timeout=idle_s,
    )


def server_configuration(name: str, idle_s: float = IDLE_S):
    """Returns an upstream's configuration, with a new certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    return configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=[ALPN],
        idle_timeout=idle_s,
        certificate=_certificate(name, key),
        private_key=key,
    )


def _certificate(name: str, key: ec.EllipticCurvePrivateKey):
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    today = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder(
        issuer_name=subject,
        subject_name=subject,
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=today - datetime.timedelta(days=1),
        not_valid_after=today + datetime.timedelta(days=7),
    )
    return builder.sign(key, hashes.SHA256())
