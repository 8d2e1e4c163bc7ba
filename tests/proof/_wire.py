"""The network between relays: it loses, doubles, delays, forges and cuts."""

import collections
import enum
import random

import attrs


class Fault(enum.Enum):
    """What happens to one envelope."""

    LOSE = "lose"
    DOUBLE = "double"
    DELAY = "delay"
    REPLAY = "replay"
    TRUNCATE = "truncate"
    ALTER = "alter"


@attrs.define
class Envelope:
    """One envelope on its way."""

    source: int
    target: int
    data: bytes


class PeerWire:
    """Envelopes between relays."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._queue: collections.deque[Envelope] = collections.deque()
        self._late: list[Envelope] = []
        self._seen: collections.deque[Envelope] = collections.deque(maxlen=32)
        self.faults: collections.deque[Fault] = collections.deque()
        self.cut = lambda source, target: False
        self.forgeries = 0

    def send(self, source: int, target: int, data: bytes) -> None:
        """Takes an envelope from a relay."""
        envelope = Envelope(source, target, data)
        self._seen.append(envelope)
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.LOSE:
            return
        if fault is Fault.DELAY:
            self._late.append(envelope)
            return
        self._queue.append(self._bent(envelope, fault))
        if fault is Fault.DOUBLE:
            self._queue.append(envelope)
        if fault is Fault.REPLAY:
            self._queue.append(self._rng.choice(self._seen))

    def _bent(self, envelope: Envelope, fault: Fault | None) -> Envelope:
        data = envelope.data
        if fault is Fault.TRUNCATE:
            data = data[: self._rng.randrange(len(data))]
        if fault is Fault.ALTER:
            place = self._rng.randrange(len(data))
            bent = data[place] ^ (1 << self._rng.randrange(8))
            data = data[:place] + bytes([bent]) + data[place + 1 :]
        return attrs.evolve(envelope, data=data)

    def take(self) -> Envelope | None:
        """Returns the next envelope that arrives."""
        while self._queue:
            envelope = self._queue.popleft()
            if not self.cut(envelope.source, envelope.target):
                return envelope
        return None

    def arrive_late(self) -> None:
        """Lets the delayed envelopes arrive, in any order."""
        self._rng.shuffle(self._late)
        self._queue.extend(self._late)
        self._late.clear()
