"""What a VM does before the rest of its program is loaded.

When many VMs are restarted at once, clients' packets arrive while the
programs still load their modules, a fifth of a second on a small VM. Without
a socket each is lost, and its client sends it again only after 0.2 to 1.6 s:
requests miss their deadlines. With one they wait in its buffer. The store is
asked as early, so that its answer waits when it can be understood.

Nothing but `socket` and `select` is imported here: everything else costs time.
"""

import select
import socket

BUFFER_BYTES = 1 << 20
"""Receive buffer: about 0.5 s of 2,000 packets of 1,200 bytes a second."""

EVERYTHING_PATH = "/kv-range?prefix="
"""Asks for the first page of everything: endpoints and the configuration."""

QUESTION = f"GET {EVERYTHING_PATH} HTTP/1.1\r\nHost: store\r\n\r\n".encode()
"""The first question. It is written here by hand: loading what writes requests
takes 29 ms of processor time (time.process_time after importing attrs and h11).
What reads the answer is loaded while it is on its way."""

CONNECT_S = 0.01
"""How long the connection is awaited before loading goes on: some ways to the
store, which is in the region. Asked later, its answer comes that much later."""

_PACKETS = "listenAddrs.datagramAddr="
_STORE = "platform.address="

Address = tuple[str, int]


def packet_socket(settings: str) -> socket.socket | None:
    """Returns the socket, or None if the settings do not say where."""
    address = _address(settings, _PACKETS)
    return open_socket(*address) if address is not None else None


def ask_store(settings: str) -> tuple[socket.socket, int] | None:
    """Asks the store for everything.

    A connection that cannot be begun is left to the program, which asks
    again in its own time and says so in its log.

    Returns:
        A socket that is, or is being, connected to the store, and how much of
        the question was sent; None if the store cannot be reached.
    """
    address = _address(settings, _STORE)
    if address is None:
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.connect_ex(address)
        open_in_time = select.select([], [sock], [], CONNECT_S)[1]
        return sock, sock.send(QUESTION) if open_in_time else 0
    except OSError:
        sock.close()
        return None


def open_socket(host: str, port: int) -> socket.socket:
    """Returns a bound socket that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


def _address(settings: str, name: str) -> Address | None:
    for line in settings.splitlines():
        host, colon, port = line.removeprefix(name).rpartition(":")
        if line.startswith(name) and colon and port.strip().isdigit():
            return host.strip(), int(port)
    return None
