"""Drives one aioquic connection from a reactor."""

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
"""Several keep-alives, and short enough for a demo to see a dead session."""


class Peer(abc.ABC):
    """What a connection tells the program above it."""

    @abc.abstractmethod
    def on_event(self, event: events.QuicEvent) -> None:
        """Takes one event of the connection."""


class Link:
    """One QUIC connection, its socket and its timer."""

    def __init__(
        self,
        reactor: _reactor.Reactor,
        sock: socket.socket,
        quic: connection.QuicConnection,
        peer: Peer,
    ):
        self.quic = quic
        self.ended = False
        self.closing = False
        self._reactor = reactor
        self._sock = sock
        self._peer = peer
        self._armed: float | None = None
        self._dirty = False

    def receive(self, data: bytes, address: _reactor.Address) -> None:
        """Takes one datagram."""
        self.quic.receive_datagram(data, address, self._reactor.now)
        self.touch()

    def touch(self) -> None:
        """Sends what is due at the end of this turn.

        Several datagrams that came in one turn share an acknowledgement.
        """
        if not self._dirty:
            self._dirty = True
            self._reactor.after_turn(self._pump)

    def close(self, code: int = 0, reason: str = "") -> None:
        """Closes the connection."""
        self.closing = True
        self.quic.close(error_code=code, reason_phrase=reason)
        self.touch()

    def refuse(self, reason: str) -> None:
        """Refuses the connection.

        A transport error: one of the application's own would reach a caller
        in the middle of its handshake without its code and reason.
        """
        self.closing = True
        self.quic.close(
            error_code=CONNECTION_REFUSED,
            frame_type=packet.QuicFrameType.PADDING,
            reason_phrase=reason,
        )
        self.touch()

    def _pump(self) -> None:
        self._dirty = False
        event = self.quic.next_event()
        while event is not None and not self.ended:
            self.ended = isinstance(event, events.ConnectionTerminated)
            self._peer.on_event(event)
            event = self.quic.next_event()
        if self._closed_by_peer():
            self.ended = True
            self._peer.on_event(self.quic._close_event)
        if self.ended:
            return
        for data, to in self.quic.datagrams_to_send(self._reactor.now):
            _reactor.send(self._sock, data, to)
        self._arm()

    def _closed_by_peer(self) -> bool:
        # The library tells of a close only when its draining period is over,
        # 0.6 s after a refusal that came at once. Callers would then seem to
        # have waited for what they were told long before.
        known = self.quic._close_event is not None
        return known and not self.closing and not self.ended

    def _arm(self) -> None:
        timer = self.quic.get_timer()
        if timer is None or self.ended:
            return
        if self._armed is None or timer < self._armed:
            self._armed = timer
            self._reactor.at(timer, self._on_timer)

    def _on_timer(self) -> None:
        self._armed = None
        timer = self.quic.get_timer()
        if timer is not None and timer <= self._reactor.now:
            self.quic.handle_timer(self._reactor.now)
            self.touch()
        else:
            self._arm()


def client_configuration(idle_s: float = IDLE_S):
    """Returns what a caller's connection needs.

    The certificate is made by the stand-in upstream itself, so there is
    nothing to check it against.
    """
    return configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=[ALPN],
        verify_mode=ssl.CERT_NONE,
        idle_timeout=idle_s,
    )


def server_configuration(name: str, idle_s: float = IDLE_S):
    """Returns what an upstream's connections need, with a new certificate."""
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
