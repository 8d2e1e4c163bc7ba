"""UDP sockets of the agent and the relay, which may share service ports."""

import socket

BUFFER_BYTES = 4 << 20
"""Requested size of the receive buffer: about 0.3 s of 10,000 packets per
second, so that no packet is dropped during a short pause of the process."""


def udp_socket(address: str, port: int) -> socket.socket:
    """Returns a bound non-blocking UDP socket with a large receive buffer.

    Raises:
        OSError: The port cannot be bound.
    """
    return _bind(address, port, shared=False)


def service_socket(address: str, port: int) -> socket.socket:
    """Returns a UDP socket on a service's port that others may bind as well.

    A frozen relay keeps its port, and the datagrams that the fabric sends to
    it would wait in its buffer until callers time out. So another process may
    bind the same port: Linux delivers each datagram to the socket that was
    bound last, and to the previous socket once that one is closed. A second
    relay started by mistake still fails, on the ports that are not shared:
    those of envelopes and of the link.

    Raises:
        OSError: The port cannot be bound, as a program that does not share it
            holds it.
    """
    return _bind(address, port, shared=True)


def _bind(address: str, port: int, shared: bool) -> socket.socket:
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(shared))
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
