"""UDP sockets of a VM's programs, those that both may open among them."""

import socket

BUFFER_BYTES = 4 << 20
"""Receive buffer asked for: about 0.3 s of 10,000 packets a second, so that a
short pause of the process drops nothing."""


def udp_socket(address: str, port: int) -> socket.socket:
    """Returns a non-blocking UDP socket with a large buffer.

    Raises:
        OSError: The port cannot be had.
    """
    return _bound(address, port, shared=False)


def service_socket(address: str, port: int) -> socket.socket:
    """Returns a socket on a service's port that another one may follow.

    A relay that is frozen keeps its port, and what the fabric sends there
    would wait in its buffer until callers time out. So the port may be bound
    again: Linux hands each datagram to the socket that was bound last, and to
    the one before when that one closes. A second relay by mistake is kept out
    by the ports that are not shared: the one for envelopes and the link's.

    Raises:
        OSError: The port cannot be had: a program that does not share it
            holds it.
    """
    return _bound(address, port, shared=True)


def _bound(address: str, port: int, shared: bool) -> socket.socket:
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
