"""Envelopes: how control messages and forwarded packets prove their origin.

Without a proof of origin, anyone who reaches a VM's port could plant flow
records, declare VMs dead or make a relay a reflector; operators would notice
flows that break with no change of theirs. Every envelope carries a keyed
hash of all it holds, and a sequence that is taken once.
"""

import hashlib
import hmac
import struct
import time

import attrs
import xxhash
from result import Err, Ok, Result

from pollenmast.counters import EnvelopeFault

MAC_BYTES = 16
"""Length of the keyed BLAKE2b hash; 128 bits, as is usual for a MAC."""

MOST_BYTES = 65_507
"""The largest UDP datagram over IPv4."""

WINDOW = 1024
"""Sequences below the newest that may still arrive out of order."""

MOST_SENDERS = 4096
"""Senders remembered; about three times the fleet of two years' time."""

FORGET_AFTER_S = 60.0
"""A sender silent for so long is forgotten, in seconds. A VM whose clock was
stepped back over a restart is heard again after this time."""

_HEADER = struct.Struct("!BBIQ")
HEADER_BYTES = _HEADER.size


@attrs.frozen
class Opened:
    """What a genuine envelope held.

    Attributes:
        kind: The caller's own number for what the body is.
        sender: Hash of the sending VM's name.
        body: The content.
    """

    kind: int
    sender: int
    body: bytes


def sender_id(name: str) -> int:
    """Returns the 32-bit number that stands for a VM's name on the wire."""
    return xxhash.xxh32_intdigest(name.encode())


def standby_name(vm: str) -> str:
    """Returns the name by which a VM's agent sends in its relay's place.

    Under the VM's own name its sequences would mix with the relay's. After a
    freeze the relay's would be the lower ones, and the other VMs would drop
    what it sends as replayed for `FORGET_AFTER_S`. No VM's name has a space.
    """
    return f"{vm} standby"


def _key_number(key: bytes) -> int:
    return hashlib.blake2b(key, digest_size=1, person=b"key number").digest()[0]


def _is_genuine(sealed: bytes, mac: bytes, key: bytes) -> bool:
    expected = hashlib.blake2b(sealed, key=key, digest_size=MAC_BYTES)
    # Timing must not tell a forger how many bytes were right.
    return hmac.compare_digest(expected.digest(), mac)


class Sealer:
    """Seals what this process sends, under the fleet's key."""

    def __init__(self, name: str, key: bytes):
        self._sender = sender_id(name)
        self._key = key
        self._key_number = _key_number(key)
        # The wall clock, once, so that a restarted process goes on above the
        # sequences its predecessor used, with no disk to remember them.
        self._sequence = time.time_ns()

    def seal(self, kind: int, body: bytes) -> bytes:
        """Returns the envelope of a body."""
        self._sequence += 1
        header = _HEADER.pack(
            kind, self._key_number, self._sender, self._sequence
        )
        sealed = header + body
        mac = hashlib.blake2b(sealed, key=self._key, digest_size=MAC_BYTES)
        return sealed + mac.digest()


@attrs.define
class _Window:
    """The sequences already taken from one sender."""

    newest: int
    taken: int
    heard_s: float

    def take(self, sequence: int) -> bool:
        """Returns whether the sequence is fresh, and marks it as taken."""
        ahead = sequence - self.newest
        if ahead > 0:
            kept = self.taken << ahead if ahead < WINDOW else 0
            self.taken = (kept | 1) & ((1 << WINDOW) - 1)
            self.newest = sequence
            return True
        bit = 1 << -ahead if -ahead < WINDOW else 0
        if not bit or self.taken & bit:
            return False
        self.taken |= bit
        return True


class Opener:
    """Opens envelopes under the fleet's key, or the one before it."""

    def __init__(self, key: bytes, previous_key: bytes | None = None):
        keys = [key] if previous_key is None else [key, previous_key]
        self._keys: dict[int, list[bytes]] = {}
        for each in keys:
            self._keys.setdefault(_key_number(each), []).append(each)
        self._windows: dict[int, _Window] = {}

    def open(self, data: bytes, now: float) -> Result[Opened, EnvelopeFault]:
        """Returns what the envelope holds, or why it is dropped.

        Args:
            data: The datagram or message as it came.
            now: The runtime's clock, in seconds.
        """
        if len(data) < HEADER_BYTES + MAC_BYTES:
            return Err(EnvelopeFault.TRUNCATED)
        kind, key_number, sender, sequence = _HEADER.unpack_from(data)
        keys = self._keys.get(key_number)
        if keys is None:
            return Err(EnvelopeFault.UNKNOWN_KEY)
        sealed, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        # Two keys may share a number, one pair in 256: each is tried.
        if not any(_is_genuine(sealed, mac, key) for key in keys):
            return Err(EnvelopeFault.FORGED)
        fault = self._note(sender, sequence, now)
        if fault is not None:
            return Err(fault)
        return Ok(Opened(kind, sender, sealed[HEADER_BYTES:]))

    def _note(
        self, sender: int, sequence: int, now: float
    ) -> EnvelopeFault | None:
        window = self._windows.get(sender)
        if window is None or now - window.heard_s > FORGET_AFTER_S:
            return self._remember(sender, sequence, now)
        if not window.take(sequence):
            return EnvelopeFault.REPLAYED
        window.heard_s = now
        return None

    def _remember(
        self, sender: int, sequence: int, now: float
    ) -> EnvelopeFault | None:
        if len(self._windows) >= MOST_SENDERS:
            self._forget(now)
        if len(self._windows) >= MOST_SENDERS:
            return EnvelopeFault.TOO_MANY_SENDERS
        self._windows[sender] = _Window(sequence, 1, now)
        return None

    def _forget(self, now: float) -> None:
        silent = [
            sender
            for sender, window in self._windows.items()
            if now - window.heard_s > FORGET_AFTER_S
        ]
        for sender in silent:
            del self._windows[sender]
