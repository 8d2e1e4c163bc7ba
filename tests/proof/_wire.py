"""Simulated network between relays, with injected faults and partitions."""

import collections
import enum
import random

import attrs


class Fault(enum.Enum):
    """A fault that is injected into one envelope."""

    LOSE = "lose"
    DOUBLE = "double"
    DELAY = "delay"
    REPLAY = "replay"
    TRUNCATE = "truncate"
    ALTER = "alter"


@attrs.define
class Envelope:
    """One envelope in transit.

    Attributes:
        source: Number of the sending VM.
        target: Number of the receiving VM.
        data: The envelope as bytes.
    """

    source: int
    target: int
    data: bytes


class PeerWire:
    """Queue of the envelopes in transit between relays.

    Attributes:
        faults: Faults to inject into the next envelopes, in order.
        cut: Tells whether a partition separates two VMs, given by number.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._queue: collections.deque[Envelope] = collections.deque()
        self._late: list[Envelope] = []
        self._seen: collections.deque[Envelope] = collections.deque(maxlen=32)
        self.faults: collections.deque[Fault] = collections.deque()
        self.cut = lambda source, target: False
        self.forgeries = 0

    def send(self, source: int, target: int, data: bytes) -> None:
        """Queues an envelope from a relay and injects the next fault."""
        envelope = Envelope(source, target, data)
        self._seen.append(envelope)
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.LOSE:
            return
        if fault is Fault.DELAY:
            self._late.append(envelope)
            return
        self._queue.append(self._corrupted(envelope, fault))
        if fault is Fault.DOUBLE:
            self._queue.append(envelope)
        if fault is Fault.REPLAY:
            self._queue.append(self._rng.choice(self._seen))

    def _corrupted(self, envelope: Envelope, fault: Fault | None) -> Envelope:
        data = envelope.data
        if fault is Fault.TRUNCATE:
            data = data[: self._rng.randrange(len(data))]
        if fault is Fault.ALTER:
            place = self._rng.randrange(len(data))
            bent = data[place] ^ (1 << self._rng.randrange(8))
            data = data[:place] + bytes([bent]) + data[place + 1 :]
        return attrs.evolve(envelope, data=data)

    def take(self) -> Envelope | None:
        """Returns the next envelope that arrives, or None if there is none."""
        while self._queue:
            envelope = self._queue.popleft()
            if not self.cut(envelope.source, envelope.target):
                return envelope
        return None

    def arrive_late(self) -> None:
        """Queues the delayed envelopes, in random order."""
        self._rng.shuffle(self._late)
        self._queue.extend(self._late)
        self._late.clear()
