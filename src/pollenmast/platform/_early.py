"""Network set-up that runs before a VM's other modules are loaded.

When many VMs restart at once, clients' packets arrive while the programs are
still loading their modules, which takes a fifth of a second on a small VM.
Without a socket those packets are lost; clients retransmit only after 0.2 to
1.6 s, and requests miss their deadlines. An open socket buffers them instead.
The first request to the store is sent just as early, so that the response has
arrived by the time the code that parses it is loaded.

Only `socket` and `select` are imported here: any other import costs time.
"""

import select
import socket

RECEIVE_BUFFER_BYTES = 1 << 20
"""Size of the packet socket's receive buffer.

Holds about 0.5 s of traffic at 2,000 packets of 1,200 bytes per second.
"""

LIST_ALL_PATH = "/kv-range?prefix="
"""Path of the first page of all keys: the endpoints and the configuration."""

LIST_ALL_REQUEST = (
    f"GET {LIST_ALL_PATH} HTTP/1.1\r\nHost: store\r\n\r\n".encode()
)
"""The first request to the store, for `LIST_ALL_PATH`.

Spelled out here because importing the code that serialises requests takes
29 ms of processor time (time.process_time after importing attrs and h11). The
code that parses the response is loaded while the response is on its way.
"""

CONNECT_WAIT_S = 0.01
"""Seconds to wait for the connection to open before loading goes on.

This covers several times the network delay to the store, which is in the same
region. If the request is sent later, its response arrives later by as much.
"""

_PACKET_ADDRESS_PREFIX = "listenAddrs.datagramAddr="
_STORE_ADDRESS_PREFIX = "platform.address="

Address = tuple[str, int]


def open_packet_socket(settings: str) -> socket.socket | None:
    """Opens the packet socket, or returns None if no address is configured."""
    address = _find_address(settings, _PACKET_ADDRESS_PREFIX)
    return bind_udp_socket(*address) if address is not None else None


def send_list_request(settings: str) -> tuple[socket.socket, int] | None:
    """Connects to the store and requests all keys.

    An error here is neither retried nor logged: the program sends the request
    again once it is loaded, and logs a failure then.

    Returns:
        A socket that is connected or still connecting to the store, and how
        many bytes of the request were sent; None if the settings name no store
        or the store cannot be reached.
    """
    address = _find_address(settings, _STORE_ADDRESS_PREFIX)
    if address is None:
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.connect_ex(address)
        writable = select.select([], [sock], [], CONNECT_WAIT_S)[1]
        return sock, sock.send(LIST_ALL_REQUEST) if writable else 0
    except OSError:
        sock.close()
        return None


def bind_udp_socket(host: str, port: int) -> socket.socket:
    """Returns a bound non-blocking UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


def _find_address(settings: str, name: str) -> Address | None:
    for line in settings.splitlines():
        host, colon, port = line.removeprefix(name).rpartition(":")
        if line.startswith(name) and colon and port.strip().isdigit():
            return host.strip(), int(port)
    return None
