"""Envelopes that authenticate control messages and forwarded packets.

Without authentication, anyone who can reach a VM's port could inject flow
records, declare VMs dead or use a relay as a reflector; operators would see
flows break without any change of their own. Every envelope carries a message
authentication code (MAC) over its whole content, and a sequence number that
is accepted only once.
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
"""Length of the keyed BLAKE2b hash, in bytes: 128 bits, usual for a MAC."""

MOST_BYTES = 65_507
"""The largest UDP payload over IPv4, in bytes."""

REPLAY_WINDOW = 1024
"""Size of the replay window: how far an envelope's sequence number may be
behind the newest from its sender and still be accepted."""

MAX_SENDERS = 4096
"""Limit on tracked senders; about three times the fleet size expected in two
years."""

SENDER_EXPIRY_S = 60.0
"""Seconds of silence after which a sender's replay window is dropped. A VM
whose clock was set back across a restart is accepted again after this time."""

_HEADER = struct.Struct("!BBIQ")
HEADER_BYTES = _HEADER.size


@attrs.frozen
class OpenedEnvelope:
    """The content of an authenticated envelope.

    Attributes:
        kind: Type of the body, as passed to `Sealer.seal`; see `MessageType`.
        sender: `sender_id` of the sending VM's name.
        body: The payload.
    """

    kind: int
    sender: int
    body: bytes


def sender_id(name: str) -> int:
    """Returns the 32-bit hash that identifies a VM's name on the wire."""
    return xxhash.xxh32_intdigest(name.encode())


def standby_name(vm: str) -> str:
    """Returns the sender name of an agent that stands in for its relay.

    Under the VM's own name, the sequence numbers of agent and relay would be
    mixed. After a freeze the relay's would be the lower ones, and the other
    VMs would drop its envelopes as replayed for `SENDER_EXPIRY_S`. The space
    makes the name unique, as no VM's name has one.
    """
    return f"{vm} standby"


def _key_id(key: bytes) -> int:
    return hashlib.blake2b(key, digest_size=1, person=b"key number").digest()[0]


def _is_genuine(sealed: bytes, mac: bytes, key: bytes) -> bool:
    expected = hashlib.blake2b(sealed, key=key, digest_size=MAC_BYTES)
    # A constant-time comparison; timing must not tell a forger how many bytes
    # were right.
    return hmac.compare_digest(expected.digest(), mac)


class Sealer:
    """Builds envelopes for messages that this process sends."""

    def __init__(self, name: str, key: bytes):
        self._sender = sender_id(name)
        self._key = key
        self._key_id = _key_id(key)
        # Starts at the wall clock, so that a restarted process continues above
        # the numbers its predecessor used without storing them on disk.
        self._sequence = time.time_ns()

    def seal(self, kind: int, body: bytes) -> bytes:
        """Returns an envelope that holds the body."""
        self._sequence += 1
        header = _HEADER.pack(kind, self._key_id, self._sender, self._sequence)
        sealed = header + body
        mac = hashlib.blake2b(sealed, key=self._key, digest_size=MAC_BYTES)
        return sealed + mac.digest()


@attrs.define
class _Window:
    """The replay window of one sender.

    Attributes:
        newest_sequence: The greatest sequence number accepted.
        seen_bitmap: Bitmap of accepted numbers; bit n stands for
            `newest_sequence - n`.
        heard_s: When the last envelope was accepted, in seconds.
    """

    newest_sequence: int
    seen_bitmap: int
    heard_s: float

    def take(self, sequence: int) -> bool:
        """Marks a sequence number as used; returns whether it was unused."""
        ahead = sequence - self.newest_sequence
        if ahead > 0:
            kept = self.seen_bitmap << ahead if ahead < REPLAY_WINDOW else 0
            self.seen_bitmap = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.newest_sequence = sequence
            return True
        bit = 1 << -ahead if -ahead < REPLAY_WINDOW else 0
        if not bit or self.seen_bitmap & bit:
            return False
        self.seen_bitmap |= bit
        return True


class Opener:
    """Verifies envelopes under the fleet's key or its previous key."""

    def __init__(self, key: bytes, previous_key: bytes | None = None):
        keys = [key] if previous_key is None else [key, previous_key]
        self._keys: dict[int, list[bytes]] = {}
        for each in keys:
            self._keys.setdefault(_key_id(each), []).append(each)
        self._windows: dict[int, _Window] = {}

    def open(
        self, data: bytes, now: float
    ) -> Result[OpenedEnvelope, EnvelopeFault]:
        """Returns the verified content, or why the envelope is dropped.

        Args:
            data: The datagram or message as received.
            now: Time of the event loop's clock, in seconds.
        """
        if len(data) < HEADER_BYTES + MAC_BYTES:
            return Err(EnvelopeFault.TRUNCATED)
        kind, key_id, sender, sequence = _HEADER.unpack_from(data)
        keys = self._keys.get(key_id)
        if keys is None:
            return Err(EnvelopeFault.UNKNOWN_KEY)
        sealed, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        # One pair of keys in 256 shares an identifier, so each key is tried.
        if not any(_is_genuine(sealed, mac, key) for key in keys):
            return Err(EnvelopeFault.FORGED)
        fault = self._check_replay(sender, sequence, now)
        if fault is not None:
            return Err(fault)
        return Ok(OpenedEnvelope(kind, sender, sealed[HEADER_BYTES:]))

    def _check_replay(
        self, sender: int, sequence: int, now: float
    ) -> EnvelopeFault | None:
        window = self._windows.get(sender)
        if window is None or now - window.heard_s > SENDER_EXPIRY_S:
            return self._add_sender(sender, sequence, now)
        if not window.take(sequence):
            return EnvelopeFault.REPLAYED
        window.heard_s = now
        return None

    def _add_sender(
        self, sender: int, sequence: int, now: float
    ) -> EnvelopeFault | None:
        if len(self._windows) >= MAX_SENDERS:
            self._drop_expired_senders(now)
        if len(self._windows) >= MAX_SENDERS:
            return EnvelopeFault.TOO_MANY_SENDERS
        self._windows[sender] = _Window(sequence, 1, now)
        return None

    def _drop_expired_senders(self, now: float) -> None:
        silent = [
            sender
            for sender, window in self._windows.items()
            if now - window.heard_s > SENDER_EXPIRY_S
        ]
        for sender in silent:
            del self._windows[sender]
