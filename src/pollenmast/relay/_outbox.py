"""Reliable, rate-limited delivery of flow records to other relays.

The loss of a record would show only much later, when its holder dies and the
flow's packets reach an endpoint that does not know them. Each batch is
therefore sent again until it is acknowledged, and an undeliverable record is
offered again when the members change.
"""

import struct

import attrs

from pollenmast.admission import TokenBucket
from pollenmast.counters import CONTROL_BYTES, REPLICAS_SENT, Counters
from pollenmast.decisions._replication import BURST_S
from pollenmast.peers._envelope import HEADER_BYTES, MAC_BYTES
from pollenmast.peers._records import (
    MAX_RECORDS_PER_MESSAGE,
    FlowRecord,
    pack_records,
)

RESEND_AFTER_S = 0.3
"""Time without an acknowledgement before a batch is sent again, in seconds.

A round trip between zones takes 2 ms, so this also covers a receiver that is
busy for some heartbeats.
"""

MAX_SENDS = 6
"""Limit on transmissions of one batch.

They take about 2 s in all; by then a dead receiver has been detected.
"""

MAX_QUEUED = 100_000
"""Limit on records queued for one VM.

Further records wait for the next change of members. This bounds memory when a
VM does not answer.
"""

FLUSH_INTERVAL_S = 0.5
"""Time for which records are collected into one batch, in seconds.

A record takes 15 bytes, its envelope and acknowledgement 124; sent alone, a
record costs nine times its size.
"""

ACKNOWLEDGEMENT_BYTES = 62
"""Size of an acknowledgement, in bytes, with its IPv4 and UDP headers."""

_BATCH = struct.Struct("!I")
_UDP_BYTES = 28
"""Length of the IPv4 and UDP headers of a datagram, in bytes."""

_OVERHEAD = HEADER_BYTES + MAC_BYTES + _BATCH.size + _UDP_BYTES


@attrs.define
class _Batch:
    """A batch that awaits its acknowledgement."""

    vm: int
    records: list[FlowRecord]
    body: bytes
    sent_at: float
    sends: int = 1


class Outbox:
    """Queues and batches of records for each VM."""

    def __init__(self, send, bytes_per_s: float, counters: Counters):
        self._send = send
        self._counters = counters
        self._budget = TokenBucket(bytes_per_s, bytes_per_s * BURST_S)
        self._queues: dict[int, list[FlowRecord]] = {}
        self._batches: dict[int, _Batch] = {}
        self._last_number = 0
        self._flushed_at = 0.0

    @property
    def idle(self) -> bool:
        """Whether every record was delivered or abandoned."""
        return not self._batches and not any(self._queues.values())

    def add(self, vm: int, record: FlowRecord) -> bool:
        """Queues a record for a VM; returns False if the queue is full."""
        queue = self._queues.setdefault(vm, [])
        if len(queue) >= MAX_QUEUED:
            return False
        queue.append(record)
        return True

    def pop_acknowledged(self, body: bytes) -> list[FlowRecord]:
        """Removes an acknowledged batch and returns its records."""
        if len(body) < _BATCH.size:
            return []
        (number,) = _BATCH.unpack_from(body)
        batch = self._batches.pop(number, None)
        return batch.records if batch else []

    def flush(self, now: float, urgent: bool) -> list[FlowRecord]:
        """Sends queued and unacknowledged records.

        Args:
            now: The runtime's clock, in seconds.
            urgent: Whether to ignore the byte budget, as a draining VM must.

        Returns:
            The records abandoned after the last transmission.
        """
        abandoned = self._resend(now)
        if not urgent and now - self._flushed_at < FLUSH_INTERVAL_S:
            return abandoned
        self._flushed_at = now
        for vm, queue in list(self._queues.items()):
            while queue and (urgent or self._budget.available(now) > 0):
                self._send_batch(vm, queue[:MAX_RECORDS_PER_MESSAGE], now)
                del queue[:MAX_RECORDS_PER_MESSAGE]
            if not queue:
                del self._queues[vm]
        return abandoned

    def drop_vm(self, vm: int) -> list[FlowRecord]:
        """Removes and returns all records for a VM that has left."""
        dropped = self._queues.pop(vm, [])
        for number, batch in list(self._batches.items()):
            if batch.vm == vm:
                dropped.extend(batch.records)
                del self._batches[number]
        return dropped

    def destinations(self) -> set[int]:
        """Returns the VMs that records are queued or unacknowledged for."""
        waiting = {batch.vm for batch in self._batches.values()}
        return waiting | set(self._queues)

    def _send_batch(
        self, vm: int, records: list[FlowRecord], now: float
    ) -> None:
        self._last_number += 1
        body = _BATCH.pack(self._last_number) + pack_records(records)
        self._batches[self._last_number] = _Batch(vm, records, body, now)
        self._transmit(vm, body)
        self._counters.add(REPLICAS_SENT, amount=len(records))

    def _resend(self, now: float) -> list[FlowRecord]:
        abandoned: list[FlowRecord] = []
        for number, batch in list(self._batches.items()):
            if now - batch.sent_at < RESEND_AFTER_S:
                continue
            if batch.sends >= MAX_SENDS:
                abandoned.extend(batch.records)
                del self._batches[number]
                continue
            batch.sends += 1
            batch.sent_at = now
            self._transmit(batch.vm, batch.body)
        return abandoned

    def _transmit(self, vm: int, body: bytes) -> None:
        size = len(body) + _OVERHEAD
        self._budget.spend(size)
        self._counters.add(CONTROL_BYTES, "replication", size)
        self._send(vm, body)


def split_batch(body: bytes) -> tuple[bytes, bytes]:
    """Splits a batch into its number, as encoded bytes, and its records."""
    return body[: _BATCH.size], body[_BATCH.size :]
