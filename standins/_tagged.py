"""QUIC-like packets whose payload carries a tag that names the caller."""

import hashlib

_INITIAL_BYTES = 1200
_TAG_PREFIX = b"caller:"


def initial(tag: str, early: bytes = b"") -> bytes:
    """Returns a caller's Initial packet, followed by 0-RTT data if given."""
    payload = _TAG_PREFIX + tag.encode() + b";"
    head = b"\xc0\x00\x00\x00\x01\x08" + tag.encode().ljust(8, b"-")[:8]
    head += b"\x04abcd\x00"
    length = _INITIAL_BYTES - len(head) - 2 - len(early)
    packet = head + (0x4000 | length).to_bytes(2, "big")
    return packet + payload.ljust(length, b"\0") + early


def early_data(tag: str) -> bytes:
    """Returns a 0-RTT packet that carries a request."""
    payload = (_TAG_PREFIX + tag.encode() + b";run").ljust(60, b"\1")
    head = b"\xd0\x00\x00\x00\x01\x08" + b"12345678" + b"\x04abcd"
    return head + (0x4000 | len(payload)).to_bytes(2, "big") + payload


def short(tag: str, text: str = "") -> bytes:
    """Returns a short-header packet of an established session."""
    body = _TAG_PREFIX + f"{tag};{text}".encode().ljust(40, b"\0")
    return b"\x41" + connection_id_of(tag) + body


def connection_id_of(tag: str) -> bytes:
    """Returns the connection id that the upstream chose for a caller."""
    return hashlib.blake2b(tag.encode(), digest_size=8).digest()


def server_initial(tag: str) -> bytes:
    """Returns the upstream's first answer, which has its connection id."""
    head = b"\xc0\x00\x00\x00\x01\x04abcd\x08" + connection_id_of(tag) + b"\x00"
    payload = (_TAG_PREFIX + tag.encode() + b";").ljust(100, b"\0")
    return head + (0x4000 | len(payload)).to_bytes(2, "big") + payload


def tag_of(data: bytes) -> str | None:
    """Returns the caller's tag in a packet, or None without one."""
    start = data.find(_TAG_PREFIX)
    if start < 0:
        return None
    return data[start + len(_TAG_PREFIX) : data.index(b";", start)].decode()


def text_of(data: bytes) -> str:
    """Returns the text in a packet of a session."""
    start = data.index(b";", data.index(_TAG_PREFIX))
    return data[start + 1 :].rstrip(b"\0").decode()
